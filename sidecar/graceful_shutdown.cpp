#include "sidecar/graceful_shutdown.h"

#include <algorithm>

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

// SIGKILL comes no sooner after SIGTERM than the deployment's longest deadline, of which at most
// kMaxDrainDeadline counts, and kKillGrace (PROTOCOL, "Figures").
constexpr Duration kMaxDrainDeadline = std::chrono::seconds(3);
constexpr Duration kKillGrace = milliseconds(700);
// Responses are sent this much ahead of SIGKILL: the process may be held up, and the response has to reach
// its client.
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
