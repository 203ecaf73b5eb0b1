// The time limits of the states of a client connection, and the times from which they are measured.
//
// clang-format off
// | the connection             | time limit                         | at the limit                        |
// | -------------------------- | ---------------------------------- | ----------------------------------- |
// | awaits its first request   | kFirstRequestTimeout               | 408, linger                         |
// | awaits a later request     | none: eviction or draining ends it |                                     |
// | receives a request         | see IsRequestStalled()             | 408, linger                         |
// | awaits a response          | the timeout of the request         | a response of the request handler   |
// | writes a whole response    | see IsResponseStalled()            | close                               |
// | writes a streamed response | kStreamWriteTimeout for each piece | reset                               |
// | lingers                    | Linger::timeout                    | close                               |
// clang-format on
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "sidecar/clock.h"

namespace lb::sidecar {

// The deployment requires that clients that send nothing or stop sending are disconnected within 3 s of
// connecting, including the interval between deadline checks. Measured from the start of the connection for a
// first request, and from its first byte for a later one. Further bytes of the request's head do not extend
// it.
constexpr Duration kFirstRequestTimeout = std::chrono::milliseconds(2500);
// A client that accepts no byte of a streamed response for this long counts as disconnected. Reading slowly
// is allowed.
constexpr Duration kStreamWriteTimeout = std::chrono::seconds(10);
// After the last response the client's close is awaited, as a reset sent earlier could overtake the response.
// Short, because a planned stop waits for it too.
constexpr Duration kLingerTimeout = std::chrono::milliseconds(250);
// For a client that was still sending its request when the response was sent: it may read the response only
// after it has sent the whole request.
constexpr Duration kLingerTimeoutWhileSending = std::chrono::seconds(2);
// Bytes received after the last response are discarded up to this number; then the connection is closed,
// which resets it.
constexpr std::size_t kLingerByteLimit = std::size_t{256} * 1024;

// Progress of a connection.
struct ConnectionActivity {
  TimePoint state_since;         // when the state began, or the first byte of a later request arrived
  std::uint64_t body_bytes = 0;  // bytes received of the request's body
  TimePoint last_body_byte_at;   // when the last byte arrived of this body, or of an earlier one
  std::uint64_t bytes_read = 0;  // on the whole connection
};

// The state of a connection that waits for its client's close after the last response.
struct Linger {
  Duration timeout = kLingerTimeout;
  std::size_t discarded = 0;  // in bytes

  void RecordDiscarded(std::size_t bytes);
  bool IsOverLimit() const { return discarded > kLingerByteLimit; }
};

// Whether a request that has begun to arrive is overdue. After kFirstRequestTimeout it is if no byte of a
// body has arrived, if no byte has arrived for the last second, or if it has received less than 32 KiB of the
// body for each second since then.
bool IsRequestStalled(const ConnectionActivity& activity, TimePoint now);

// Whether a client takes longer to accept a whole response of `body_bytes` than kFirstRequestTimeout plus the
// time that the body takes at 32 KiB/s.
bool IsResponseStalled(const ConnectionActivity& activity, std::size_t body_bytes, TimePoint now);

}  // namespace lb::sidecar
