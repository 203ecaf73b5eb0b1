// Records when the membership registry changed, and how long the delivery of each change to each sidecar
// took.
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
  // The registry reached this revision at `at`, by a change to an upstream of `service`. Revisions must be
  // consecutive from 2 on; otherwise throws std::logic_error.
  void RecordChange(std::uint64_t revision, std::size_t service, TimePoint at);

  // A sidecar starts; later changes have to be delivered to it. If `service` is given, the sidecar's endpoint
  // list is restricted to that service.
  void Start(std::size_t sidecar, std::optional<std::size_t> service);
  void Stop(std::size_t sidecar);  // no further deliveries to this sidecar are expected
  // All changes up to `revision` reached the sidecar by `at`. Ignored for a sidecar that is not running.
  void RecordDelivery(std::size_t sidecar, std::uint64_t revision, TimePoint at);

  // Number of changes made up to `until` and not yet delivered, summed over the running sidecars.
  std::size_t CountUndelivered(TimePoint until) const;

  // Clears delays_ms() and excludes changes made before `from` from it.
  void CountFrom(TimePoint from);
  // Delays in milliseconds from each counted change to its delivery, one value for each sidecar.
  const Distribution& delays_ms() const { return delays_ms_; }
  // Delays of all changes delivered since the last call of this function.
  Distribution TakeRecentDelays();

 private:
  struct Change {
    std::size_t service = 0;
    TimePoint at;
  };
  struct Sidecar {
    std::optional<std::size_t> service;
    std::uint64_t delivered_revision = 0;  // latest revision delivered
  };

  std::uint64_t newest() const { return changes_.size() + 1; }

  std::vector<Change> changes_;  // the first one is revision 2
  std::unordered_map<std::size_t, Sidecar> sidecars_;
  TimePoint counted_from_ = TimePoint::min();
  Distribution delays_ms_;
  Distribution recent_ms_;
};

}  // namespace lb::lab
