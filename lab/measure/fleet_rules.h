// Judges two rules on what sidecars send to upstreams, from what they received and what arrived:
// - drain: nothing new to a draining or removed upstream later than a grace after its drain counts as known;
// - slow start: a cold upstream may get only so much within a window from all sidecars together.
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

// On top of the grace of a drain: the protocol's slack on sockets, and what the lab's own threads may be late
// in seeing a request that has arrived.
inline constexpr Duration kDrainSlack = std::chrono::milliseconds(50);
inline constexpr Duration kArrivalMargin = std::chrono::milliseconds(100);

// How many requests of mean work a cold upstream bears within the window, where the settings allow `allowed`.
double SlowStartBudget(double allowed);

struct FleetRuleCounters {
  std::uint64_t late_to_draining = 0;  // attempts
  std::uint64_t cold_overloads = 0;    // falls of a cold upstream that break the rule: one a start at most
};

// From any thread.
class FleetRules {
 public:
  // Both have to outlive it; `settings` are those of any sidecar of the deployment.
  FleetRules(const Experiment& experiment, const Deployment& deployment, const lb::Settings& settings);

  // A process of the upstream starts, cold.
  void Started(std::size_t upstream, TimePoint at);
  // What a sidecar's list says of an upstream counts as known from `at` on, which may lie ahead. An unknown
  // upstream is ignored.
  void Told(std::size_t sidecar, const MembershipEntry& entry, TimePoint at);
  // A request of so much work on a core of speed 1 has arrived.
  void Attempted(std::size_t sidecar, std::size_t upstream, Duration work, TimePoint at);

  FleetRuleCounters counters() const;

 private:
  struct Arrival {
    TimePoint at;
    double requests = 0;  // of mean work
    bool told = false;    // its sidecar knew of the start
  };
  struct Cold {
    TimePoint since;
    std::set<std::size_t> told;  // sidecars that know of the start
    std::deque<Arrival> window;
    double requests = 0;       // in the window
    double requests_told = 0;  // of these, from sidecars that knew
    bool fallen = false;
  };

  void JudgeDrain(std::size_t sidecar, std::size_t upstream, TimePoint at);
  void JudgeSlowStart(std::size_t sidecar, std::size_t upstream, Duration work, TimePoint at);
  double Allowed(std::size_t upstream, Duration age) const;

  const Deployment& deployment_;
  const lb::FleetLimits rules_;
  double mean_work_s_ = 0;
  std::map<std::string, std::size_t> upstreams_;  // by id
  mutable std::mutex mutex_;
  // Guarded by mutex_.
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> draining_;  // by sidecar and upstream, since when
  std::vector<std::optional<Cold>> cold_;                              // by upstream, up to its warmth
  FleetRuleCounters counters_;
};

}  // namespace lb::lab
