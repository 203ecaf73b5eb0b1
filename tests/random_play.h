// Plays random events against one balancer and hashes every action, to compare two versions of the module.
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

// How a deployment's weights look: all alike, sums of powers of two, or any decimal number.
enum class Weights { kAlike, kDyadic, kDecimal };

struct PlayOptions {
  std::size_t upstreams = 40;
  Weights weights = Weights::kAlike;
  std::size_t sidecar_count = 30;
  bool on_request = false;  // membership
  bool probes = false;      // tell the load, and are cheap
  double cross_zone = 0;    // price
  bool tight = false;       // no hedged requests, no cancels, little budget for cold upstreams
  std::size_t events = 1500;
};

// Drawn from the number alone, so that a list of numbers stands for many deployments.
inline PlayOptions OptionsOf(std::uint64_t number) {
  static constexpr std::size_t kSizes[] = {3, 9, 40, 120, 400};
  static constexpr std::size_t kBalancers[] = {1, 7, 300};
  PlayOptions o;
  o.upstreams = kSizes[number % 5];
  o.weights = static_cast<Weights>(number / 2 % 3);
  o.sidecar_count = kBalancers[number / 3 % 3];
  o.on_request = number / 4 % 2 == 1;
  o.probes = number / 5 % 3 == 1;
  o.cross_zone = number / 7 % 2 == 1 ? 0.05 : 0;
  o.tight = number / 11 % 3 == 1;
  return o;
}

// One play. Upstreams are healthy, slow, failing or silent by their names; lists change all the time.
class RandomPlay {
 public:
  RandomPlay(const PlayOptions& options, std::uint64_t seed)
      : options_(options), random_(seed), balancer_(MakeSettings(options, seed), seed) {
    MembershipUpdate first{MembershipUpdate::Kind::kRestored, {}};
    for (std::size_t i = 0; i < options.upstreams; ++i) first.upstreams.push_back(NewUpstream());
    Hear(std::move(first));
  }

