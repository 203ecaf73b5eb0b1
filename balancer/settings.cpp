// Validation of settings, before a balancer uses them.
#include "balancer/settings.h"

#include <chrono>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace lb {
namespace {

void Require(bool valid, const char* setting) {
  if (!valid) throw std::invalid_argument(std::string("bad setting ") + setting);
}

// The longest accepted duration. A longer one is probably a mistake in the unit, and could overflow when
// added to a time.
constexpr Duration kMaxDuration = std::chrono::hours(24);

bool Positive(Duration d) { return d > Duration::zero() && d <= kMaxDuration; }

// Whether the names are distinct: a request finds its class or its tenant by the name alone.
template <typename T>
bool HaveDistinctNames(const std::vector<T>& items) {
  std::set<std::string> names;
  for (const T& item : items) {
    if (item.name.empty() || !names.insert(item.name).second) return false;
  }
  return true;
}

}  // namespace

void Settings::Validate() const {
  Require(!classes.empty(), "classes");
  Require(HaveDistinctNames(classes), "classes.name");
  Require(HaveDistinctNames(tenants), "tenants.name");
  for (const RequestClass& c : classes) {
    Require(Positive(c.latency_objective), "classes.aim");
    Require(Positive(c.deadline), "classes.deadline");
    Require(c.idempotency != Idempotency::kIdempotencyKey || Positive(c.key_window), "classes.key_window");
    Require(c.priority_weight >= 0, "classes.worth");
    Require(c.late_priority_weight >= 0 && c.late_priority_weight <= 1, "classes.late_worth");
    Require(c.latency_objective_stretch >= 0, "classes.aim_stretch");
  }
  for (const Tenant& t : tenants) Require(t.share >= 0 && t.quota_per_s >= 0, "tenants");
  Require(sidecar_count > 0, "balancers");
  Require(limits.max_attempts > 0, "limits.max_attempts");
  Require(Positive(limits.connect_timeout), "limits.connect_timeout");
  Require(Positive(limits.idle_close), "limits.idle_close");
  for (const auto& [time, name] : {std::pair(limits.max_retry_after, "limits.max_retry_after"),
                                   std::pair(fleet_limits.answer_grace, "rules.answer_grace"),
                                   std::pair(fleet_limits.drain_grace, "rules.drain_grace")}) {
    Require(time >= Duration::zero() && time <= kMaxDuration, name);
  }
  for (const double price : {decision_costs.cross_zone, decision_costs.handshake, decision_costs.probe,
                             decision_costs.waste, decision_costs.late_fail}) {
    Require(price >= 0, "prices");
  }
  Require(Positive(fleet_limits.poll_interval_limit), "rules.ask_within");
  Require(fleet_limits.slow_start_initial_share > 0 && fleet_limits.slow_start_initial_share <= 1,
          "rules.cold_from");
  Require(Positive(fleet_limits.slow_start_duration), "rules.cold_time");
  Require(fleet_limits.overload_multiple > 0, "rules.fall_multiple");
  Require(Positive(fleet_limits.overload_window), "rules.fall_window");
}

}  // namespace lb
