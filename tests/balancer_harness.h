// Test harness around one balancer: passes it events through Handle(), runs its timers on a simulated clock
// and records its actions.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "balancer/balancer.h"
#include "gtest/gtest.h"

namespace lb::testing {

using namespace std::chrono_literals;

inline RequestClass MakeClass(std::string name, Idempotency idempotency) {
  RequestClass c;
  c.name = std::move(name);
  c.latency_objective = 400ms;
  c.deadline = 2s;
  c.idempotency = idempotency;
  c.key_window = 5s;
  return c;
}

inline constexpr ClassId kIdempotent{0};
inline constexpr ClassId kNotIdempotent{1};
inline constexpr ClassId kKeyedAll{2};
inline constexpr ClassId kKeyedZone{3};
inline constexpr ClassId kKeyedCell{4};

inline Settings DefaultSettings() {
  Settings s;
  s.classes = {MakeClass("safe", Idempotency::kIdempotent), MakeClass("unsafe", Idempotency::kNotIdempotent),
               MakeClass("keyed-all", Idempotency::kIdempotencyKey),
               MakeClass("keyed-zone", Idempotency::kIdempotencyKey),
               MakeClass("keyed-cell", Idempotency::kIdempotencyKey)};
  s.classes[3].key_scope = KeyScope::kZone;
  s.classes[4].key_scope = KeyScope::kCell;
  s.zone = "here";
  s.limits.max_attempts = 4;
  s.limits.hedging_allowed = true;
  return s;
}

inline UpstreamInfo MakeUpstream(std::string id, UpstreamState state = UpstreamState::kServing) {
  UpstreamInfo info;
  info.id.value = std::move(id);
  info.zone = "here";
  info.state = state;
  return info;
}

// `count` upstreams: "s0", "s1", ...
inline std::vector<UpstreamInfo> NumberedUpstreams(int count) {
  std::vector<UpstreamInfo> upstreams;
  upstreams.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) upstreams.push_back(MakeUpstream("s" + std::to_string(i)));
  return upstreams;
}

struct SentAttempt {
  RequestId request{};
  AttemptId attempt{};
  std::string upstream;
  Duration timeout{};
  TimePoint at;
  Duration begin_within{};
};

class BalancerHarness {
 public:
  explicit BalancerHarness(Settings settings = DefaultSettings(), std::uint64_t seed = 7)
      : balancer_(std::move(settings), seed) {}

  // Lists `count` upstreams: "a", "b", ...
  void ListUpstreams(int count) {
    MembershipUpdate update;
    update.kind = MembershipUpdate::Kind::kRestored;
    for (int i = 0; i < count; ++i)
      update.upstreams.push_back(MakeUpstream(std::string(1, static_cast<char>('a' + i))));
    Handle(update);
  }
  void ReplaceList(std::vector<UpstreamInfo> list) {
    Handle(MembershipUpdate{MembershipUpdate::Kind::kFull, std::move(list)});
  }
  void ChangeUpstream(UpstreamInfo info) {
    Handle(MembershipUpdate{MembershipUpdate::Kind::kChanges, {std::move(info)}});
  }

  // Passes one event to the balancer. `actions` then holds the actions that this event caused; the records
  // below hold those of all events.
  void Handle(const Event& event) {
    actions.clear();
    balancer_.Handle(now, event, actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { Record(a); }, action);
  }

  RequestId SendRequest(ClassId cls = kIdempotent, Duration time_to_deadline = 2s) {
    RequestArrived e;
    e.request = RequestId{++last_request_};
    e.request_class = cls;
    e.deadline = now + time_to_deadline;
    Handle(e);
    return e.request;
  }

  void FinishAttempt(const SentAttempt& attempt, Outcome outcome, bool finished = false) {
    Handle(AttemptFinished{attempt.request,
                           attempt.attempt,
                           outcome,
                           now - attempt.at,
                           finished || outcome == Outcome::kServed,
                           {}});
  }

  // Advances the clock by `by` and fires the timers that become due, in order.
  void Advance(Duration by) {
    const TimePoint end = now + by;
    while (!timers.empty() && timers.begin()->first <= end) {
      now = std::max(now, timers.begin()->first);
      const std::uint64_t token = timers.begin()->second;
      timers.erase(timers.begin());
      Handle(TimerFired{token});
    }
    now = end;
  }

