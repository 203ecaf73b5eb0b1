#include "adapter/event_reader.h"

#include <optional>
#include <stdexcept>
#include <utility>

#include "settings/json_fields.h"

namespace lb::adapter {
namespace {

using nlohmann::json;

using Reader = Event (*)(const json& item, const NameTables& names, const UpstreamLists& upstream_lists);

constexpr int kHexadecimal = 16;

RequestId ReadRequestId(const json& item) {
  const auto text = Get<std::string>(item, "Handle");
  std::size_t used = 0;
  std::uint64_t value = 0;
  try {
    value = std::stoull(text, &used, kHexadecimal);
  } catch (const std::logic_error&) {
    used = 0;
  }
  if (text.size() != kRequestIdDigits || used != text.size()) throw FieldError("bad value in field Handle");
  return RequestId{value};
}

AttemptId ReadAttemptId(const json& item) { return AttemptId{Get<std::size_t>(item, "Attempt")}; }

Duration ReadElapsed(const json& item) { return Duration(Get<std::int64_t>(item, "Rtt")); }

Outcome ReadOutcome(const json& item) {
  static const std::map<std::string, Outcome> kOutcomes = {
      {"completed", Outcome::kServed},           {"errored", Outcome::kError},
      {"saturated", Outcome::kRejected},         {"overdue", Outcome::kTimeout},
      {"refused_conn", Outcome::kConnectFailed}, {"severed", Outcome::kReset},
      {"recalled", Outcome::kCancelled},         {"superseded", Outcome::kNotSent}};
  return GetEnum(item, "Code", kOutcomes);
}

LoadReport ReadLoad(const json& item) {
  LoadReport load;
  const auto stats = item.find("Stats");
  if (stats == item.end() || !stats->is_object()) return load;
  load.in_flight = GetOptional<double>(*stats, "rif");
  load.queued = GetOptional<double>(*stats, "q");
  load.utilization = GetOptional<double>(*stats, "busy");
  load.rate = GetOptional<double>(*stats, "rate");
  return load;
}

UpstreamInfo ReadUpstream(const json& item) {
  static const std::map<std::string, UpstreamState> kStates = {
      {"on", UpstreamState::kServing}, {"fading", UpstreamState::kDraining}, {"off", UpstreamState::kGone}};
  UpstreamInfo info;
  info.id.value = Get<std::string>(item, "Upstream");
  info.state = GetEnum(item, "Status", kStates);
  Read(item, "FailureDomain", info.zone);
  Read(item, "Kind", info.kind);
  Read(item, "Block", info.cell);
  Read(item, "Share", info.weight);
  const auto started = GetOptional<std::int64_t>(item, "BootTime");
  if (started && *started > 0) info.started = TimePoint(Duration(*started));
  return info;
}

Event ReadMembership(const json& item, const NameTables&, const UpstreamLists& upstream_lists) {
  static const std::map<std::string, MembershipUpdate::Kind> kKinds = {
      {"diff", MembershipUpdate::Kind::kChanges},
      {"snapshot", MembershipUpdate::Kind::kFull},
      {"disk", MembershipUpdate::Kind::kRestored},
      {"error", MembershipUpdate::Kind::kFailed}};
  MembershipUpdate update;
  update.kind = GetEnum(item, "How", kKinds);
  if (update.kind == MembershipUpdate::Kind::kFailed) return update;
  const auto list = upstream_lists.find(Get<std::int64_t>(item, "RosterId"));
  if (list == upstream_lists.end()) throw FieldError("unknown value in field RosterId");
  update.upstreams = list->second;
  return update;
}

Event ReadArrival(const json& item, const NameTables& names, const UpstreamLists&) {
  RequestArrived event;
  event.request = ReadRequestId(item);
  event.request_class = ClassId{GetEnum(item, "Category", names.classes)};
  const auto tenant = item.find("Billing");
  if (tenant != item.end() && tenant->is_string()) {
    event.tenant = TenantId{GetEnum(item, "Billing", names.tenants)};
  }
  event.deadline = ReadTime(item, "ClientDeadline");
  if (const auto work = GetOptional<std::int64_t>(item, "Work")) event.work = Duration(*work);
  Read(item, "IsRetry", event.client_retry);
  return event;
}

Event ReadResponseStart(const json& item, const NameTables&, const UpstreamLists&) {
  return ResponseStarted{ReadRequestId(item), ReadAttemptId(item)};
}

Event ReadAttemptEnd(const json& item, const NameTables&, const UpstreamLists&) {
  AttemptFinished event;
  event.request = ReadRequestId(item);
  event.attempt = ReadAttemptId(item);
  event.outcome = ReadOutcome(item);
  event.elapsed = ReadElapsed(item);
  event.response_delivered = Get<bool>(item, "Finished");
  event.load = ReadLoad(item);
  return event;
}

Event ReadCancellation(const json& item, const NameTables&, const UpstreamLists&) {
  return RequestCancelled{ReadRequestId(item)};
}

Event ReadTimer(const json& item, const NameTables&, const UpstreamLists&) {
  return TimerFired{Get<std::uint64_t>(item, "KeyBack")};
}

Event ReadLoadProbeEnd(const json& item, const NameTables&, const UpstreamLists&) {
  LoadProbeFinished event;
  event.upstream = UpstreamId{Get<std::string>(item, "Upstream")};
  event.outcome = ReadOutcome(item);
  event.elapsed = ReadElapsed(item);
  event.load = ReadLoad(item);
  return event;
}

const std::map<std::string, Reader>& Readers() {
  static const std::map<std::string, Reader> kReaders = {
      {"Membership", ReadMembership}, {"Order", ReadArrival},        {"Streaming", ReadResponseStart},
      {"Finished", ReadAttemptEnd},   {"Dropped", ReadCancellation}, {"Ring", ReadTimer},
      {"Checked", ReadLoadProbeEnd}};
  return kReaders;
}

}  // namespace

TimePoint ReadTime(const json& item, const char* field) {
  return TimePoint(Duration(Get<std::int64_t>(item, field)));
}

std::vector<UpstreamInfo> ReadUpstreamList(const json& item) {
  std::vector<UpstreamInfo> list;
  for (const json& entry : Field(item, "Items")) list.push_back(ReadUpstream(entry));
  return list;
}

bool IsInstanceEvent(const std::string& type) { return Readers().contains(type); }

Event ReadEvent(const std::string& type, const json& item, const NameTables& names,
                const UpstreamLists& upstream_lists) {
  return Readers().at(type)(item, names, upstream_lists);
}

}  // namespace lb::adapter
