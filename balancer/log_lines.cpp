#include "balancer/log_lines.h"

#include <algorithm>
#include <chrono>

namespace lb {
namespace {

bool IsPlain(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte > ' ' && byte < 0x7f && c != '"' && c != '=' && c != '\\';
}

// Formats a field value, which may contain any bytes. A value that is empty or contains spaces, quotes,
// equals signs, backslashes or bytes beyond printable ASCII is quoted. Control characters become spaces, so
// that the log line stays one line.
std::string FieldValue(const std::string& value) {
  if (!value.empty() && std::ranges::all_of(value, IsPlain)) return value;
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  return quoted + '"';
}

}  // namespace

std::string UpstreamEjectedLine(const UpstreamId& upstream, int failures, Duration ejection_time) {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(ejection_time).count();
  return "upstream_ejected upstream=" + FieldValue(upstream.value) + " failures=" + std::to_string(failures) +
         " duration_ms=" + std::to_string(milliseconds);
}

std::string UpstreamReadmittedLine(const UpstreamId& upstream, ReadmissionReason reason) {
  const bool expired = reason == ReadmissionReason::kEjectionExpired;
  return "upstream_readmitted upstream=" + FieldValue(upstream.value) +
         (expired ? " reason=ejection_expired" : " reason=probes_succeeded");
}

std::string SheddingStartedLine(SheddingReason reason) {
  return reason == SheddingReason::kOverload ? "shedding_started reason=overload"
                                             : "shedding_started reason=no_upstream";
}

std::string SheddingStoppedLine() { return "shedding_stopped"; }

}  // namespace lb
