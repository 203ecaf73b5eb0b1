// Converts the simulator's JSON events to the balancer's events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "balancer/events.h"
#include "nlohmann/json.hpp"

namespace lb::adapter {

// Endpoint lists by the number that the simulator assigned to each ("RosterId"). The simulator sends each
// list once ("Census") and refers to it by this number.
using UpstreamLists = std::map<std::int64_t, std::vector<UpstreamInfo>>;

// The length of a request id in an event or command ("Handle"), in hexadecimal digits.
inline constexpr std::size_t kRequestIdDigits = 16;

// Maps the names of request classes and tenants in an instance's events to their indices in its settings.
struct NameTables {
  std::map<std::string, std::size_t> classes;
  std::map<std::string, std::size_t> tenants;
};

// All functions below throw FieldError if a field is missing or invalid; the text names the field.

// Reads a simulated time in microseconds.
TimePoint ReadTime(const nlohmann::json& item, const char* field);

// Reads the entries of a "Census" event.
std::vector<UpstreamInfo> ReadUpstreamList(const nlohmann::json& item);

// Whether ReadEvent() supports events of this type. The simulator has other types, which the adapter ignores.
bool IsInstanceEvent(const std::string& type);

// `type` must satisfy IsInstanceEvent().
Event ReadEvent(const std::string& type, const nlohmann::json& item, const NameTables& names,
                const UpstreamLists& upstream_lists);

}  // namespace lb::adapter
