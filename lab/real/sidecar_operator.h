// Kills, stops, restarts and reconfigures real sidecars during a run, as an operator does. All such actions
// go through this class.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "lab/model/fault_schedule.h"
#include "lab/real/discovery_server.h"
#include "lab/real/real_fleet.h"
#include "nlohmann/json.hpp"

namespace lb::lab {

// Time from SIGTERM to SIGKILL: the deployment's longest request deadline, counted up to 3 s, plus 0.7 s.
Duration ShutdownTime(Duration longest_deadline);

struct SidecarOperatorCounters {
  std::uint64_t stopped = 0;          // sidecars that received SIGTERM
  std::uint64_t killed_at_limit = 0;  // of these, still running after ShutdownTime()
};

// Unless a method says otherwise, it may be called from any thread and runs asynchronously on the thread of
// `tasks`, which has to be the thread of the RealFleet.
class SidecarOperator {
 public:
  // Returns the current endpoint list of a sidecar in discovery's format; called on the thread of `tasks`.
  using ListSource = std::function<nlohmann::json(std::size_t sidecar)>;

  // The referenced objects have to outlive this object, and it has to outlive the last run of `tasks`.
  SidecarOperator(boost::asio::io_context& tasks, RealFleet& fleet, DiscoveryServer& discovery,
                  Duration shutdown_time, ListSource list_source);

  // Sends SIGKILL immediately, and starts a new process after kSidecarRestart. Ignores sidecars that are
  // already being stopped or restarted.
  void Kill(std::vector<std::size_t> sidecars);
  // Performs a planned stop: sends SIGTERM, stops the application from opening connections 300 ms later,
  // sends SIGKILL after the shutdown time, and starts a new process after kSidecarRestart. The application
  // opens connections again once the new process is ready.
  void Stop(std::vector<std::size_t> sidecars);
  // For each real sidecar, starts a client that stops in the middle of a request. `stall_index` cycles
  // through the StallPoint values.
  void StallClients(std::size_t stall_index);
  // Replaces the configuration file of each running sidecar and sends SIGHUP. A valid configuration moves
  // discovery to another address; a malformed one has to be rejected as a whole by the sidecar.
  void Reconfigure(bool malformed);

  // Steps the wall clocks of the sidecars' machines forward by `step`. Hollow sidecars have no wall clock.
  void StepClocks(std::vector<std::size_t> sidecars, Duration step);

  // Call these only on the thread of `tasks`.
  const SidecarOperatorCounters& counters() const { return counters_; }
  bool idle() const { return unavailable_.empty(); }  // true if all sidecars run

 private:
  struct Stopping {
    TimePoint signalled_at;
    bool connecting = true;
  };

  void KillNow(std::size_t sidecar);
  void StopNow(std::size_t sidecar);
  void ReconfigureNow(bool malformed);
  void WatchStopping();
  bool HasEnded(std::size_t sidecar, Stopping& stopping);
  void StartLater(std::size_t sidecar);

  boost::asio::io_context& tasks_;
  RealFleet& fleet_;
  DiscoveryServer& discovery_;
  const Duration shutdown_time_;
  const ListSource list_source_;
  std::set<std::size_t> unavailable_;  // killed, stopping or not started yet
  std::map<std::size_t, Stopping> stopping_;
  boost::asio::steady_timer watch_timer_;
  SidecarOperatorCounters counters_;
};

}  // namespace lb::lab
