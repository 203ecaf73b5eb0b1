// The one place where real sidecars are killed, stopped in good order, restarted and reconfigured during a
// run, as an operator does it.
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

// From SIGTERM to SIGKILL, where the deployment's longest deadline is this: the deadline (3 s at most) and
// 0.7 s more.
Duration ShutdownTime(Duration longest_deadline);

struct SidecarOperatorCounters {
  std::uint64_t stopped = 0;          // received SIGTERM
  std::uint64_t killed_at_limit = 0;  // of these, still ran at the end of ShutdownTime()
};

// What does not say otherwise may be called from any thread, and is carried out on that of `tasks`, which has
// to be the fleet's.
class SidecarOperator {
 public:
  // What a sidecar's list holds now, in discovery's form; called on the thread of `tasks`.
  using ListNow = std::function<nlohmann::json(std::size_t sidecar)>;

  // References have to outlive it, and it has to outlive the last run of `tasks`.
  SidecarOperator(boost::asio::io_context& tasks, RealFleet& fleet, DiscoveryServer& discovery,
                  Duration shutdown_time, ListNow list_now);

  // SIGKILL at once, and a new process after kSidecarRestart. What is away already stays so.
  void Kill(std::vector<std::size_t> sidecars);
  // SIGTERM; the applications go on, and open connections for a moment more; SIGKILL once it is due; then a
  // new process after kSidecarRestart, whose application waits until it is ready.
  void Stop(std::vector<std::size_t> sidecars);
  // A client of each real sidecar stops in the middle of a request; where, goes by `turn`.
  void StallClients(std::size_t turn);
  // A new configuration for each that runs: the file is replaced, and SIGHUP sent. One that is malformed is
  // to be refused whole; one that is not moves discovery to another address.
  void Reconfigure(bool malformed);

  // The wall clocks of their machines go on from a time that is so much later. Hollow ones have none.
  void StepClocks(std::vector<std::size_t> sidecars, Duration by);

  // On the thread of `tasks`.
  const SidecarOperatorCounters& counters() const { return counters_; }
  bool idle() const { return away_.empty(); }  // all run

 private:
  struct Stopping {
    TimePoint told;
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
  const ListNow list_now_;
  std::set<std::size_t> away_;  // killed, stopping or not started yet
  std::map<std::size_t, Stopping> stopping_;
  boost::asio::steady_timer look_;
  SidecarOperatorCounters counters_;
};

}  // namespace lb::lab