  std::uint64_t Run() {
    for (std::size_t i = 0; i < options_.events; ++i) {
      Pass(Below(40) == 0 ? Duration(Below(3'000'000)) : Duration(Below(12'000)));
      Step();
    }
    Pass(std::chrono::seconds(130));  // every ejection and every ramp is over
    return hash_;
  }

  // As Run()'s result, but without the text of log lines: equal wherever the decisions are.
  std::uint64_t decisions() const { return decisions_; }
  std::size_t actions() const { return actions_; }
  std::size_t ejections() const { return ejections_; }
  std::size_t sent() const { return sent_; }
  // Attempts sent to an upstream that was draining, gone or disabled, and requests answered twice.
  std::size_t broken() const { return broken_; }

 private:
  struct Attempted {
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
    s.polled_membership = o.on_request;
    s.limits.load_probes_allowed = s.load_by_probe = o.probes;
    s.decision_costs.probe = o.probes ? 0.004 : 0;
    s.decision_costs.cross_zone = o.cross_zone;
    s.classes[0].late_priority_weight = seed % 2 == 0 ? 0.4 : 0;
    s.classes[0].stream = true;
    s.tenants = {{"one", 0.5, 100}, {"two", 0.5, 100}};
    if (o.tight) {
      s.limits.hedging_allowed = s.limits.cancellation_allowed = false;
      s.fleet_limits.slow_start_initial_share = 0.02;
      s.fleet_limits.slow_start_duration = std::chrono::seconds(6);
    }
    return s;
  }

  std::uint64_t Below(std::uint64_t bound) { return random_() % bound; }

  double SomeWeight() {
    if (options_.weights == Weights::kAlike) return 1;
    if (options_.weights == Weights::kDyadic) return 0.25 * static_cast<double>(1 + Below(16));
    return 0.1 * static_cast<double>(1 + Below(60)) / 3;
  }

  UpstreamInfo NewUpstream() {
    UpstreamInfo info;
    info.id.value = "upstream-" + std::to_string(next_upstream_++);
    info.zone = Below(3) == 0 ? "there" : "here";
    info.kind = Below(4) == 0 ? "" : "kind-" + std::to_string(Below(3));
    info.cell = static_cast<std::int64_t>(Below(3));
    info.weight = SomeWeight();
    if (Below(2) == 0) info.started = now_ - Duration(Below(40'000'000)) + Duration(1'000'000);
    listed_[info.id.value] = info;
    return info;
  }

  UpstreamInfo& Some() {
    auto it = listed_.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(Below(listed_.size())));
    return it->second;
  }

  // One line of a change; what it says is what the list holds from then on.
  UpstreamInfo Line() {
    if (listed_.empty() || (listed_.size() < options_.upstreams && Below(3) == 0)) return NewUpstream();
    UpstreamInfo& info = Some();
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
        info.weight = SomeWeight();
        break;
      case 4:
        if (Below(4) == 0) info.started.reset();
        break;
      default:
        info.state = UpstreamState::kServing;
    }
    return info;
  }

  void Change() {
    MembershipUpdate update{MembershipUpdate::Kind::kChanges, {}};
    const std::uint64_t kind = Below(12);
    if (kind == 0) return Hear({MembershipUpdate::Kind::kFailed, {}});
    if (kind < 8) {
      const std::uint64_t lines = kind == 1 ? 1 + Below(options_.upstreams) : 1 + Below(2);
      for (std::uint64_t i = 0; i < lines; ++i) update.upstreams.push_back(Line());
      if (kind == 2) {  // of one that was never listed, and back in the same change
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
      return Hear(std::move(update));
    }
    const std::uint64_t missing = Below(4) * Below(4);  // of twenty
    std::erase_if(listed_, [&](const auto&) { return Below(20) < missing; });
    update.kind = kind == 8 ? MembershipUpdate::Kind::kRestored : MembershipUpdate::Kind::kFull;
    while (listed_.size() < options_.upstreams && Below(8) != 0) NewUpstream();
    for (const auto& [id, info] : listed_) update.upstreams.push_back(info);
    Hear(std::move(update));
  }

  void Hear(MembershipUpdate update) { Do(std::move(update)); }

  void Step() {
    const std::uint64_t what = Below(100);
    if (what < 70) return Arrive();
    if (what < 84) return Change();
    if (what < 88 && !listed_.empty()) {
      const std::string id = Below(2) == 0 || disabled_.empty() ? Some().id.value : *disabled_.begin();
      const bool out = !disabled_.contains(id);
      if (out) disabled_.insert(id);
      if (!out) disabled_.erase(id);
      return Do(OperatorOverride{{id}, out});
    }
    if (requests_.empty()) return;
    auto it = requests_.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(Below(requests_.size())));
    const RequestId id = *it;
    if (open_.erase(id) > 0) return Do(RequestCompleted{id, now_ + std::chrono::seconds(2)});
    if (what < 94) {
      requests_.erase(it);
      Do(RequestCancelled{id});
    }
  }

  void Arrive() {
    // Bursts, so that the limit on requests in flight binds now and then.
    for (std::uint64_t i = Below(30) == 0 ? 30 : 1; i > 0; --i) {
      RequestArrived e;
      e.request = RequestId{++last_request_};
      e.request_class = ClassId{Below(5)};
      e.tenant = TenantId{Below(2)};
      e.deadline = now_ + Duration(20'000 + Below(2'000'000));
      e.client_retry = Below(9) == 0;
      e.body_pending = Below(12) == 0;
      if (e.body_pending) open_.insert(e.request);
      requests_.insert(e.request);
      Do(e);
    }
  }

  // By its number one in seven fails, one in eleven is silent, one in five slow, in turns of some seconds.
  void Plan(const SendAttempt& a, AttemptId attempt) {
    std::uint64_t number = 0;
    for (const char c : a.upstream.value) number = number * 31 + static_cast<unsigned char>(c);
    number += static_cast<std::uint64_t>(now_.time_since_epoch().count()) / 9'000'000;
    Duration takes(2'000 + Below(40'000));
    Outcome outcome = Outcome::kServed;
    if (number % 5 == 0) takes *= 8;
    if (number % 7 == 0) outcome = Below(5) == 0 ? Outcome::kReset : Outcome::kError;
    if (number % 13 == 0) outcome = Below(2) == 0 ? Outcome::kRejected : Outcome::kConnectFailed;
    if (number % 11 == 0 || takes >= a.timeout) outcome = Outcome::kTimeout, takes = a.timeout;
    if (Below(60) == 0) outcome = Outcome::kNotSent;
    ends_.emplace(now_ + takes, Attempted{a.request, attempt, a.upstream.value, now_, outcome});
  }

  void Pass(Duration by) {
    const TimePoint end = now_ + by;
    for (;;) {
      const TimePoint timer = timers_.empty() ? TimePoint::max() : timers_.begin()->first;
      const TimePoint ended = ends_.empty() ? TimePoint::max() : ends_.begin()->first;
      const TimePoint probed = probes_.empty() ? TimePoint::max() : probes_.begin()->first;
      const TimePoint next = std::min({timer, ended, probed});
      if (next > end) break;
      now_ = std::max(now_, next);
      if (next == timer) {
        const std::uint64_t token = timers_.begin()->second;
        timers_.erase(timers_.begin());
        Do(TimerFired{token});
      } else if (next == ended) {
        const Attempted a = ends_.begin()->second;
        ends_.erase(ends_.begin());
        End(a);
      } else {
        LoadProbeFinished e{{probes_.begin()->second}, Outcome::kServed, Duration(1000), {}};
        probes_.erase(probes_.begin());
        if (Below(12) == 0) e.outcome = Outcome::kTimeout;
        if (e.outcome == Outcome::kServed) e.load.in_flight = static_cast<double>(Below(12));
        if (Below(2) == 0) e.load.rate = static_cast<double>(Below(90));
        Do(e);
      }
    }
    now_ = end;
  }

  void End(const Attempted& a) {
    AttemptFinished e{a.request, a.attempt, a.outcome, now_ - a.sent, false, {}};
    if (Below(3) == 0) e.connection_idle_for = Duration(Below(9'000'000));
    if (a.outcome == Outcome::kServed && Below(6) == 0 && requests_.contains(a.request))
      Do(ResponseStarted{a.request, a.attempt});
    // The first served answer is the client's.
    e.response_delivered = a.outcome == Outcome::kServed && requests_.erase(a.request) > 0;
    Do(e);
  }

  void Do(const Event& event) {
    std::vector<Action> actions;
    balancer_.Handle(now_, event, actions);
    for (const Action& action : actions) {
      ++actions_;
      Mix(action.index());
      std::visit([this](const auto& a) { Record(a); }, action);
    }
  }

  void Mix(std::uint64_t value) {
    hash_ = (hash_ ^ value) * 0x100000001b3;
    decisions_ = (decisions_ ^ value) * 0x100000001b3;
  }
  void Mix(const std::string& text) {
    for (const char c : text) Mix(static_cast<unsigned char>(c));
  }
  void Mix(Duration d) { Mix(static_cast<std::uint64_t>(d.count())); }

  void Record(const SendAttempt& a) {
    ++sent_;
    const auto it = listed_.find(a.upstream.value);
    broken_ += it == listed_.end() || it->second.state != UpstreamState::kServing ||
               disabled_.contains(a.upstream.value);
    Mix(static_cast<std::uint64_t>(a.request));
    Mix(a.upstream.value);
    Mix(a.timeout), Mix(a.max_connection_idle), Mix(a.begin_within);
    Plan(a, AttemptId{attempts_[a.request]++});
  }
  void Record(const CancelAttempt& a) {
    Mix(static_cast<std::uint64_t>(a.request)), Mix(static_cast<std::uint64_t>(a.attempt));
    for (auto it = ends_.begin(); it != ends_.end(); ++it) {
      if (it->second.request != a.request || it->second.attempt != a.attempt) continue;
      Attempted ended = it->second;
      ended.outcome = Outcome::kCancelled;
      ends_.erase(it);
      ends_.emplace(now_, ended);
      return;
    }
  }
  void Final(RequestId id) {
    broken_ += !final_.insert(id).second;
    requests_.erase(id);
  }
  void Record(const RejectRequest& a) {
    Mix(static_cast<std::uint64_t>(a.request)), Mix(a.retry_after);
    Final(a.request);
  }
  void Record(const FailRequest& a) {
    Mix(static_cast<std::uint64_t>(a.request));
    Final(a.request);
  }
  void Record(const SetTimer& a) {
    Mix(a.at.time_since_epoch()), Mix(a.token);
    timers_.emplace(a.at, a.token);
  }
  void Record(const SendLoadProbe& a) {
    Mix(a.upstream.value), Mix(a.max_connection_idle);
    probes_.emplace(now_ + Duration(500 + Below(30'000)), a.upstream.value);
  }
  void Record(const CloseIdleConnections& a) { Mix(a.upstream.value); }
  void Record(const Subscribe&) {}
  void Record(const LogLine& a) {
    ejections_ += a.text.starts_with("upstream_ejected ");
    const std::uint64_t decisions = decisions_;
    Mix(a.text);
    decisions_ = decisions;
  }

  const PlayOptions options_;
  std::mt19937_64 random_;
  Balancer balancer_;
  TimePoint now_{std::chrono::seconds(1000)};
  std::map<std::string, UpstreamInfo> listed_;
  std::set<std::string> disabled_;
  std::set<RequestId> requests_, open_, final_;
  std::map<RequestId, std::size_t> attempts_;
  std::multimap<TimePoint, std::uint64_t> timers_;
  std::multimap<TimePoint, Attempted> ends_;
  std::multimap<TimePoint, std::string> probes_;
  std::uint64_t next_upstream_ = 0, last_request_ = 0;
  std::uint64_t hash_ = 0xcbf29ce484222325;
  std::uint64_t decisions_ = 0xcbf29ce484222325;
  std::size_t actions_ = 0, ejections_ = 0, sent_ = 0, broken_ = 0;
};

}  // namespace lb::testing
