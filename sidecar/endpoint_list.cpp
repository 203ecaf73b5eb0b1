#include "sidecar/endpoint_list.h"

#include <cmath>

#include "settings/config.h"

namespace lb::sidecar {
namespace {

using nlohmann::json;
using Kind = MembershipError::Kind;

// A larger value means that the list is corrupt: the year 2286, and a million times the capacity of the usual
// machine.
constexpr std::int64_t kMaxBootMs = 9'999'999'999'999;
constexpr double kMaxWeight = 1e6;
// A larger number does not fit into a 64-bit integer.
constexpr double kMaxInteger = 9.2e18;

// The entry and field being read; completes the errors that the JSON library throws.
struct Position {
  std::string field;
  std::optional<std::size_t> entry;
};

[[noreturn]] void Fail(Kind kind, const Position& position, const std::string& text) {
  throw MembershipError(kind, position.field, position.entry, text);
}

std::int64_t Integer(const json& number, const Position& position) {
  if (!(std::abs(number.get<double>()) < kMaxInteger)) {
    Fail(Kind::kOutOfRange, position, "bad " + position.field);
  }
  return number.get<std::int64_t>();
}

constexpr const char* kServingName = "active";
constexpr const char* kDrainingName = "leaving";
constexpr const char* kGoneName = "left";

UpstreamState ParseState(const std::string& word, const Position& position) {
  if (word == kServingName) return UpstreamState::kServing;
  if (word == kDrainingName) return UpstreamState::kDraining;
  if (word == kGoneName) return UpstreamState::kGone;
  Fail(Kind::kBadValue, position, "unknown state " + word);
}

const char* NameOf(UpstreamState state) {
  switch (state) {
    case UpstreamState::kServing:
      return kServingName;
    case UpstreamState::kDraining:
      return kDrainingName;
    case UpstreamState::kGone:
      return kGoneName;
  }
  return kGoneName;
}

struct Entry {
  UpstreamInfo info;
  Location location;
};

// Sets `position` to each field before reading it.
Entry ParseEntry(const json& target, const UnixClock& clock, Position& position) {
  const auto at = [&position](const char* field) -> const char* {
    position.field = field;
    return field;
  };
  Entry entry;
  UpstreamInfo& info = entry.info;
  Location& location = entry.location;
  info.id.value = target.at(at("uid")).get<std::string>();
  if (info.id.value.empty()) Fail(Kind::kBadValue, position, "empty uid");
  info.state = ParseState(target.at(at("state")).get<std::string>(), position);
  info.zone = target.value(at("az"), "");
  info.kind = target.value(at("model"), "");
  info.cell = Integer(target.value(at("pod_group"), json(0)), position);
  info.weight = target.value(at("capacity_hint"), 1.0);
  location.state = info.state;
  location.boot_ms = Integer(target.value(at("boot_ms"), json(0)), position);
  if (location.boot_ms < 0 || location.boot_ms > kMaxBootMs) Fail(Kind::kOutOfRange, position, "bad boot_ms");
  if (!(info.weight >= 0 && info.weight <= kMaxWeight)) {
    at("capacity_hint");
    Fail(Kind::kOutOfRange, position, "bad capacity_hint");
  }
  if (location.boot_ms > 0) info.started = clock.FromMilliseconds(location.boot_ms);
  const auto text = target.value(at("endpoint"), "");
  if (const auto endpoint = ParseEndpoint(text)) {
    location.endpoint = *endpoint;
  } else if (info.state != UpstreamState::kGone) {
    Fail(Kind::kBadValue, position, "bad endpoint '" + text + "' of " + info.id.value);
  }
  return entry;
}

EndpointList ParseList(const json& body, const UnixClock& clock, Position& position) {
  EndpointList list;
  position.field = "rev";
  const std::int64_t revision = Integer(body.at("rev"), position);
  if (revision < 0) Fail(Kind::kOutOfRange, position, "bad rev");
  list.revision = static_cast<std::uint64_t>(revision);
  position.field = "all";
  list.update.kind =
      body.at("all").get<bool>() ? MembershipUpdate::Kind::kFull : MembershipUpdate::Kind::kChanges;
  position.field = "targets";
  const json& targets = body.at("targets");
  if (!targets.is_array()) Fail(Kind::kMalformed, position, "targets is not an array");
  for (std::size_t i = 0; i < targets.size(); ++i) {
    position.entry = i;
    Entry entry = ParseEntry(targets[i], clock, position);
    const std::string& id = entry.info.id.value;
    if (!list.locations.emplace(id, entry.location).second) {
      Fail(Kind::kDuplicate, {"uid", i}, "duplicate entries for " + id);
    }
    list.update.upstreams.push_back(std::move(entry.info));
  }
  return list;
}

}  // namespace

json ToEntry(const UpstreamInfo& info, const Location& location) {
  return {{"uid", info.id.value},
          {"endpoint", ToText(location.endpoint)},
          {"az", info.zone},
          {"model", info.kind},
          {"pod_group", info.cell},
          {"state", NameOf(location.state)},
          {"capacity_hint", info.weight},
          {"boot_ms", location.boot_ms}};
}

EndpointList ParseEndpointList(const json& body, const UnixClock& clock) {
  Position position;
  try {
    return ParseList(body, clock, position);
  } catch (const json::exception& e) {
    throw MembershipError(Kind::kMalformed, position.field, position.entry, e.what());
  }
}

EndpointList ParseEndpointList(const std::string& body, const UnixClock& clock) {
  json parsed;
  try {
    parsed = json::parse(body);
  } catch (const json::exception& e) {
    throw MembershipError(Kind::kMalformed, "", std::nullopt, e.what());
  }
  return ParseEndpointList(parsed, clock);
}

}  // namespace lb::sidecar
