#include "sidecar/exchange_deadlines.h"

#include <algorithm>
#include <chrono>

namespace lb::sidecar {
namespace {

// A served response of unknown length is held back for this fraction of the remaining time instead of being
// streamed at once: if it breaks off before any of it was sent to the client, another upstream can still
// answer.
constexpr int kHoldBackDivisor = 10;
constexpr Duration kMinHoldBack = std::chrono::milliseconds(1);
// How long before the response's deadline its head is passed on alone, so that this timer expires before that
// of the request's own deadline: timers that are overdue run in the order of their times. Less of a short
// time.
constexpr Duration kForwardHeadBefore = std::chrono::milliseconds(100);
constexpr int kForwardHeadDivisor = 4;
// A streamed request may be slow, but an upstream that accepts no byte of it for this long has failed.
constexpr Duration kRequestPieceTimeout = std::chrono::seconds(10);

// Limits `wait` to the time that the client will still wait.
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

Duration ExchangeDeadlines::UpstreamTimeout(const ExchangeRequest& request, TimePoint now) const {
  const Duration wait = request.body ? request.timeout : Duration(response_ - now);
  return BoundedByClient(request, wait, now);
}

TimePoint ExchangeDeadlines::HoldBackEnd(TimePoint now) const {
  const Duration part = (response_ - now) / kHoldBackDivisor;
  const TimePoint end = now + std::max(part, kMinHoldBack);
  return std::min(end, now < ForwardHeadAt() ? ForwardHeadAt() : response_);
}

TimePoint ExchangeDeadlines::ForwardHeadAt() const {
  return response_ - std::min<Duration>(kForwardHeadBefore, (response_ - started_) / kForwardHeadDivisor);
}

TimePoint ExchangeDeadlines::NextPiece(const ExchangeRequest& request, TimePoint now) {
  return now + std::min(kRequestPieceTimeout, request.body_stall_timeout);
}

}  // namespace lb::sidecar
