// When the registry changed, and how long each sidecar took to hear of it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "balancer/balancer.h"
#include "lab/measure/metrics.h"

namespace lb::lab {

using lb::TimePoint;

// Not thread-safe.
class PropagationLog {
 public:
  // The registry made this revision at `at`. Revisions come without gaps, from 2 on. Throws std::logic_error
  // for another one.
  void Changed(std::uint64_t revision, std::size_t service, TimePoint at);

  // A sidecar starts, and what changes from now on is to be delivered to it. `service`: what its list is
  // restricted to, if at all.
  void Start(std::size_t sidecar, std::optional<std::size_t> service);
  void Stop(std::size_t sidecar);  // it is owed nothing any more
  // A sidecar that runs holds what is up to `revision` since `at`.
  void Told(std::size_t sidecar, std::uint64_t revision, TimePoint at);

  // How many changes up to `until` have not been delivered to sidecars that run, over all of these.
  std::size_t Missing(TimePoint until) const;

  // Delays of changes before `from` do not count for delays_ms().
  void CountFrom(TimePoint from);
  // Milliseconds from each counted change to its delivery, for each sidecar.
  const Distribution& delays_ms() const { return delays_ms_; }
  // The same of all changes, since the last call of this function.
  Distribution TakeRecentDelays();

 private:
  struct Change {
    std::size_t service = 0;
    TimePoint at;
  };
  struct Sidecar {
    std::optional<std::size_t> service;
    std::uint64_t told = 0;  // the last revision counted
  };

  std::uint64_t newest() const { return changes_.size() + 1; }

  std::vector<Change> changes_;  // of revision 2 on
  std::unordered_map<std::size_t, Sidecar> sidecars_;
  TimePoint counted_from_ = TimePoint::min();
  Distribution delays_ms_;
  Distribution recent_ms_;
};

}  // namespace lb::lab
