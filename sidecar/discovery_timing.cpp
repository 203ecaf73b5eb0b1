#include "sidecar/discovery_timing.h"

#include <algorithm>

namespace lb::sidecar {
namespace {

// A call is expected to be answered within its response time and a quarter of it.
constexpr int kMarginDivisor = 4;
// After slow responses, a response that is quicker takes away half of the difference.
constexpr int kDecayDivisor = 2;

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

// A service that is slow because it is crowded answers each call in time as long as every sidecar makes one
// call at a time. So the expected response is waited for, also where a lost call could then not be replaced
// within the notification limit.
Duration DiscoveryTiming::WatchSilence() const {
  const Duration expected = response_time_ + response_time_ / kMarginDivisor;
  return std::max(limits_.watch_silence, std::min(expected, kNotificationLimit - limits_.retry_delay));
}

Duration DiscoveryTiming::FirstCallSilence() const {
  return std::max(limits_.first_call_silence, WatchSilence());
}

}  // namespace lb::sidecar
