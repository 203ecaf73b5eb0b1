// A lower bound of the time at which the peer of a connection sent a byte that is read later. A byte that was
// sent and not read waits in this machine's receive buffer, whose content the system counts, or in the peer's
// send buffer, of which only the maximum size is known (tcp(7), "tcp_wmem"). Keeps no clock: every call is
// handed the time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "sidecar/clock.h"

namespace lb::sidecar {

// The bytes of a connection are counted from its first one, which has offset 1.
class SendTimeBound {
 public:
  // `start`: no byte that the caller asks for was sent earlier. `max_send_buffer`: in bytes; how many bytes
  // the peer's system accepts beyond those that have reached this machine.
  SendTimeBound(TimePoint start, std::size_t max_send_buffer)
      : start_(start), max_send_buffer_(max_send_buffer) {}

  // Records that at the time `at`, which must not decrease, `read` bytes had been read from the socket and
  // `unread` further ones were in its receive buffer. If that was empty, the peer's send buffer was, too: on
  // one machine, bytes move on as soon as there is room.
  void Observe(std::uint64_t read, std::size_t unread, TimePoint at);

  // The latest recorded time at which the byte at `offset` can't have been sent yet. `offset` must not
  // decrease from call to call.
  TimePoint EarliestSend(std::uint64_t offset);

 private:
  // At the time `at`, the peer had sent at most `max_sent` bytes.
  struct Observation {
    TimePoint at;
    std::uint64_t max_sent = 0;
  };

  void DropEverySecond();

  TimePoint start_;
  const std::size_t max_send_buffer_;
  std::deque<Observation> observations_;  // both members increase from front to back
};

// The largest send buffer that this machine's system gives to a TCP connection, in bytes, as it was when this
// was called first. Clients run on the same machine.
std::size_t MaxTcpSendBuffer();

}  // namespace lb::sidecar
