#include "sidecar/exchange_deadlines.h"

#include <algorithm>
#include <chrono>

namespace lb::sidecar {
namespace {

// A served response of unknown length is held back for this part of the time that is left, rather than
// streamed at once: while nothing of it has gone to the client, another upstream can still answer where it
// breaks off.
constexpr int kHoldBackDivisor = 10;
constexpr Duration kMinHoldBack = std::chrono::milliseconds(1);
// Streamed bodies may come and go slowly; an upstream that moves no byte for this long has failed.
constexpr Duration kStreamStallTimeout = std::chrono::seconds(10);

// No more than what the client will still wait.
Duration BoundedByClient(const ExchangeRequest& request, Duration wait, TimePoint now) {
  return request.time_left ? std::min(wait, request.time_left(now)) : wait;
}

}  // namespace

ExchangeDeadlines::ExchangeDeadlines(const ExchangeRequest& request, TimePoint now)
    : started_(now),
      response_(now + request.timeout),
      first_byte_(request.begin_within == Duration::max() ? TimePoint::max() : now + request.begin_within) {}

void ExchangeDeadlines::RestartAfterLastByte(const ExchangeRequest& request, TimePoint now) {
  started_ = now;
  response_ = now + BoundedByClient(request, request.timeout, now);
}

Duration ExchangeDeadlines::ToldTimeout(const ExchangeRequest& request, TimePoint now) const {
  const Duration wait = request.body ? request.timeout : Duration(response_ - now);
  return BoundedByClient(request, wait, now);
}

TimePoint ExchangeDeadlines::HoldBackEnd(TimePoint now) const {
  const Duration part = (response_ - now) / kHoldBackDivisor;
  return std::min(response_, now + std::max(part, kMinHoldBack));
}

TimePoint ExchangeDeadlines::NextPiece(const ExchangeRequest& request, TimePoint now) {
  return now + std::min(kStreamStallTimeout, request.body_stall_timeout);
}

TimePoint ExchangeDeadlines::NextBytes(TimePoint now) { return now + kStreamStallTimeout; }

}  // namespace lb::sidecar
