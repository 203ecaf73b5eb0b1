#include "sidecar/discovery_timing.h"

#include <algorithm>

namespace lb::sidecar {
namespace {

// A call is expected to be answered within its response time and a quarter of it.
constexpr int kMarginDivisor = 4;
// After slow responses, a response that is quicker takes away half of the difference.
constexpr int kDecayDivisor = 2;
// The shortest interval between two calls to a slow discovery, the second beside the first: close to
// kServiceWatch, so that the service gets hardly more calls than while it is quick.
constexpr Duration kSlowCallInterval = std::chrono::milliseconds(2500);

}  // namespace

DiscoveryTiming::Limits DiscoveryTiming::ForAgent(Duration silence) {
  return {.watch = kAgentWatch,
          .watch_silence = silence,
          .call_silence = silence,
          .first_call_silence = silence,
          .retry_delay = silence,
          .response_reserve = kAgentResponseReserve};
}

DiscoveryTiming::Limits DiscoveryTiming::ForService() {
  return {.watch = kServiceWatch,
          .watch_silence = kServiceWatchSilence,
          .call_silence = kServiceCallSilence,
          .first_call_silence = kServiceFirstCallSilence,
          .retry_delay = kServiceRetryDelay,
          .response_reserve = kServiceResponseReserve};
}

void DiscoveryTiming::OnResponse(Duration response_time) {
  const Duration quicker_by = std::max(Duration::zero(), response_time_ - response_time);
  response_time_ = std::max(response_time, response_time_ - quicker_by / kDecayDivisor);
}

// A watch that receives nothing is never noticed later than with a quick discovery.
Duration DiscoveryTiming::WatchTime() const {
  const Duration silence = WatchSilence();
  const Duration reserve = std::max(limits_.response_reserve, response_time_);
  const Duration left = kNotificationLimit - silence - limits_.retry_delay - reserve;
  const Duration longest = limits_.watch + limits_.watch_silence - silence;
  return std::max(kShortestWatch, std::min(left, longest));
}

// What is left of the notification limit after the response to the next call bounds it, but for
// kSlowCallInterval: below that, more calls would make a crowded service slower.
Duration DiscoveryTiming::WatchSilence() const {
  const Duration expected = response_time_ + response_time_ / kMarginDivisor;
  const Duration left = kNotificationLimit - limits_.retry_delay - response_time_;
  return std::max(limits_.watch_silence, std::min(expected, std::max(left, kSlowCallInterval)));
}

Duration DiscoveryTiming::FirstCallSilence() const {
  return std::max(limits_.first_call_silence, WatchSilence());
}

}  // namespace lb::sidecar
