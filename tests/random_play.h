// Passes random events to one balancer and hashes its actions. Equal hashes show that two versions of the
// decision module make the same decisions.
#pragma once

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "balancer/balancer.h"
#include "tests/balancer_harness.h"

namespace lb::testing {

// The weights of a deployment's upstreams: all equal, multiples of 1/4 (their sums are exact in binary
// floating point), or decimal fractions (their sums are rounded).
enum class Weights { kEqual, kDyadic, kDecimal };

struct PlayOptions {
  std::size_t upstreams = 40;
  Weights weights = Weights::kEqual;
  std::size_t sidecar_count = 30;
  bool polled_membership = false;
  bool load_probes = false;  // allowed at a low cost; responses report the load
  double cross_zone = 0;     // cost of crossing zones
  bool restricted = false;   // no hedged requests, no cancellation, small slow-start budget
  std::size_t events = 1500;
};

// Derives the options from the number of the play, so that a range of numbers covers many deployments.
inline PlayOptions OptionsOf(std::uint64_t number) {
  static constexpr std::size_t kSizes[] = {3, 9, 40, 120, 400};
  static constexpr std::size_t kSidecarCounts[] = {1, 7, 300};
  PlayOptions o;
  o.upstreams = kSizes[number % 5];
  o.weights = static_cast<Weights>(number / 2 % 3);
  o.sidecar_count = kSidecarCounts[number / 3 % 3];
  o.polled_membership = number / 4 % 2 == 1;
  o.load_probes = number / 5 % 3 == 1;
  o.cross_zone = number / 7 % 2 == 1 ? 0.05 : 0;
  o.restricted = number / 11 % 3 == 1;
  return o;
}

// One play of random events. Whether an upstream is healthy, slow, failing or unresponsive follows from its
// id and the time; the upstream list changes often.
class RandomPlay {
 public:
  RandomPlay(const PlayOptions& options, std::uint64_t seed)
      : options_(options), random_(seed), balancer_(MakeSettings(options, seed), seed) {
    MembershipUpdate first{MembershipUpdate::Kind::kRestored, {}};
    for (std::size_t i = 0; i < options.upstreams; ++i) first.upstreams.push_back(NewUpstream());
    HandleUpdate(std::move(first));
  }

