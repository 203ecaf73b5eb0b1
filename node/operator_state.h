// What operators said, in a folder under $TMPDIR that all processes of a sidecar share: it is for the sidecar
// and not for one process of it, and survives an upgrade. Each disabled upstream is an empty file.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <set>
#include <string>

#include "log.h"

namespace mothrack {

struct OperatorState {
  std::set<std::string> disabled;  // ids of upstreams
  bool drained = false;            // clients are sent away
  bool operator==(const OperatorState&) const = default;
};

class OperatorStateStore {
 public:
  using OnChange = std::function<void(const OperatorState&)>;

  // `folder`: where to keep them; empty where nothing can be kept. `on_change` hears of each change, whoever
  // made it, at once or from the next look on.
  OperatorStateStore(boost::asio::io_context& io, std::string folder, Logger& log, OnChange on_change);

  const OperatorState& state() const { return state_; }
  void Disable(const std::string& upstream) { Set(upstream, true); }
  void Enable(const std::string& upstream) { Set(upstream, false); }
  void Drain(bool drained);

 private:
  void Set(const std::string& upstream, bool disabled);
  void Mark(const std::string& name, bool set);
  void Look();
  void LookIn();
  // Goes on without the folder: what it holds is no longer what counts here.
  void GiveUp(const std::string& why);

  std::string folder_;
  Logger& log_;
  const OnChange on_change_;
  boost::asio::steady_timer timer_;
  OperatorState state_;
  std::set<std::string> foreign_;  // names that were logged
};

}  // namespace mothrack
