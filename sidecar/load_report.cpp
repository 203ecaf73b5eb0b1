#include "sidecar/load_report.h"

#include <charconv>
#include <optional>
#include <system_error>

namespace lb::sidecar {
namespace {

using boost::beast::string_view;

// Upper bound of each value, whatever its unit. A larger value indicates a faulty upstream.
constexpr double kMaxLoad = 1e6;

std::optional<double> ParseValue(string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  // The negated comparison also rejects "nan", which from_chars accepts.
  if (!(value >= 0 && value <= kMaxLoad)) return std::nullopt;
  return value;
}

bool IsTrailingSpace(char c) { return c == ' ' || c == '\n' || c == '\r'; }

string_view Trim(string_view field) {
  while (!field.empty() && field.front() == ' ') field.remove_prefix(1);
  while (!field.empty() && IsTrailingSpace(field.back())) field.remove_suffix(1);
  return field;
}

void SetField(LoadReport& report, string_view name, double value) {
  if (name == "inflight" || name == "rif") report.in_flight = value;
  if (name == "queue" || name == "q") report.queued = value;
  if (name == "util" || name == "busy") report.utilization = value;
  if (name == "qps" || name == "rate") report.rate = value;
}

}  // namespace

LoadReport ParseLoadReport(string_view text) {
  LoadReport report;
  while (!text.empty()) {
    const auto comma = text.find(',');
    const string_view field = Trim(text.substr(0, comma));
    text = comma == string_view::npos ? string_view() : text.substr(comma + 1);
    const auto equals = field.find('=');
    if (equals == string_view::npos) continue;
    const auto value = ParseValue(field.substr(equals + 1));
    if (!value) return {};
    SetField(report, field.substr(0, equals), *value);
  }
  return report;
}

}  // namespace lb::sidecar
