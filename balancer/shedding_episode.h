// Groups shed requests into episodes for the log: an episode lasts from the first shed request until no
// request was shed for kQuietTime, so that the log has two lines for each episode.
#pragma once

#include <chrono>

#include "balancer/types.h"

namespace lb {

class SheddingEpisode {
 public:
  // Records a shed request. Returns true if that begins an episode.
  bool Begin(TimePoint now) {
    const bool begins = !active_;
    active_ = true;
    last_shed_ = now;
    return begins;
  }
  // Ends the episode if no request was shed for kQuietTime. Returns true if it did.
  bool EndIfQuiet(TimePoint now) {
    if (!active_ || now - last_shed_ <= kQuietTime) return false;
    active_ = false;
    return true;
  }

 private:
  // Time without a shed request that ends an episode. An overload sheds requests every second.
  static constexpr Duration kQuietTime = std::chrono::seconds(2);
  bool active_ = false;
  TimePoint last_shed_;
};

}  // namespace lb
