// Reads the simulator's events from JSON.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "balancer/events.h"
#include "nlohmann/json.hpp"

namespace lb::adapter {

// Endpoint lists by the number that the simulator gave each. A roster is sent once and referred to by number.
using Rosters = std::map<std::int64_t, std::vector<UpstreamInfo>>;

// Hexadecimal digits of a request id on the wire ("Handle").
inline constexpr std::size_t kRequestIdDigits = 16;

// The indices into an instance's settings of the names that its events use.
struct NameTables {
  std::map<std::string, std::size_t> classes;
  std::map<std::string, std::size_t> tenants;
};

// All functions throw FieldError where a field is missing or has no sound value; the text names the field.

// A time in microseconds of the simulation.
TimePoint ReadTime(const nlohmann::json& item, const char* field);

// The entries of a "Census".
std::vector<UpstreamInfo> ReadRoster(const nlohmann::json& item);

// Whether ReadEvent() knows events of this type. The simulator has others, which this adapter has no use for.
bool IsInstanceEvent(const std::string& type);

// `type`: one that IsInstanceEvent() knows.
Event ReadEvent(const std::string& type, const nlohmann::json& item, const NameTables& names,
                const Rosters& rosters);

}  // namespace lb::adapter
