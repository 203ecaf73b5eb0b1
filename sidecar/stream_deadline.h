// When a streamed response is given up whose upstream sends no more. Reads no clock: the caller passes the
// current time.
#pragma once

#include <boost/optional.hpp>
#include <chrono>
#include <cstdint>

#include "sidecar/clock.h"

namespace lb::sidecar {

// A response over kMaxBufferedBody is long: its first bytes count, and it may last beyond the request's
// deadline for as long as its upstream sends. Any other has to end soon after the deadline, incomplete if
// need be. Without a Content-Length the size shows only at the end, so the response is judged by what has
// come:
//
// clang-format off
// | length  | received                                      | given up                                            |
// | ------- | --------------------------------------------- | --------------------------------------------------- |
// | long    | any                                           | kLongResponseStall after the last byte [2]          |
// | short   | any                                           | kLateResponseGrace after the deadline [1]           |
// | unknown | over kMaxBufferedBody                         | kLongResponseStall after the last byte [2]          |
// | unknown | less; kMinLateBytes of it after the deadline  | kTimeToBecomeLong after the deadline                |
// | unknown | less; fewer bytes after the deadline          | kLateResponseGrace after the deadline [1]           |
//
//   [1] or kLateResponsePause after the last byte before the deadline, if that is later
//   [2] kEvictableStall once the process is stopping. Earlier by eviction, from kEvictableStall on, if its
//       descriptor is needed
// clang-format on
//
// In each row, kLongResponseStall after the last byte at the latest. While the reader of the stream leaves no
// capacity, the response is not given up.
class StreamDeadline {
 public:
  // A response that has been silent for this long may be ended before its time.
  static constexpr Duration kEvictableStall = std::chrono::seconds(10);

  struct Request {
    // When the client's time is over; TimePoint::max() if no client waits.
    TimePoint deadline = TimePoint::max();
    // When the process ends its last response; TimePoint::max() unless it is stopping.
    TimePoint last_response_by = TimePoint::max();
  };

  StreamDeadline() = default;
  // The deadline of a response that has `received` bytes of its body at `now`. `length`: of the whole body in
  // bytes, if known.
  StreamDeadline(const Request& request, boost::optional<std::uint64_t> length, std::uint64_t received,
                 TimePoint now);

  // Call before each read from the upstream. `received`: bytes of the body so far.
  void OnRead(std::uint64_t received, TimePoint now);
  // Call when the reader of the stream, for which the upstream had to wait, has made room.
  void OnCapacity(TimePoint now) { capacity_since_ = now; }
  // Call when the process begins to stop, and ends its last response at `last_response_by`.
  void LimitTo(TimePoint last_response_by) { request_.last_response_by = last_response_by; }
  // When the pending read began: nothing has arrived since.
  TimePoint silent_since() const { return reading_since_; }
  // When the pending read is given up.
  TimePoint at() const;

 private:
  bool IsLong() const;
  bool IsStopping() const { return request_.last_response_by != TimePoint::max(); }
  bool ArrivesAfterDeadline() const;
  TimePoint EndOfShortResponse() const;

  Request request_;
  boost::optional<std::uint64_t> length_;
  std::uint64_t received_ = 0;                   // in bytes
  std::uint64_t received_in_time_ = 0;           // by the deadline, in bytes
  TimePoint reading_since_;                      // when the pending read began
  TimePoint capacity_since_ = TimePoint::min();  // when the reader last made room
};

}  // namespace lb::sidecar
