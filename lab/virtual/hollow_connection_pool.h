// The idle connections of a hollow sidecar to modelled upstreams, as the real sidecar's pools keep them
// (sidecar/connection_pool.h).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "lab/model/scheduler.h"
#include "lab/virtual/upstream_directory.h"

namespace lb::lab {

struct HollowConnection {
  std::uint64_t process = 0;     // of the upstream; 0 while that has not accepted it
  std::uint32_t generation = 0;  // of the upstream's entry in the list when it was opened
  TimePoint idle_since;
  TimePoint usable_from;
  std::optional<Duration> idle_for;  // before its present exchange; absent for a new one
};

// Upstreams are named by their place in the directory.
class HollowConnectionPool {
 public:
  // `idle_close`: how long upstreams let a connection be idle; it is retired a little before. The references
  // have to outlive the pool, and `scheduler` must not run once it is gone.
  HollowConnectionPool(const UpstreamDirectory& upstreams, Scheduler& scheduler, Duration idle_close);

  // The most recently used connection that can carry a request, has been idle for less than `max_idle` and
  // whose end has not been noticed; nothing if there is none. `idle_for` of the result is set.
  std::optional<HollowConnection> Take(std::size_t upstream, Duration max_idle);
  void Return(std::size_t upstream, const HollowConnection& connection);
  // Closes a connection that is not in the pool.
  void Close(std::size_t upstream, const HollowConnection& connection);
  void CloseIdleOf(std::size_t upstream);
  void CloseAll();

  std::size_t size() const { return size_; }

 private:
  // A machine that vanished has closed nothing; that a process ended and the machine came back unseen is
  // noticed at the next use.
  bool LooksAlive(std::size_t upstream, const HollowConnection& connection) const;
  void ArmSweep();
  void RetireIdle();

  const UpstreamDirectory& upstreams_;
  Scheduler& scheduler_;
  const Duration trusted_idle_;
  std::unordered_map<std::size_t, std::vector<HollowConnection>> idle_;  // the most recently used one last
  std::size_t size_ = 0;
  bool is_sweep_armed_ = false;
  std::uint64_t epoch_ = 0;  // grows with CloseAll(): sweeps that were armed before are void
};

}  // namespace lb::lab
