#include "lab/measure/fleet_rules.h"

#include <algorithm>
#include <cmath>

#include "lab/spec/durations.h"

namespace lb::lab {
namespace {

using lb::UpstreamState;

constexpr double kSmallBudgetRequests = 30;  // below this, the budget has a wider margin
// An overload counts as a violation only if informed sidecars sent more than this share of its requests.
constexpr double kInformedShare = 2.0 / 3.0;

double MeanWorkSeconds(const std::vector<ClassSpec>& classes) {
  double work = 0, share = 0;
  for (const ClassSpec& spec : classes) {
    work += spec.share * ToSeconds(spec.mean_work);
    share += spec.share;
  }
  return work / share;
}

}  // namespace

double SlowStartBudget(double allowed) {
  const double root = std::sqrt(allowed);
  return allowed + (allowed < kSmallBudgetRequests ? 3 * root + 3 : 2 * root + 2);
}

FleetRules::FleetRules(const Experiment& experiment, const Deployment& deployment,
                       const lb::Settings& settings)
    : deployment_(deployment),
      rules_(settings.fleet_limits),
      mean_work_s_(MeanWorkSeconds(experiment.classes)),
      slow_starts_(deployment.upstreams.size()) {
  for (const UpstreamInstance& upstream : deployment.upstreams) upstreams_[upstream.id] = upstream.index;
}

void FleetRules::Started(std::size_t upstream, TimePoint at) {
  const std::lock_guard lock(mutex_);
  slow_starts_[upstream].emplace().since = at;
}

void FleetRules::RecordReceivedEntry(std::size_t sidecar, const MembershipEntry& entry, TimePoint at) {
  const auto found = upstreams_.find(entry.id);
  if (found == upstreams_.end()) return;
  const std::size_t upstream = found->second;
  const std::lock_guard lock(mutex_);
  if (entry.state != UpstreamState::kServing) {
    draining_.try_emplace({sidecar, upstream}, at);
    return;
  }
  draining_.erase({sidecar, upstream});
  if (auto& slow_start = slow_starts_[upstream]; slow_start && entry.boot_ms != 0)
    slow_start->informed.insert(sidecar);
}

void FleetRules::Attempted(std::size_t sidecar, std::size_t upstream, Duration work, TimePoint at) {
  const std::lock_guard lock(mutex_);
  CheckDrain(sidecar, upstream, at);
  CheckSlowStart(sidecar, upstream, work, at);
}

FleetRuleCounters FleetRules::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

void FleetRules::CheckDrain(std::size_t sidecar, std::size_t upstream, TimePoint at) {
  const auto informed = draining_.find({sidecar, upstream});
  if (informed == draining_.end()) return;
  if (at > informed->second + rules_.drain_grace + kDrainSlack + kArrivalMargin) ++counters_.late_to_draining;
}

void FleetRules::CheckSlowStart(std::size_t sidecar, std::size_t upstream, Duration work, TimePoint at) {
  auto& slow_start = slow_starts_[upstream];
  if (!slow_start) return;
  if (at - slow_start->since > rules_.slow_start_duration) return slow_start.reset();
  const auto count = [&slow_start](const Arrival& arrival, int sign) {
    slow_start->requests += sign * arrival.requests;
    if (arrival.informed) slow_start->requests_informed += sign * arrival.requests;
  };
  while (!slow_start->window.empty() && slow_start->window.front().at <= at - rules_.overload_window) {
    count(slow_start->window.front(), -1);
    slow_start->window.pop_front();
  }
  slow_start->window.push_back({at, ToSeconds(work) / mean_work_s_, slow_start->informed.contains(sidecar)});
  count(slow_start->window.back(), 1);
  if (slow_start->overloaded ||
      slow_start->requests <= SlowStartBudget(Allowed(upstream, at - slow_start->since)))
    return;
  slow_start->overloaded = true;
  if (slow_start->requests_informed > kInformedShare * slow_start->requests) ++counters_.cold_overloads;
}

// Number of requests of mean work that the settings allow within the window.
double FleetRules::Allowed(std::size_t upstream, Duration age) const {
  const UpstreamInstance& instance = deployment_.upstreams[upstream];
  const double warm_per_s = instance.kind->cores * instance.speed / mean_work_s_;
  const double warmth = rules_.slow_start_initial_share + (1 - rules_.slow_start_initial_share) *
                                                              ToSeconds(age) /
                                                              ToSeconds(rules_.slow_start_duration);
  return rules_.overload_multiple * std::min(warmth, 1.0) * warm_per_s * ToSeconds(rules_.overload_window);
}

}  // namespace lb::lab
