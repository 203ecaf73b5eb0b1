#include "lab/real/discovery_query.h"

#include <charconv>
#include <string>
#include <system_error>

namespace lb::lab {
namespace {

using std::chrono::milliseconds;

constexpr const char* kPath = "/discovery/hosts";
constexpr std::uint64_t kMaxWaitMs = 60'000;

bool ParseNumber(std::string_view text, std::uint64_t& number) {
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && stop == end;
}

bool ParseParameter(std::string_view parameter, DiscoveryQuery& query) {
  const std::size_t equals = parameter.find('=');
  if (equals == std::string_view::npos) return false;
  const std::string_view name = parameter.substr(0, equals);
  std::uint64_t number = 0;
  if (!ParseNumber(parameter.substr(equals + 1), number)) return false;
  if (name == "index") {
    query.index = number;
    return true;
  }
  if (name != "wait" || number > kMaxWaitMs) return false;
  query.wait = milliseconds(number);
  return true;
}

}  // namespace

DiscoveryQuery ParseDiscoveryTarget(std::string_view target) {
  DiscoveryQuery query;
  const std::size_t query_start = target.find('?');
  if (target.substr(0, query_start) != kPath) {
    query.fault = QueryFault::kNotFound;
    return query;
  }
  if (query_start == std::string_view::npos) return query;
  std::string_view rest = target.substr(query_start + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    if (!ParseParameter(rest.substr(0, end), query)) query.fault = QueryFault::kMalformed;
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
  }
  if (query.wait > milliseconds::zero() && !query.index) query.fault = QueryFault::kMalformed;
  return query;
}

}  // namespace lb::lab
