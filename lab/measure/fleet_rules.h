// Checks two rules on the requests that sidecars send to upstreams, from the endpoint list entries that the
// sidecars received and the requests that arrived at the upstreams:
// - drain: no new request to a draining or removed upstream after the grace period that begins when the
//   sidecar learns of the drain;
// - slow start: all sidecars together may send an upstream in slow start only a limited amount of work
//   within a window.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lab/model/membership.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

using lb::TimePoint;

// Tolerances added to the drain grace period: the protocol's slack for sockets, and the delay with which the
// lab's own threads may notice an arrived request.
inline constexpr Duration kDrainSlack = std::chrono::milliseconds(50);
inline constexpr Duration kArrivalMargin = std::chrono::milliseconds(100);

// Number of requests of mean work that may reach an upstream in slow start within the window, if the settings
// allow `allowed` on average. The difference allows for random variation.
double SlowStartBudget(double allowed);

struct FleetRuleCounters {
  std::uint64_t late_to_draining = 0;  // attempts
  std::uint64_t cold_overloads = 0;    // violations of the slow start rule; at most one for each start
};

// Thread-safe.
class FleetRules {
 public:
  // The deployment has to outlive this object. `settings` may be those of any sidecar of the deployment.
  FleetRules(const Experiment& experiment, const Deployment& deployment, const lb::Settings& settings);

  // A new process of the upstream starts and begins its slow start.
  void Started(std::size_t upstream, TimePoint at);
  // A sidecar received this entry in its endpoint list; the sidecar counts as informed from `at` on, which
  // may be in the future. An unknown upstream is ignored.
  void RecordReceivedEntry(std::size_t sidecar, const MembershipEntry& entry, TimePoint at);
  // A request has arrived at the upstream; `work` is its processor time on a core of speed 1.
  void Attempted(std::size_t sidecar, std::size_t upstream, Duration work, TimePoint at);

  FleetRuleCounters counters() const;

 private:
  struct Arrival {
    TimePoint at;
    double requests = 0;    // work in units of the mean request
    bool informed = false;  // its sidecar had received the upstream's start
  };
  struct SlowStart {
    TimePoint since;
    std::set<std::size_t> informed;  // sidecars that have received the start
    std::deque<Arrival> window;
    double requests = 0;           // in the window
    double requests_informed = 0;  // of these, from informed sidecars
    bool overloaded = false;
  };

  void CheckDrain(std::size_t sidecar, std::size_t upstream, TimePoint at);
  void CheckSlowStart(std::size_t sidecar, std::size_t upstream, Duration work, TimePoint at);
  double Allowed(std::size_t upstream, Duration age) const;

  const Deployment& deployment_;
  const lb::FleetLimits rules_;
  double mean_work_s_ = 0;
  std::map<std::string, std::size_t> upstreams_;  // by id
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  // By sidecar and upstream: when the sidecar learned of the drain.
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> draining_;
  std::vector<std::optional<SlowStart>> slow_starts_;  // by upstream; absent when not in slow start
  FleetRuleCounters counters_;
};

}  // namespace lb::lab
