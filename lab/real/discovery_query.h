// Parses the request targets of calls to the emulated discovery service: `/discovery/hosts`, with `index` and
// `wait` for a watch.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace lb::lab {

enum class QueryFault { kNone, kNotFound, kMalformed };

// The parsed target of a call.
struct DiscoveryQuery {
  QueryFault fault = QueryFault::kNone;
  std::optional<std::uint64_t> index;  // the caller's revision of the list
  std::chrono::milliseconds wait{};    // maximum wait for a newer revision; zero: answer at once
};

// Never throws: `fault` tells whether the path is unknown or a parameter is malformed.
DiscoveryQuery ParseDiscoveryTarget(std::string_view target);

}  // namespace lb::lab
