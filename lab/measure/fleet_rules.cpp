#include "lab/measure/fleet_rules.h"

#include <algorithm>
#include <cmath>

#include "lab/spec/durations.h"

namespace lb::lab {
namespace {

using lb::UpstreamState;

constexpr double kFewRequests = 30;            // below, the budget's slack is wider
constexpr double kShareOfTheTold = 2.0 / 3.0;  // of a fall's requests, beyond which it breaks the rule

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
  return allowed + (allowed < kFewRequests ? 3 * root + 3 : 2 * root + 2);
}

FleetRules::FleetRules(const Experiment& experiment, const Deployment& deployment,
                       const lb::Settings& settings)
    : deployment_(deployment),
      rules_(settings.fleet_limits),
      mean_work_s_(MeanWorkSeconds(experiment.classes)),
      cold_(deployment.upstreams.size()) {
  for (const UpstreamInstance& upstream : deployment.upstreams) upstreams_[upstream.id] = upstream.index;
}

void FleetRules::Started(std::size_t upstream, TimePoint at) {
  const std::lock_guard lock(mutex_);
  cold_[upstream].emplace().since = at;
}

void FleetRules::Told(std::size_t sidecar, const MembershipEntry& entry, TimePoint at) {
  const auto found = upstreams_.find(entry.id);
  if (found == upstreams_.end()) return;
  const std::size_t upstream = found->second;
  const std::lock_guard lock(mutex_);
  if (entry.state != UpstreamState::kServing) {
    draining_.try_emplace({sidecar, upstream}, at);
    return;
  }
  draining_.erase({sidecar, upstream});
  if (auto& cold = cold_[upstream]; cold && entry.boot_ms != 0) cold->told.insert(sidecar);
}

void FleetRules::Attempted(std::size_t sidecar, std::size_t upstream, Duration work, TimePoint at) {
  const std::lock_guard lock(mutex_);
  JudgeDrain(sidecar, upstream, at);
  JudgeSlowStart(sidecar, upstream, work, at);
}

FleetRuleCounters FleetRules::counters() const {
  const std::lock_guard lock(mutex_);
  return counters_;
}

void FleetRules::JudgeDrain(std::size_t sidecar, std::size_t upstream, TimePoint at) {
  const auto told = draining_.find({sidecar, upstream});
  if (told == draining_.end()) return;
  if (at > told->second + rules_.drain_grace + kDrainSlack + kArrivalMargin) ++counters_.late_to_draining;
}

void FleetRules::JudgeSlowStart(std::size_t sidecar, std::size_t upstream, Duration work, TimePoint at) {
  auto& cold = cold_[upstream];
  if (!cold) return;
  if (at - cold->since > rules_.slow_start_duration) return cold.reset();
  const auto count = [&cold](const Arrival& arrival, int sign) {
    cold->requests += sign * arrival.requests;
    if (arrival.told) cold->requests_told += sign * arrival.requests;
  };
  while (!cold->window.empty() && cold->window.front().at <= at - rules_.overload_window) {
    count(cold->window.front(), -1);
    cold->window.pop_front();
  }
  cold->window.push_back({at, ToSeconds(work) / mean_work_s_, cold->told.contains(sidecar)});
  count(cold->window.back(), 1);
  if (cold->fallen || cold->requests <= SlowStartBudget(Allowed(upstream, at - cold->since))) return;
  cold->fallen = true;
  if (cold->requests_told > kShareOfTheTold * cold->requests) ++counters_.cold_overloads;
}

// Requests of mean work in a window.
double FleetRules::Allowed(std::size_t upstream, Duration age) const {
  const UpstreamInstance& instance = deployment_.upstreams[upstream];
  const double warm_per_s = instance.kind->cores * instance.speed / mean_work_s_;
  const double warmth = rules_.slow_start_initial_share + (1 - rules_.slow_start_initial_share) *
                                                              ToSeconds(age) /
                                                              ToSeconds(rules_.slow_start_duration);
  return rules_.overload_multiple * std::min(warmth, 1.0) * warm_per_s * ToSeconds(rules_.overload_window);
}

}  // namespace lb::lab
