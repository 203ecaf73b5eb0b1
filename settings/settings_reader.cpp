#include "settings/settings_reader.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "settings/json_fields.h"

namespace lb {
namespace {

using nlohmann::json;

RequestClass ParseClass(const json& item) {
  static const std::map<std::string, Idempotency> kIdempotencies = {
      {"read_like", Idempotency::kIdempotent},
      {"idempotency_key", Idempotency::kIdempotencyKey},
      {"non_idempotent", Idempotency::kNotIdempotent}};
  static const std::map<std::string, KeyScope> kScopes = {
      {"all", KeyScope::kAll}, {"zone", KeyScope::kZone}, {"cell", KeyScope::kCell}};
  RequestClass c;
  c.name = Get<std::string>(item, "Name");
  c.idempotency = GetEnum(item, "Effect", kIdempotencies);
  c.latency_objective = Duration(Get<std::int64_t>(item, "Aim"));
  c.deadline = Duration(Get<std::int64_t>(item, "HardLimit"));
  if (GetOptional<std::string>(item, "KeyScope")) c.key_scope = GetEnum(item, "KeyScope", kScopes);
  Read(item, "Window", c.key_window);
  Read(item, "AimStretch", c.latency_objective_stretch);
  Read(item, "Worth", c.priority_weight);
  Read(item, "LateWorth", c.late_priority_weight);
  Read(item, "Stream", c.stream);
  return c;
}

}  // namespace

Settings ParseSettings(const json& params) {
  if (!params.is_object()) throw FieldError("bad value in field Params");
  Settings s;
  for (const json& item : Field(params, "Classes")) s.classes.push_back(ParseClass(item));
  for (const json& item : GetSection(params, "Tenants")) {
    Tenant tenant;
    tenant.name = Get<std::string>(item, "Name");
    Read(item, "Share", tenant.share);
    Read(item, "QuotaPerS", tenant.quota_per_s);
    s.tenants.push_back(std::move(tenant));
  }
  Read(params, "OverShareWorth", s.over_share_priority_weight);
  Read(params, "Zone", s.zone);
  Read(params, "PeersTotal", s.sidecar_count);
  Read(params, "Me", s.sidecar_index);
  static const std::map<std::string, bool> kModes = {{"pushed", false}, {"on_request", true}};
  if (GetOptional<std::string>(params, "MembershipMode")) {
    s.polled_membership = GetEnum(params, "MembershipMode", kModes);
  }
  s.load_probes_report_load = GetOptional<std::string>(GetSection(params, "Report"), "How") == "probe";
  s.live_weights = GetOptional<std::string>(params, "Weights") == "live";

  const json& limits = GetSection(params, "Limits");
  Read(limits, "MaxAttempts", s.limits.max_attempts);
  Read(limits, "SecondCopies", s.limits.hedging_allowed);
  Read(limits, "Cancelling", s.limits.cancellation_allowed);
  Read(limits, "MayProbe", s.limits.load_probes_allowed);
  Read(limits, "RetryAfter", s.limits.send_retry_after);
  Read(limits, "MaxRetryAfter", s.limits.max_retry_after);
  Read(limits, "ConnectTimeout", s.limits.connect_timeout);
  Read(limits, "IdleClose", s.limits.idle_close);
  Read(limits, "Multiplex", s.limits.streams_per_connection);

  const json& rules = GetSection(params, "Rules");
  Read(rules, "GraceToAnswer", s.fleet_limits.answer_grace);
  Read(rules, "MustAskIn", s.fleet_limits.poll_interval_limit);
  Read(rules, "StopSendingWithin", s.fleet_limits.drain_grace);
  Read(rules, "ColdFrom", s.fleet_limits.slow_start_initial_share);
  Read(rules, "Cold", s.fleet_limits.slow_start_duration);
  Read(rules, "FallMultiple", s.fleet_limits.overload_multiple);
  Read(rules, "Fall", s.fleet_limits.overload_window);

  const json& prices = GetSection(params, "Prices");
  Read(prices, "CrossZone", s.decision_costs.cross_zone);
  Read(prices, "Handshake", s.decision_costs.handshake);
  Read(prices, "Probe", s.decision_costs.probe);
  Read(prices, "Waste", s.decision_costs.waste);
  Read(prices, "LateFail", s.decision_costs.late_fail);
  return s;
}

}  // namespace lb