  // Finishes the attempts `sent[from]` and later: those at the upstream `failing` with `outcome`, all others
  // as served. Returns the number of attempts at `failing`.
  int FinishAttemptsFrom(std::size_t from, const std::string& failing = "",
                         Outcome outcome = Outcome::kServed) {
    int attempts_at_failing = 0;
    bool served = false;
    for (std::size_t i = from; i < sent.size(); ++i) {
      const SentAttempt attempt = sent[i];
      const bool at_failing = attempt.upstream == failing;
      attempts_at_failing += at_failing;
      FinishAttempt(attempt, at_failing ? outcome : Outcome::kServed, served);
      served = served || !at_failing || outcome == Outcome::kServed;
    }
    return attempts_at_failing;
  }

  // Sends a request that is served after 10 ms. Returns the upstream of its first attempt, or "" if none was
  // sent.
  std::string ServeRequest(ClassId cls = kIdempotent) {
    const std::size_t before = sent.size();
    SendRequest(cls);
    now += 10ms;
    FinishAttemptsFrom(before);
    return sent.size() == before ? "" : sent[before].upstream;
  }

  // Sends requests until `failures` attempts at the upstream `failing` have ended with `outcome`; all other
  // attempts are served. Waits 100 ms between requests, because a suspected upstream gets only half-open
  // probes, which are sent at intervals.
  void FailConsecutively(const std::string& failing, int failures, Outcome outcome = Outcome::kError) {
    for (int tries = 0; failures > 0 && tries < 3000; ++tries) {
      const std::size_t before = sent.size();
      SendRequest(kIdempotent);
      now += 10ms;
      failures -= FinishAttemptsFrom(before, failing, outcome);
      if (failures > 0) Advance(100ms);
    }
    EXPECT_LE(failures, 0) << failing << " got too few attempts";
  }

  // Serves `requests` requests. Returns the number of requests by upstream.
  std::map<std::string, int> ServeAndCount(int requests, ClassId cls = kIdempotent) {
    std::map<std::string, int> requests_by_upstream;
    for (int i = 0; i < requests; ++i) ++requests_by_upstream[ServeRequest(cls)];
    return requests_by_upstream;
  }

  bool HasLogged(const std::string& part) const {
    for (const std::string& line : logs) {
      if (line.find(part) != std::string::npos) return true;
    }
    return false;
  }

  TimePoint now{1000s};
  std::vector<Action> actions;
  std::vector<SentAttempt> sent;
  std::vector<RequestId> rejected;
  std::vector<RequestId> failed;
  std::vector<std::pair<RequestId, AttemptId>> cancelled;
  std::vector<std::string> logs;
  std::vector<std::string> probed;
  std::vector<std::string> closed;
  int subscribed = 0;
  Duration last_retry_after{};
  std::multimap<TimePoint, std::uint64_t> timers;

 private:
  void Record(const SendAttempt& a) {
    EXPECT_GT(a.timeout, Duration::zero());
    sent.push_back(
        {a.request, AttemptId{attempts_[a.request]++}, a.upstream.value, a.timeout, now, a.begin_within});
  }
  void Record(const CancelAttempt& a) { cancelled.emplace_back(a.request, a.attempt); }
  void Record(const RejectRequest& a) {
    rejected.push_back(a.request);
    last_retry_after = a.retry_after;
  }
  void Record(const FailRequest& a) { failed.push_back(a.request); }
  void Record(const SetTimer& a) { timers.emplace(a.at, a.token); }
  void Record(const SendLoadProbe& a) { probed.push_back(a.upstream.value); }
  void Record(const CloseIdleConnections& a) { closed.push_back(a.upstream.value); }
  void Record(const Subscribe&) { ++subscribed; }
  void Record(const LogLine& a) { logs.push_back(a.text); }

  Balancer balancer_;
  std::uint64_t last_request_ = 0;
  std::map<RequestId, std::size_t> attempts_;
};

}  // namespace lb::testing
