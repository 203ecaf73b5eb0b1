// Settings that make no sense are turned away before a balancer acts on them.
#include <chrono>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "kestrellb/balancer.h"

namespace kestrellb {
namespace {

void Require(bool sound, const char* setting) {
  if (!sound) throw std::invalid_argument(std::string("kestrellb: bad setting ") + setting);
}

// Longer is a slip of units, and too long to be added to a time.
constexpr Duration kLongest = std::chrono::hours(24);

bool Positive(Duration d) { return d > Duration::zero() && d <= kLongest; }

// By its name alone a request finds its class, or its tenant.
template <typename T>
bool NamesDiffer(const std::vector<T>& items) {
  std::set<std::string> names;
  for (const T& item : items) {
    if (item.name.empty() || !names.insert(item.name).second) return false;
  }
  return true;
}

}  // namespace

void Settings::Validate() const {
  Require(!classes.empty(), "classes");
  Require(NamesDiffer(classes), "classes.name");
  Require(NamesDiffer(tenants), "tenants.name");
  for (const RequestClass& c : classes) {
    Require(Positive(c.aim), "classes.aim");
    Require(Positive(c.deadline), "classes.deadline");
    Require(c.effect != Effect::kKeyed || Positive(c.key_window), "classes.key_window");
    Require(c.worth >= 0, "classes.worth");
    Require(c.late_worth >= 0 && c.late_worth <= 1, "classes.late_worth");
    Require(c.aim_stretch >= 0, "classes.aim_stretch");
  }
  for (const Tenant& t : tenants) Require(t.share >= 0 && t.quota_per_s >= 0, "tenants");
  Require(balancers > 0, "balancers");
  Require(limits.max_attempts > 0, "limits.max_attempts");
  Require(Positive(limits.connect_timeout), "limits.connect_timeout");
  Require(Positive(limits.idle_close), "limits.idle_close");
  for (const auto& [time, name] : {std::pair(limits.max_retry_after, "limits.max_retry_after"),
                                   std::pair(rules.answer_grace, "rules.answer_grace"),
                                   std::pair(rules.drain_grace, "rules.drain_grace")}) {
    Require(time >= Duration::zero() && time <= kLongest, name);
  }
  for (const double price :
       {prices.cross_zone, prices.handshake, prices.probe, prices.waste, prices.late_fail}) {
    Require(price >= 0, "prices");
  }
  Require(Positive(rules.ask_within), "rules.ask_within");
  Require(rules.cold_from > 0 && rules.cold_from <= 1, "rules.cold_from");
  Require(Positive(rules.cold_time), "rules.cold_time");
  Require(rules.fall_multiple > 0, "rules.fall_multiple");
  Require(Positive(rules.fall_window), "rules.fall_window");
}

}  // namespace kestrellb
