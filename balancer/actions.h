// What the balancer asks its sidecar to do.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "balancer/types.h"

namespace lb {

struct SendAttempt {
  RequestId request{};
  UpstreamId upstream;
  Duration timeout{};              // always positive
  Duration max_connection_idle{};  // a connection that has been idle for longer is not to be trusted with it
  // Where its first byte is not written within this time it must not be sent, and ends as kNotSent.
  Duration begin_within = Duration::max();
};

// Stop waiting for an attempt; it still ends with one AttemptFinished.
struct CancelAttempt {
  RequestId request{};
  AttemptId attempt{};
};

// Final: nothing was done, trying again is harmless.
struct RejectRequest {
  RequestId request{};
  Duration retry_after{};  // zero: no advice
};

// Final: no promise whether the request took effect.
struct FailRequest {
  RequestId request{};
};

struct SetTimer {
  TimePoint at;             // may already be past by the time it is carried out
  std::uint64_t token = 0;  // at most 2^63
};

struct SendLoadProbe {
  UpstreamId upstream;
  Duration max_connection_idle{};  // as in SendAttempt
};

// Close this sidecar's idle connections to an upstream.
struct CloseIdleConnections {
  UpstreamId upstream;
};

// Ask for membership changes from now on, the missed ones first.
struct Subscribe {};

// One line for the people on call.
struct LogLine {
  std::string text;
};

using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer, SendLoadProbe,
                            CloseIdleConnections, Subscribe, LogLine>;

}  // namespace lb
