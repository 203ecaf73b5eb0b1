// The events that a sidecar passes to the balancer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "balancer/types.h"

namespace lb {

enum class UpstreamState { kServing, kDraining, kGone };

// One entry of the endpoint list.
struct UpstreamInfo {
  UpstreamId id{};
  std::string zone{};
  std::string kind{};  // hardware kind: machines of one kind are about equally fast; empty if unknown
  std::int64_t cell = 0;
  UpstreamState state = UpstreamState::kServing;
  double weight = 1;  // the registered capacity; 1 if none is registered
  // Start time of the process; absent: started long ago. A new value means a new process.
  std::optional<TimePoint> started{};
};

struct MembershipUpdate {
  enum class Kind {
    kChanges,   // `upstreams` contains only the changed entries
    kFull,      // `upstreams` is the full list: upstreams missing from it are gone
    kRestored,  // the full list as last stored by the sidecar, possibly out of date
    kFailed,    // a Subscribe failed or a subscription ended: the current list stays in force
  };
  Kind kind = Kind::kFull;
  std::vector<UpstreamInfo> upstreams;
};

struct RequestArrived {
  RequestId request{};
  ClassId request_class{};
  std::optional<TenantId> tenant{};
  TimePoint deadline{};            // when the client gives up on this try
  std::optional<Duration> work{};  // expected work, if known
  bool client_retry = false;       // a client's retry, if clients mark their retries

  // The body is still being received. `deadline` is computed as if the body were complete now, and a
  // RequestCompleted follows.
  bool body_pending = false;
};

// The last byte of a request with `body_pending` was received: the request's time counts from here.
struct RequestCompleted {
  RequestId request{};
  TimePoint deadline{};
};

// A streamed response has begun: from here on the client receives it, and the request has no deadline any
// more.
struct ResponseStarted {
  RequestId request{};
  AttemptId attempt{};
};

// Follows each SendAttempt exactly once.
struct AttemptFinished {
  RequestId request{};
  AttemptId attempt{};
  Outcome outcome = Outcome::kServed;
  Duration elapsed{};               // since the attempt was sent
  bool response_delivered = false;  // the client has its response: no other final answer is owed
  LoadReport load;
  // How long the connection that the attempt used had been idle, if known.
  std::optional<Duration> connection_idle_for{};
  // The request cannot be sent again, because a part of its body was discarded after forwarding.
  bool body_consumed = false;
};

// The client disconnected or cancelled: no response is owed.
struct RequestCancelled {
  RequestId request{};
};

// Follows each SetTimer exactly once, at or after its time, unless the timer is not pending any more.
struct TimerFired {
  std::uint64_t token = 0;
};

// Follows each SendLoadProbe exactly once.
struct LoadProbeFinished {
  UpstreamId upstream;
  Outcome outcome = Outcome::kServed;
  Duration elapsed{};
  LoadReport load;
};

// An operator's override for an upstream. It takes precedence over the endpoint list until the next override,
// also for an upstream that is not listed at present.
struct OperatorOverride {
  UpstreamId upstream;
  bool disabled = true;  // no new requests are sent to it
};

using Event =
    std::variant<MembershipUpdate, RequestArrived, ResponseStarted, AttemptFinished, RequestCancelled,
                 TimerFired, LoadProbeFinished, OperatorOverride, RequestCompleted>;

}  // namespace lb
