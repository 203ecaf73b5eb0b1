// How long a client connection may stay in a state, and the times that this is measured by.
//
// | the connection | may last | then |
// | --- | --- | --- |
// | waits for its first request | kFirstRequestTimeout | 408, linger |
// | waits for a later request | without limit; eviction or draining ends it | |
// | receives a request | see IsRequestStalled() | 408, linger |
// | waits for a response | the request's own timeout | the request's handler answers |
// | writes a whole response | see IsResponseStalled() | close |
// | writes a streamed response | kStreamWriteTimeout for each piece | reset |
// | lingers | Linger::timeout | close |
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "sidecar/clock.h"

namespace lb::sidecar {

// The deployment wants silent and stalled clients gone within 3 s of connecting, which includes the sweep
// that finds them. For a first request from the connection's start, for a later one from its first byte; not
// renewed by bytes that trickle.
constexpr Duration kFirstRequestTimeout = std::chrono::milliseconds(2500);
// A client that takes nothing of a streamed response for so long is gone; it may read slowly.
constexpr Duration kStreamWriteTimeout = std::chrono::seconds(10);
// After a last response the client's close is waited for: a reset could overtake the response. Short, as a
// planned stop waits for it too.
constexpr Duration kLingerTimeout = std::chrono::milliseconds(250);
// For a client that was still sending its request when its response came: it may look at it only afterwards.
constexpr Duration kLingerTimeoutWhileSending = std::chrono::seconds(2);
// Bytes of a client that goes on sending after its last response are discarded up to here; then it gets a
// reset.
constexpr std::size_t kLingerByteLimit = std::size_t{256} * 1024;

// Times of a connection's current state.
struct ConnectionActivity {
  TimePoint since;               // the state began, or the first byte of a later request came
  std::uint64_t body_bytes = 0;  // of the request's body that have come
  TimePoint last_body_byte_at;   // of that body, or of the last one before
};

// A connection that waits for its client's close after the last response.
struct Linger {
  Duration timeout = kLingerTimeout;
  std::size_t discarded = 0;  // bytes

  void RecordDiscarded(std::size_t bytes);
  bool IsOverLimit() const { return discarded > kLingerByteLimit; }
};

// A request that has begun to come is overdue after kFirstRequestTimeout where no byte of a body came, where
// the body pauses for a second, or where it comes slower than 32 KiB/s.
bool IsRequestStalled(const ConnectionActivity& activity, TimePoint now);

// The client takes a whole response of `body_bytes` slower than 32 KiB/s, after kFirstRequestTimeout.
bool IsResponseStalled(const ConnectionActivity& activity, std::size_t body_bytes, TimePoint now);

}  // namespace lb::sidecar
