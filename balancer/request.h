// A request and its attempts, as kept in the request table.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "balancer/settings.h"
#include "balancer/types.h"
#include "balancer/upstream.h"

namespace lb {

// Whether `outcome` proves that the attempt did not run at the upstream; see Outcome.
inline bool ProvesNotRun(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kNotSent || outcome == Outcome::kLocalFailure;
}

// Whether nothing of the attempt was sent to the network.
inline bool WasNeverSent(Outcome outcome) {
  return outcome == Outcome::kNotSent || outcome == Outcome::kLocalFailure;
}

struct Attempt {
  UpstreamPtr upstream;
  TimePoint sent;
  bool half_open_probe = false;
  bool connects = false;           // no open connection was available for the attempt
  Duration connection_idle_for{};  // idle time of the connection that the attempt used
  double reported_in_flight = 0;   // as the load probe reported it, this attempt included; 0: not reported
  bool in_flight = false;          // counts toward the concurrency limit: completely sent, no response yet
  bool response_started = false;
  std::optional<Outcome> outcome{};  // absent while the attempt is pending

  bool MayHaveRun() const { return !outcome || !ProvesNotRun(*outcome); }
};

// A load probe to an upstream on behalf of a request that is not sent yet.
struct LoadProbe {
  UpstreamPtr upstream;
  bool answered = false;
  std::optional<double> in_flight{};  // requests, as reported; absent if the probe failed or is pending
  double rate = 0;                    // requests served per second, as reported; 0: not reported
};

struct Request {
  RequestId id{};
  const RequestClass* request_class = nullptr;
  std::size_t class_index = 0;
  TimePoint arrived;
  TimePoint deadline;
  TimePoint hedge_at;  // if no response has begun by then, the request is late compared with the usual time
  std::vector<Attempt> attempts;
  std::vector<LoadProbe> load_probes;  // probes whose reports the request waits for
  std::vector<std::uint64_t> timers;   // tokens of all timers set for it, also of those that have fired
  bool client_retry = false;           // the request is a client's retry
  bool body_streams = false;           // the body is forwarded as it is received: one attempt at a time
  bool body_pending = false;           // the body is not complete yet
  bool body_consumed = false;          // a part of the body was discarded: it cannot be sent again
  bool ended = false;                  // the request has its final answer: no further attempts are made
  bool response_started = false;       // the response is being forwarded to the client

  bool HasPendingAttempt() const {
    return std::ranges::any_of(attempts, [](const Attempt& attempt) { return !attempt.outcome; });
  }

  // Whether an attempt of this request or one of its current load probes was sent to `upstream`.
  bool HasTried(const Upstream& upstream) const {
    const auto same = [&upstream](const auto& entry) { return entry.upstream.get() == &upstream; };
    return std::ranges::any_of(attempts, same) || std::ranges::any_of(load_probes, same);
  }

  // The number of attempts for which this host could not open a connection.
  std::size_t LocalFailures() const {
    const auto local = [](const Attempt& attempt) { return attempt.outcome == Outcome::kLocalFailure; };
    return static_cast<std::size_t>(std::ranges::count_if(attempts, local));
  }

  // Returns null if there is no such attempt.
  Attempt* Find(AttemptId attempt) {
    const auto index = static_cast<std::size_t>(attempt);
    return index < attempts.size() ? &attempts[index] : nullptr;
  }
};

}  // namespace lb
