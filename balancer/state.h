// What a balancer keeps of requests and of the whole service. No decision is made here.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balancer/balancer.h"
#include "balancer/membership.h"
#include "balancer/upstream.h"

namespace lb {

// What an outcome says by the interface: nothing ran; the upstream failed.
inline bool ProvesNotRun(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kNotSent || outcome == Outcome::kLocalFailure;
}

// Nothing of it left this machine.
inline bool NeverLeft(Outcome outcome) {
  return outcome == Outcome::kNotSent || outcome == Outcome::kLocalFailure;
}

inline bool IsFailure(Outcome outcome) {
  return outcome == Outcome::kError || outcome == Outcome::kTimeout || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kReset;
}

struct Attempt {
  UpstreamPtr upstream;
  TimePoint sent;
  bool trial = false;
  bool connects = false;             // it found no connection to use
  Duration idle_for{};               // how long the one it found had been idle
  double held = 0;                   // what the upstream said it held, and this one; 0 where it did not
  bool counted = false;              // it weighs on its upstream: whole, and its answer has not begun
  bool answering = false;            // its answer has begun
  std::optional<Outcome> outcome{};  // absent while it is out
};

// An upstream that was asked for its load before a call.
struct Asked {
  UpstreamPtr upstream;
  bool answered = false;
  std::optional<double> held{};  // calls, as it says
  double served = 0;             // calls a second, as it says; 0 where it does not
};

struct Request {
  RequestId id{};
  const RequestClass* cls = nullptr;
  std::size_t cls_index = 0;
  TimePoint arrived;
  TimePoint deadline;
  TimePoint late_at;  // unanswered then, it is late against what is usual
  std::vector<Attempt> attempts;
  std::vector<Asked> asked;   // while it waits for their reports
  bool client_retry = false;  // its client tried before
  bool passing = false;       // its body passes through: one attempt at a time
  bool open = false;          // and still comes
  bool spent = false;         // and is not to be had again
  bool ended = false;         // it has its final answer: nothing more is sent for it
  bool streaming = false;     // its answer has begun: it belongs to the client
};

inline bool AnyOut(const Request& r) {
  return std::ranges::any_of(r.attempts, [](const Attempt& a) { return !a.outcome; });
}

// Where this machine can't open a connection to an upstream, others go first for so long; a request may meet
// so many such failures beyond its attempts.
constexpr Duration kConnectPause = std::chrono::milliseconds(100);
constexpr std::size_t kMostLocalFailures = 16;

// Attempts that this machine could not open a connection for.
inline std::size_t LocalFailures(const Request& r) {
  const auto local = [](const Attempt& a) { return a.outcome == Outcome::kLocalFailure; };
  return static_cast<std::size_t>(std::ranges::count_if(r.attempts, local));
}

// Is one more attempt left for it? What this machine could not connect for reached nobody: an upstream that
// has a connection may still take it.
inline bool AttemptLeft(const Request& r, std::size_t most, bool connected) {
  if (r.attempts.size() >= most + kMostLocalFailures) return false;
  return r.attempts.size() - (connected ? LocalFailures(r) : 0) < most;
}

// Sent to for this request, or asked.
inline bool Tried(const Request& r, const Upstream& u) {
  const auto same = [&u](const auto& a) { return a.upstream.get() == &u; };
  return std::ranges::any_of(r.attempts, same) || std::ranges::any_of(r.asked, same);
}

inline Attempt* AttemptOf(Request& r, AttemptId id) {
  const auto i = static_cast<std::size_t>(id);
  return i < r.attempts.size() ? &r.attempts[i] : nullptr;
}

// What a balancer keeps beside its settings and its source of chance.
struct Book {
  Request* Find(RequestId id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
  }

  // The usual rate and weight change slowly: a burst or the loss of half the list must not raise the budgets
  // of those that are cold for `cold_time` at most. Called each `interval`.
  void UpdateUsual(Duration interval, Duration slow_start_duration) {
    const double dt = Seconds(interval);
    const double memory = std::min(Seconds(now_ - started_), Seconds(slow_start_duration) / 2);
    usual_rate_ += (static_cast<double>(arrivals_) / dt - usual_rate_) * std::min(1.0, dt / memory);
    usual_served_ += (static_cast<double>(served_) / dt - usual_served_) * std::min(1.0, dt / memory);
    arrivals_ = served_ = 0;
    usual_weight_ = std::max(members_.listed_weight().value(),
                             usual_weight_ * (1 - dt / (2 * Seconds(slow_start_duration))));
  }

  void Forget(RequestId id) {
    const Request* r = Find(id);
    if (r != nullptr && r->ended && !AnyOut(*r)) requests_.erase(id);
  }

  // While a body still comes, or its answer is the client's already, its upstream is not what takes the time.
  void Hold(Attempt& a) {
    a.counted = true;
    a.sent = now_;
    if (a.upstream->outstanding++ == 0) a.upstream->waiting_since = now_;
    members_.Watch(*a.upstream);
    peak_held_ = std::max(peak_held_, ++held_);
  }

  void Release(Attempt& a) {
    if (std::exchange(a.counted, false)) --a.upstream->outstanding, --held_;
  }

  TimePoint now_;
  std::vector<Action>* out_ = nullptr;
  bool running_ = false;
  TimePoint started_;
  Membership members_;
  std::unordered_map<RequestId, Request> requests_;      // looked up, never walked
  std::unordered_map<std::uint64_t, RequestId> timers_;  // looked up, never walked
  std::uint64_t last_token_ = 0;
  std::optional<TimePoint> ask_again_at_;
  Duration ask_pause_{};  // grows from failure to failure; up to twice that is waited
  bool refusing_ = false;
  TimePoint refused_at_;
  static constexpr double kNoLimit = 1e9;
  double limit_ = kNoLimit;    // calls held at once
  double held_ = 0;            // attempts out
  double usual_held_ = 0;      // calls for each unit of weight, while answers are in time
  double serving_weight_ = 0;  // of all that serve by the list
  double able_weight_ = 0;     // of those that can take calls
  double telling_weight_ = 0;  // of those whose lateness tells of load
  double peak_held_ = 0;       // since the limit was last looked at
  double late_ = 0;            // of timely_or_not_ outcomes, likewise
  double timely_or_not_ = 0;
  std::size_t asks_ = 1;           // upstreams asked for their load before a call; 1: none
  double ask_price_ = 1;           // of a probe, as a share of a call's worth; 1: none is to be sent
  Fading all_late_;                // as Upstream::late, over all
  std::vector<RequestId> asking_;  // requests that wait for reports
  std::vector<double> admitted_;   // each class's share of late
  std::uint64_t arrivals_ = 0;     // since the last housekeeping
  std::uint64_t served_ = 0;       // likewise
  double usual_rate_ = 0;         // requests taken a second, slowly changing; clients' repeats are among them
  double usual_served_ = 0;       // answers served a second, slowly changing
  std::vector<Mean> usual_time_;  // microseconds, by class
  Mean usual_any_, usual_load_;   // an answer's time; what its upstream held
  Mean connecting_;               // how hard it is, 0 to 1
  Duration trusted_idle_;         // connections idle for longer are closed before a call
  std::map<std::string, Mean> kind_slowness_;
  double retry_budget_ = 0;
  double usual_weight_ = 0;  // the list's weight, slow to fall
};

}  // namespace lb
