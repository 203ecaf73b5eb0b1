// The actions that the balancer requests from its sidecar.
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
  Duration max_connection_idle{};  // connections that have been idle for longer must not be used

  // If the first byte is not written within this time, the attempt must not be sent and ends as kNotSent.
  Duration begin_within = Duration::max();
};

// Cancels an attempt. The attempt still ends with exactly one AttemptFinished.
struct CancelAttempt {
  RequestId request{};
  AttemptId attempt{};
};

// Final answer: the request was not processed, and a retry is harmless.
struct RejectRequest {
  RequestId request{};
  Duration retry_after{};  // advice to the client on when to retry; zero: none
};

// Final answer: the request may or may not have taken effect.
struct FailRequest {
  RequestId request{};
};

struct SetTimer {
  TimePoint at;             // may be in the past when the action is carried out
  std::uint64_t token = 0;  // at most 2^63
};

struct SendLoadProbe {
  UpstreamId upstream;
  Duration max_connection_idle{};  // as in SendAttempt
};

// Closes this sidecar's idle connections to an upstream.
struct CloseIdleConnections {
  UpstreamId upstream;
};

// Asks for membership changes from now on, including those missed since the last update.
struct Subscribe {};

// A log line for operators.
struct LogLine {
  std::string text;
};

using Action = std::variant<SendAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer, SendLoadProbe,
                            CloseIdleConnections, Subscribe, LogLine>;

}  // namespace lb
