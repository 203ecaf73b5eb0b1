// Idle connections from a hollow sidecar to modelled upstreams. Follows the reuse rules of the real sidecar's
// pools (sidecar/connection_pool.h).
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
  std::uint64_t process = 0;     // the upstream process that accepted the connection; 0 until then
  std::uint32_t generation = 0;  // of the upstream's endpoint list entry when the connection was opened
  TimePoint idle_since;
  TimePoint usable_from;
  std::optional<Duration> idle_for;  // idle time before the current exchange; absent for a new connection
};

// `upstream` parameters are indices into the UpstreamDirectory.
class HollowConnectionPool {
 public:
  // `idle_close`: idle time after which upstreams close a connection; the pool closes it shortly before. The
  // references must outlive the pool, and `scheduler` must not run after the pool is destroyed.
  HollowConnectionPool(const UpstreamDirectory& upstreams, Scheduler& scheduler, Duration idle_close);

  // Returns the most recently used connection that may carry a request, has been idle for less than
  // `max_idle` and has not been detected as closed; std::nullopt if there is none. Sets `idle_for` of the
  // result.
  std::optional<HollowConnection> Take(std::size_t upstream, Duration max_idle);
  void Return(std::size_t upstream, const HollowConnection& connection);
  // Closes a connection that has been taken from the pool or was never in it.
  void Close(std::size_t upstream, const HollowConnection& connection);
  void CloseIdleOf(std::size_t upstream);
  void CloseAll();

  std::size_t size() const { return size_; }

 private:
  // False if the upstream has reset the connection. A machine that stopped responding sends no reset, so its
  // connections look open; if its process ended meanwhile, the next use of the connection fails.
  bool IsPresumedOpen(std::size_t upstream, const HollowConnection& connection) const;
  void ScheduleSweep();
  void CloseExpired();

  const UpstreamDirectory& upstreams_;
  Scheduler& scheduler_;
  const Duration idle_limit_;
  std::unordered_map<std::size_t, std::vector<HollowConnection>> idle_;  // least recently used first
  std::size_t size_ = 0;
  bool is_sweep_scheduled_ = false;
  std::uint64_t epoch_ = 0;  // incremented by CloseAll(), which cancels sweeps scheduled before
};

}  // namespace lb::lab
