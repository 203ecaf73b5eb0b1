#include "sidecar/graceful_shutdown.h"

#include <algorithm>

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

// The platform sends SIGKILL no earlier than this after SIGTERM: the longest deadline among the request
// classes, but at most kMaxDrainDeadline, plus kKillGrace (PROTOCOL, "Figures").
constexpr Duration kMaxDrainDeadline = std::chrono::seconds(3);
constexpr Duration kKillGrace = milliseconds(700);
// The last response is sent this long before SIGKILL, to allow for delays of the process and for the time
// that the response takes to reach its client.
constexpr Duration kKillMargin = milliseconds(150);

Duration TimeToLastResponse(const Settings& settings) {
  Duration longest_deadline{};
  for (const auto& request_class : settings.classes) {
    longest_deadline = std::max(longest_deadline, request_class.deadline);
  }
  return std::min(longest_deadline, kMaxDrainDeadline) + kKillGrace - kKillMargin;
}

}  // namespace

GracefulShutdown::GracefulShutdown(const Settings& settings)
    : time_to_last_response_(TimeToLastResponse(settings)) {}

TimePoint GracefulShutdown::Begin(TimePoint now) {
  if (!last_response_by_) last_response_by_ = now + time_to_last_response_;
  return *last_response_by_;
}

}  // namespace lb::sidecar
