// Where the actions of one event go.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "balancer/actions.h"

namespace lb {

class ActionSink {
 public:
  // To be called before each event. `actions` has to outlive its handling.
  void Begin(std::vector<Action>& actions) { actions_ = &actions; }
  template <typename T>
  void Add(T action) {
    actions_->emplace_back(std::move(action));
  }
  void Log(std::string text) { Add(LogLine{std::move(text)}); }

 private:
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace lb
