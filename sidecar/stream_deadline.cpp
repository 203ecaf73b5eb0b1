#include "sidecar/stream_deadline.h"

#include <algorithm>
#include <chrono>

#include "sidecar/http.h"

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

// A long response may be slow, and its upstream may hang for up to 25 s (BENCH, "Troubles"). An upstream that
// sends no byte for this long has failed.
constexpr Duration kLongResponseStall = std::chrono::seconds(30);
// How long after the deadline a response of unknown length that still arrives may take to become long.
constexpr Duration kTimeToBecomeLong = std::chrono::seconds(10);
// A request whose response ends over 0.55 s after its deadline, with the 0.05 s that sockets are allowed,
// counts as lost. This leaves 0.15 s for a delay of the process. The deadline is 2 ms early
// (kMinClientDelay).
constexpr Duration kLateResponseGrace = milliseconds(402);
// The longest pause around the deadline between two pieces of a response that still arrives.
constexpr Duration kLateResponsePause = milliseconds(450);
// The bytes that such a response sends in that pause at least: at this rate it is long in kTimeToBecomeLong.
constexpr std::uint64_t kMinLateBytes = kMaxBufferedBody * kLateResponsePause / kTimeToBecomeLong;

}  // namespace

StreamDeadline::StreamDeadline(const Request& request, boost::optional<std::uint64_t> length,
                               std::uint64_t received, TimePoint now)
    : request_(request), length_(length) {
  received_in_time_ = received;
  OnRead(received, now);
}

void StreamDeadline::OnRead(std::uint64_t received, TimePoint now) {
  received_ = received;
  if (now <= request_.deadline) received_in_time_ = received;
  reading_since_ = now;
}

TimePoint StreamDeadline::at() const {
  const TimePoint stall = reading_since_ + (IsStopping() ? kEvictableStall : kLongResponseStall);
  if (IsLong() || request_.deadline == TimePoint::max()) return stall;
  const TimePoint end = ArrivesAfterDeadline() ? request_.deadline + kTimeToBecomeLong : EndOfShortResponse();
  return std::min(stall, std::max(end, capacity_since_ + kLateResponsePause));
}

bool StreamDeadline::IsLong() const { return length_.get_value_or(received_) > kMaxBufferedBody; }

bool StreamDeadline::ArrivesAfterDeadline() const {
  return !length_ && received_ - received_in_time_ >= kMinLateBytes;
}

// A stopping process ends it with its last response, unless the request's own time lasts longer.
TimePoint StreamDeadline::EndOfShortResponse() const {
  const TimePoint last_piece_at = std::min(reading_since_, request_.deadline);
  const TimePoint end = std::max(request_.deadline + kLateResponseGrace, last_piece_at + kLateResponsePause);
  return std::max(request_.deadline, std::min(end, request_.last_response_by));
}

}  // namespace lb::sidecar
