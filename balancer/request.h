// One request and its attempts, as the request table keeps them.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "balancer/settings.h"
#include "balancer/types.h"
#include "balancer/upstream.h"

namespace lb {

// The attempt did not run at the upstream, by the contract of Outcome.
inline bool ProvesNotRun(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kNotSent || outcome == Outcome::kLocalFailure;
}

// Nothing of the attempt left this machine.
inline bool NeverLeft(Outcome outcome) {
  return outcome == Outcome::kNotSent || outcome == Outcome::kLocalFailure;
}

struct Attempt {
  UpstreamPtr upstream;
  TimePoint sent;
  bool half_open_probe = false;
  bool connects = false;           // it found no connection to use
  Duration connection_idle_for{};  // of the connection that it found
  double reported_in_flight = 0;   // by the upstream's load probe, this attempt included; 0: not reported
  bool in_flight = false;          // it counts for the concurrency limit: sent whole, and no response yet
  bool response_started = false;
  std::optional<Outcome> outcome{};  // absent while it is out

  bool MayHaveRun() const { return !outcome || !ProvesNotRun(*outcome); }
};

// An upstream that was asked for its load before a call.
struct LoadProbe {
  UpstreamPtr upstream;
  bool answered = false;
  std::optional<double> in_flight{};  // requests, by its report
  double rate = 0;                    // requests served a second, by its report; 0: not reported
};

struct Request {
  RequestId id{};
  const RequestClass* request_class = nullptr;
  std::size_t class_index = 0;
  TimePoint arrived;
  TimePoint deadline;
  TimePoint hedge_at;  // without a response then, it is late against what is usual
  std::vector<Attempt> attempts;
  std::vector<LoadProbe> load_probes;  // while it waits for their reports
  bool client_retry = false;           // its client tried before
  bool body_streams = false;           // its body passes through: one attempt at a time
  bool body_pending = false;           // and is not complete yet
  bool body_consumed = false;          // and cannot be sent again
  bool ended = false;                  // it has its final answer: nothing more is sent for it
  bool response_started = false;       // the response is the client's already

  bool HasAttemptOut() const {
    return std::ranges::any_of(attempts, [](const Attempt& attempt) { return !attempt.outcome; });
  }

  // Sent to for this request, or asked for its load.
  bool HasTried(const Upstream& upstream) const {
    const auto same = [&upstream](const auto& entry) { return entry.upstream.get() == &upstream; };
    return std::ranges::any_of(attempts, same) || std::ranges::any_of(load_probes, same);
  }

  // Attempts that this machine could not open a connection for.
  std::size_t LocalFailures() const {
    const auto local = [](const Attempt& attempt) { return attempt.outcome == Outcome::kLocalFailure; };
    return static_cast<std::size_t>(std::ranges::count_if(attempts, local));
  }

  // Null where there is no such attempt.
  Attempt* Find(AttemptId attempt) {
    const auto index = static_cast<std::size_t>(attempt);
    return index < attempts.size() ? &attempts[index] : nullptr;
  }
};

}  // namespace lb
