// Load shedding as the on-call engineers see it: an episode from the first request that is shed until none
// was for a while, so that the log has two lines for it.
#pragma once

#include <chrono>

#include "balancer/types.h"

namespace lb {

class SheddingEpisode {
 public:
  // A request is shed. True where that begins an episode.
  bool Begin(TimePoint now) {
    const bool begins = !active_;
    active_ = true;
    last_shed_ = now;
    return begins;
  }
  // True where the episode has ended, once.
  bool EndIfQuiet(TimePoint now) {
    if (!active_ || now - last_shed_ <= kQuietTime) return false;
    active_ = false;
    return true;
  }

 private:
  // Without a request shed: an overload sheds some every second.
  static constexpr Duration kQuietTime = std::chrono::seconds(2);
  bool active_ = false;
  TimePoint last_shed_;
};

}  // namespace lb