  std::uint64_t Run() {
    for (std::size_t i = 0; i < options_.events; ++i) {
      Advance(Below(40) == 0 ? Duration(Below(3'000'000)) : Duration(Below(12'000)));
      PlayRandomEvent();
    }
    Advance(std::chrono::seconds(130));  // longer than the longest ejection and slow start
    return hash_;
  }

  // The hash that Run() returns, but without the text of log lines.
  std::uint64_t decisions() const { return decisions_; }
  std::size_t actions() const { return actions_; }
  std::size_t ejections() const { return ejections_; }
  std::size_t sent() const { return sent_; }
  // Rule violations: attempts sent to an upstream that was draining, removed or disabled, and requests with
  // two final answers.
  std::size_t violations() const { return violations_; }

 private:
  struct PendingAttempt {
    RequestId request{};
    AttemptId attempt{};
    std::string upstream;
    TimePoint sent;
    Outcome outcome = Outcome::kServed;
  };

  static Settings MakeSettings(const PlayOptions& o, std::uint64_t seed) {
    Settings s = DefaultSettings();
    s.sidecar_count = o.sidecar_count;
    s.sidecar_index = seed % o.sidecar_count;
    s.polled_membership = o.polled_membership;
    s.limits.load_probes_allowed = s.load_probes_report_load = o.load_probes;
    s.decision_costs.probe = o.load_probes ? 0.004 : 0;
    s.decision_costs.cross_zone = o.cross_zone;
    s.classes[0].late_priority_weight = seed % 2 == 0 ? 0.4 : 0;
    s.classes[0].stream = true;
    s.tenants = {{"one", 0.5, 100}, {"two", 0.5, 100}};
    if (o.restricted) {
      s.limits.hedging_allowed = s.limits.cancellation_allowed = false;
      s.fleet_limits.slow_start_initial_share = 0.02;
      s.fleet_limits.slow_start_duration = std::chrono::seconds(6);
    }
    return s;
  }

  // Returns a random number from 0 to `bound` - 1.
  std::uint64_t Below(std::uint64_t bound) { return random_() % bound; }

  double DrawWeight() {
    if (options_.weights == Weights::kEqual) return 1;
    if (options_.weights == Weights::kDyadic) return 0.25 * static_cast<double>(1 + Below(16));
    return 0.1 * static_cast<double>(1 + Below(60)) / 3;
  }

  UpstreamInfo NewUpstream() {
    UpstreamInfo info;
    info.id.value = "upstream-" + std::to_string(next_upstream_++);
    info.zone = Below(3) == 0 ? "there" : "here";
    info.kind = Below(4) == 0 ? "" : "kind-" + std::to_string(Below(3));
    info.cell = static_cast<std::int64_t>(Below(3));
    info.weight = DrawWeight();
    if (Below(2) == 0) info.started = now_ - Duration(Below(40'000'000)) + Duration(1'000'000);
    listed_[info.id.value] = info;
    return info;
  }

  UpstreamInfo& DrawListedUpstream() {
    auto it = listed_.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(Below(listed_.size())));
    return it->second;
  }

  // Draws one entry of a membership change and applies it to `listed_`.
  UpstreamInfo DrawChangedUpstream() {
    if (listed_.empty() || (listed_.size() < options_.upstreams && Below(3) == 0)) return NewUpstream();
    UpstreamInfo& info = DrawListedUpstream();
    switch (Below(7)) {
      case 0:
        info.state = UpstreamState::kDraining;
        break;
      case 1: {
        UpstreamInfo gone = info;
        gone.state = UpstreamState::kGone;
        listed_.erase(gone.id.value);
        return gone;
      }
      case 2:
        info.started = now_ - Duration(Below(3'000'000));
        info.state = UpstreamState::kServing;
        break;
      case 3:
        info.weight = DrawWeight();
        break;
      case 4:
        if (Below(4) == 0) info.started.reset();
        break;
      default:
        info.state = UpstreamState::kServing;
    }
    return info;
  }

  void ChangeMembership() {
    MembershipUpdate update{MembershipUpdate::Kind::kChanges, {}};
    const std::uint64_t kind = Below(12);
    if (kind == 0) return HandleUpdate({MembershipUpdate::Kind::kFailed, {}});
    if (kind < 8) {
      const std::uint64_t changes = kind == 1 ? 1 + Below(options_.upstreams) : 1 + Below(2);
      for (std::uint64_t i = 0; i < changes; ++i) update.upstreams.push_back(DrawChangedUpstream());
      // Removes an upstream that was never listed, and in half of the cases adds it in the same update.
      if (kind == 2) {
        UpstreamInfo info = NewUpstream();
        info.state = UpstreamState::kGone;
        update.upstreams.push_back(info);
        if (Below(2) == 0) {
          info.state = UpstreamState::kServing;
          update.upstreams.push_back(info);
        } else {
          listed_.erase(info.id.value);
        }
      }
      return HandleUpdate(std::move(update));
    }
    const std::uint64_t removed_of_20 = Below(4) * Below(4);  // on average, of 20 listed upstreams
    std::erase_if(listed_, [&](const auto&) { return Below(20) < removed_of_20; });
    update.kind = kind == 8 ? MembershipUpdate::Kind::kRestored : MembershipUpdate::Kind::kFull;
    while (listed_.size() < options_.upstreams && Below(8) != 0) NewUpstream();
    for (const auto& [id, info] : listed_) update.upstreams.push_back(info);
    HandleUpdate(std::move(update));
  }

  void HandleUpdate(MembershipUpdate update) { HandleEvent(std::move(update)); }

  void PlayRandomEvent() {
    const std::uint64_t roll = Below(100);
    if (roll < 70) return SendRequests();
    if (roll < 84) return ChangeMembership();
    if (roll < 88 && !listed_.empty()) {
      const std::string id =
          Below(2) == 0 || disabled_.empty() ? DrawListedUpstream().id.value : *disabled_.begin();
      const bool disable = !disabled_.contains(id);
      if (disable) disabled_.insert(id);
      if (!disable) disabled_.erase(id);
      return HandleEvent(OperatorOverride{{id}, disable});
    }
    if (requests_.empty()) return;
    auto it = requests_.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(Below(requests_.size())));
    const RequestId id = *it;
    if (body_pending_.erase(id) > 0) return HandleEvent(RequestCompleted{id, now_ + std::chrono::seconds(2)});
    if (roll < 94) {
      requests_.erase(it);
      HandleEvent(RequestCancelled{id});
    }
  }

  void SendRequests() {
    // One in 30 arrivals is a burst, so that the concurrency limit takes effect at times.
    for (std::uint64_t i = Below(30) == 0 ? 30 : 1; i > 0; --i) {
      RequestArrived e;
      e.request = RequestId{++last_request_};
      e.request_class = ClassId{Below(5)};
      e.tenant = TenantId{Below(2)};
      e.deadline = now_ + Duration(20'000 + Below(2'000'000));
      e.client_retry = Below(9) == 0;
      e.body_pending = Below(12) == 0;
      if (e.body_pending) body_pending_.insert(e.request);
      requests_.insert(e.request);
      HandleEvent(e);
    }
  }

  // Schedules the end of an attempt. A number derived from the upstream's id and the current interval of 9 s
  // decides how the upstream behaves: one number in 5 is slow, one in 7 fails, one in 13 rejects requests or
  // connections, one in 11 does not respond.
  void ScheduleEnd(const SendAttempt& a, AttemptId attempt) {
    std::uint64_t number = 0;
    for (const char c : a.upstream.value) number = number * 31 + static_cast<unsigned char>(c);
    number += static_cast<std::uint64_t>(now_.time_since_epoch().count()) / 9'000'000;
    Duration duration(2'000 + Below(40'000));
    Outcome outcome = Outcome::kServed;
    if (number % 5 == 0) duration *= 8;
    if (number % 7 == 0) outcome = Below(5) == 0 ? Outcome::kReset : Outcome::kError;
    if (number % 13 == 0) outcome = Below(2) == 0 ? Outcome::kRejected : Outcome::kConnectFailed;
    if (number % 11 == 0 || duration >= a.timeout) outcome = Outcome::kTimeout, duration = a.timeout;
    if (Below(60) == 0) outcome = Outcome::kNotSent;
    ends_.emplace(now_ + duration, PendingAttempt{a.request, attempt, a.upstream.value, now_, outcome});
  }

  void Advance(Duration by) {
    const TimePoint end = now_ + by;
    for (;;) {
      const TimePoint timer = timers_.empty() ? TimePoint::max() : timers_.begin()->first;
      const TimePoint attempt_end = ends_.empty() ? TimePoint::max() : ends_.begin()->first;
      const TimePoint probe_end = probes_.empty() ? TimePoint::max() : probes_.begin()->first;
      const TimePoint next = std::min({timer, attempt_end, probe_end});
      if (next > end) break;
      now_ = std::max(now_, next);
      if (next == timer) {
        const std::uint64_t token = timers_.begin()->second;
        timers_.erase(timers_.begin());
        HandleEvent(TimerFired{token});
      } else if (next == attempt_end) {
        const PendingAttempt a = ends_.begin()->second;
        ends_.erase(ends_.begin());
        FinishAttempt(a);
      } else {
        LoadProbeFinished e{{probes_.begin()->second}, Outcome::kServed, Duration(1000), {}};
        probes_.erase(probes_.begin());
        if (Below(12) == 0) e.outcome = Outcome::kTimeout;
        if (e.outcome == Outcome::kServed) e.load.in_flight = static_cast<double>(Below(12));
        if (Below(2) == 0) e.load.rate = static_cast<double>(Below(90));
        HandleEvent(e);
      }
    }
    now_ = end;
  }

  void FinishAttempt(const PendingAttempt& a) {
    AttemptFinished e{a.request, a.attempt, a.outcome, now_ - a.sent, false, {}};
    if (Below(3) == 0) e.connection_idle_for = Duration(Below(9'000'000));
    if (a.outcome == Outcome::kServed && Below(6) == 0 && requests_.contains(a.request))
      HandleEvent(ResponseStarted{a.request, a.attempt});
    // The first served response is delivered to the client.
    e.response_delivered = a.outcome == Outcome::kServed && requests_.erase(a.request) > 0;
    HandleEvent(e);
  }

  void HandleEvent(const Event& event) {
    std::vector<Action> actions;
    balancer_.Handle(now_, event, actions);
    for (const Action& action : actions) {
      ++actions_;
      AddToHash(action.index());
      std::visit([this](const auto& a) { Record(a); }, action);
    }
  }

  void AddToHash(std::uint64_t value) {
    hash_ = (hash_ ^ value) * 0x100000001b3;
    decisions_ = (decisions_ ^ value) * 0x100000001b3;
  }
  void AddToHash(const std::string& text) {
    for (const char c : text) AddToHash(static_cast<unsigned char>(c));
  }
  void AddToHash(Duration d) { AddToHash(static_cast<std::uint64_t>(d.count())); }

  void Record(const SendAttempt& a) {
    ++sent_;
    const auto it = listed_.find(a.upstream.value);
    violations_ += it == listed_.end() || it->second.state != UpstreamState::kServing ||
                   disabled_.contains(a.upstream.value);
    AddToHash(static_cast<std::uint64_t>(a.request));
    AddToHash(a.upstream.value);
    AddToHash(a.timeout), AddToHash(a.max_connection_idle), AddToHash(a.begin_within);
    ScheduleEnd(a, AttemptId{attempts_[a.request]++});
  }
  void Record(const CancelAttempt& a) {
    AddToHash(static_cast<std::uint64_t>(a.request)), AddToHash(static_cast<std::uint64_t>(a.attempt));
    for (auto it = ends_.begin(); it != ends_.end(); ++it) {
      if (it->second.request != a.request || it->second.attempt != a.attempt) continue;
      PendingAttempt attempt = it->second;
      attempt.outcome = Outcome::kCancelled;
      ends_.erase(it);
      ends_.emplace(now_, attempt);
      return;
    }
  }
  void RecordFinalAnswer(RequestId id) {
    violations_ += !answered_.insert(id).second;
    requests_.erase(id);
  }
  void Record(const RejectRequest& a) {
    AddToHash(static_cast<std::uint64_t>(a.request)), AddToHash(a.retry_after);
    RecordFinalAnswer(a.request);
  }
  void Record(const FailRequest& a) {
    AddToHash(static_cast<std::uint64_t>(a.request));
    RecordFinalAnswer(a.request);
  }
  void Record(const SetTimer& a) {
    AddToHash(a.at.time_since_epoch()), AddToHash(a.token);
    timers_.emplace(a.at, a.token);
  }
  void Record(const SendLoadProbe& a) {
    AddToHash(a.upstream.value), AddToHash(a.max_connection_idle);
    probes_.emplace(now_ + Duration(500 + Below(30'000)), a.upstream.value);
  }
  void Record(const CloseIdleConnections& a) { AddToHash(a.upstream.value); }
  void Record(const Subscribe&) {}
  void Record(const LogLine& a) {
    ejections_ += a.text.starts_with("upstream_ejected ");
    const std::uint64_t decisions = decisions_;
    AddToHash(a.text);
    decisions_ = decisions;
  }

  const PlayOptions options_;
  std::mt19937_64 random_;
  Balancer balancer_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::map<std::string, UpstreamInfo> listed_;
  std::set<std::string> disabled_;
  std::set<RequestId> requests_, body_pending_, answered_;
  std::map<RequestId, std::size_t> attempts_;
  std::multimap<TimePoint, std::uint64_t> timers_;
  std::multimap<TimePoint, PendingAttempt> ends_;
  std::multimap<TimePoint, std::string> probes_;
  std::uint64_t next_upstream_ = 0, last_request_ = 0;
  std::uint64_t hash_ = 0xcbf29ce484222325;
  std::uint64_t decisions_ = 0xcbf29ce484222325;
  std::size_t actions_ = 0, ejections_ = 0, sent_ = 0, violations_ = 0;
};

}  // namespace lb::testing
