// The targets of calls to the discovery stand-in: `/discovery/hosts`, with `index` and `wait` for a watch.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace lb::lab {

enum class QueryFault { kNone, kNotFound, kBad };

// A call, by its target.
struct DiscoveryQuery {
  QueryFault fault = QueryFault::kNone;
  std::optional<std::uint64_t> index;  // the revision that the caller holds
  std::chrono::milliseconds wait{};    // for something newer; zero: the answer comes at once
};

// Never throws; what can't be read is in `fault`.
DiscoveryQuery ParseDiscoveryTarget(std::string_view target);

}  // namespace lb::lab
