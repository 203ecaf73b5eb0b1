// What a sidecar tells the balancer.
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
  std::string kind{};  // machines of one kind are about equally fast; empty where kinds are not told
  std::int64_t cell = 0;
  UpstreamState state = UpstreamState::kServing;
  double weight = 1;                   // the registered size; 1 where none is registered
  std::optional<TimePoint> started{};  // absent: long ago. A new time means a new process
};

struct MembershipUpdate {
  enum class Kind {
    kChanges,   // `upstreams` has only what changed
    kFull,      // `upstreams` is the whole list: what is missing is gone
    kRestored,  // the whole list as it was last seen, perhaps out of date
    kFailed,    // a Subscribe failed or a subscription ended: the old list stands
  };
  Kind kind = Kind::kFull;
  std::vector<UpstreamInfo> upstreams;
};

struct RequestArrived {
  RequestId request{};
  ClassId request_class{};
  std::optional<TenantId> tenant{};
  TimePoint deadline{};            // when the client gives up on this try
  std::optional<Duration> work{};  // expected work, where it is known
  bool client_retry = false;       // a client's own repeat, where clients say so
  // Its body is still coming: `deadline` is reckoned as if it were complete now, and RequestCompleted
  // follows.
  bool body_pending = false;
};

// The last byte of a request with `body_pending` has come: its time counts from here.
struct RequestCompleted {
  RequestId request{};
  TimePoint deadline{};
};

// A streamed response has begun: the request is the client's from here on and has no deadline any more.
struct ResponseStarted {
  RequestId request{};
  AttemptId attempt{};
};

// Follows each SendAttempt exactly once.
struct AttemptFinished {
  RequestId request{};
  AttemptId attempt{};
  Outcome outcome = Outcome::kServed;
  Duration elapsed{};               // since it was sent
  bool response_delivered = false;  // the client has its response: no further one is owed
  LoadReport load;
  std::optional<Duration> connection_idle_for{};  // of the connection that it found, where that is known
  bool body_consumed = false;  // the request can't be sent again, as some of its body is gone
};

// The client left: no response is owed.
struct RequestCancelled {
  RequestId request{};
};

// Follows each SetTimer exactly once, at or after its time.
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

// What operators say of an upstream. Holds whatever the list says, until the next override; also for one that
// is not listed now.
struct OperatorOverride {
  UpstreamId upstream;
  bool disabled = true;  // it is sent nothing new
};

using Event =
    std::variant<MembershipUpdate, RequestArrived, ResponseStarted, AttemptFinished, RequestCancelled,
                 TimerFired, LoadProbeFinished, OperatorOverride, RequestCompleted>;

}  // namespace lb
