// Collects the actions that handling one event produces.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "balancer/actions.h"

namespace lb {

class ActionSink {
 public:
  // Must be called before each event. `actions` has to outlive the handling of the event.
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
