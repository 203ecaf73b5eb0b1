// Checks the invariants of the decision module over seeded random sequences of events: each action that the
// balancer returns must be allowed by the state of the requests, the state of the upstreams and the settings
// at that moment.
#include <algorithm>
#include <cstdint>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tests/balancer_harness.h"

namespace lb::testing {
namespace {

constexpr int kSteps = 12000;

class RandomHistory {
 public:
  explicit RandomHistory(std::uint64_t seed)
      : random_(seed), settings_(DrawSettings()), harness_(settings_, seed) {}

  // Returns early after a fatal failure.
  void Play() {
    ListSixUpstreams();
    for (int step = 0; step < kSteps; ++step) {
      harness_.now += Duration(Below(20000));
      FireDueTimers();
      ExpectNothingOverdue();
      PlayEvent(step);
      if (::testing::Test::HasFatalFailure()) return;
    }
    ExpectSlowStartBudgetKept();
    harness_.Advance(5s);
    CheckActions();
  }

 private:
  struct Attempt {
    SentAttempt sent;
    std::optional<Outcome> outcome;  // absent while the attempt is pending

    bool MayHaveRun() const {
      return !outcome || (*outcome != Outcome::kRejected && *outcome != Outcome::kConnectFailed &&
                          *outcome != Outcome::kNotSent);
    }
  };
  struct Request {
    ClassId request_class{};
    TimePoint deadline;
    std::vector<Attempt> attempts;
    bool ended = false;

    bool MayHaveRun() const { return std::ranges::any_of(attempts, &Attempt::MayHaveRun); }
    bool IsSettled() const {
      return ended && std::ranges::all_of(attempts,
                                          [](const Attempt& attempt) { return attempt.outcome.has_value(); });
    }
  };
  // An attempt sent to an upstream in slow start, and the share of its full capacity that the upstream had
  // then.
  struct WarmingSend {
    TimePoint at;
    double capacity_share = 0;
  };
  // An upstream and the start time of its process. Attempts sent to an earlier process do not load a
  // restarted one.
  using Process = std::pair<std::string, TimePoint>;

  // Returns a random number from 0 to `bound` - 1.
  std::uint64_t Below(std::uint64_t bound) { return random_() % bound; }

  Settings DrawSettings() {
    Settings settings = DefaultSettings();
    settings.limits.hedging_allowed = Below(2) == 0;
    settings.limits.load_probes_allowed = Below(2) == 0;
    settings.limits.cancellation_allowed = Below(4) != 0;
    settings.limits.max_attempts = 1 + Below(5);
    settings.classes[2].key_window = Duration(100000 + Below(2000000));
    if (Below(2) == 0) settings.tenants = {{"t", 0.5, 50}, {"u", 0.5, 50}};
    return settings;
  }

  const RequestClass& ClassOf(const Request& request) const {
    return settings_.classes[static_cast<std::size_t>(request.request_class)];
  }

  // ---- Events ----

  void ListSixUpstreams() {
    harness_.ReplaceList({});
    for (char id = 'a'; id < 'g'; ++id) {
      UpstreamInfo info = MakeUpstream(std::string(1, id));
      info.zone = Below(2) == 0 ? "here" : "there";
      upstreams_[info.id.value] = info;
      harness_.ChangeUpstream(info);
    }
  }

  void FireDueTimers() {
    while (!harness_.timers.empty() && harness_.timers.begin()->first <= harness_.now) {
      const std::uint64_t token = harness_.timers.begin()->second;
      harness_.timers.erase(harness_.timers.begin());
      harness_.Handle(TimerFired{token});
      CheckActions();
    }
  }

  void PlayEvent(int step) {
    const auto roll = Below(100);
    if (roll < 45) {
      Arrive(RequestId{1000000U + static_cast<std::uint64_t>(step)});
    } else if (roll < 93) {
      FinishOldestAttempt();
    } else if (roll < 96) {
      CancelRequest();
    } else if (roll < 97) {
      const bool restarts = Below(3) == 0;
      ChangeUpstream(std::string(1, static_cast<char>('a' + Below(6))), restarts);
    }
  }

  void Arrive(RequestId id) {
    RequestArrived arrived;
    arrived.request = id;
    arrived.request_class = ClassId{Below(5)};
    arrived.deadline = harness_.now + Duration(1 + Below(2000000));
    if (!settings_.tenants.empty()) arrived.tenant = TenantId{Below(2)};
    requests_[id] = Request{arrived.request_class, arrived.deadline, {}, false};
    harness_.Handle(arrived);
    CheckActions();
  }

  // Returns null if no request is in flight.
  std::map<RequestId, Request>::value_type* DrawRequest() {
    if (requests_.empty()) return nullptr;
    auto drawn = requests_.begin();
    std::advance(drawn, Below(requests_.size()));
    return &*drawn;
  }

  void FinishOldestAttempt() {
    auto* const drawn = DrawRequest();
    if (drawn == nullptr) return;
    Request& request = drawn->second;
    const auto attempt =
        std::ranges::find_if(request.attempts, [](const Attempt& each) { return !each.outcome.has_value(); });
    if (attempt == request.attempts.end()) return;
    const Outcome outcome = Below(10) < 6 ? Outcome::kServed : static_cast<Outcome>(1 + Below(7));
    attempt->outcome = outcome;
    if (outcome == Outcome::kServed) request.ended = true;
    const SentAttempt sent = attempt->sent;
    harness_.Handle(
        AttemptFinished{sent.request, sent.attempt, outcome, harness_.now - sent.at, request.ended, {}});
    CheckActions();
  }

  void CancelRequest() {
    auto* const drawn = DrawRequest();
    if (drawn == nullptr) return;
    drawn->second.ended = true;
    harness_.Handle(RequestCancelled{drawn->first});
    CheckActions();
  }

  void ChangeUpstream(const std::string& id, bool restarts) {
    UpstreamInfo& info = upstreams_[id];
    info.state = Below(3) == 0 ? UpstreamState::kDraining : UpstreamState::kServing;
    if (Below(6) == 0) info.state = UpstreamState::kGone;
    if (restarts) info.started = harness_.now;
    harness_.ChangeUpstream(info);
    CheckActions();
  }

  // ---- Invariants ----

  // Requires that all due timers have fired: a request without a final answer must then be within its
  // deadline and the grace period after it.
  void ExpectNothingOverdue() {
    for (auto at = requests_.begin(); at != requests_.end();) {
      const Request& request = at->second;
      EXPECT_TRUE(request.ended || harness_.now <= request.deadline + settings_.fleet_limits.answer_grace)
          << "unanswered after its deadline";
      at = request.IsSettled() ? requests_.erase(at) : std::next(at);
    }
  }

  void CheckActions() {
    for (const Action& action : harness_.actions) {
      std::visit([this](const auto& checked_action) { Check(checked_action); }, action);
      if (::testing::Test::HasFatalFailure()) return;
    }
  }

  void Check(const SendAttempt& send) {
    Request* const request = FindOpen(send.request);
    ASSERT_NE(request, nullptr);
    for (const Attempt& attempt : request->attempts) {
      if (attempt.MayHaveRun()) CheckRepeatedAttempt(*request, attempt, send);
    }
    EXPECT_LT(harness_.now, request->deadline);
    EXPECT_LT(request->attempts.size(), settings_.limits.max_attempts);
    const UpstreamInfo& upstream = upstreams_.at(send.upstream.value);
    EXPECT_EQ(upstream.state, UpstreamState::kServing);
    request->attempts.push_back({{send.request, AttemptId{request->attempts.size()}, send.upstream.value,
                                  send.timeout, harness_.now, send.begin_within},
                                 std::nullopt});
    RecordWarmingSend(upstream);
  }
  void Check(const RejectRequest& reject) {
    Request* const request = FindOpen(reject.request);
    ASSERT_NE(request, nullptr);
    if (request->MayHaveRun()) {
      const RequestClass& request_class = ClassOf(*request);
      EXPECT_TRUE(request_class.idempotency == Idempotency::kIdempotent ||
                  (request_class.idempotency == Idempotency::kIdempotencyKey &&
                   request_class.key_scope == KeyScope::kAll));
    }
    request->ended = true;
  }
  void Check(const FailRequest& fail) {
    Request* const request = FindOpen(fail.request);
    ASSERT_NE(request, nullptr);
    request->ended = true;
  }
  void Check(const SendLoadProbe& probe) {
    EXPECT_TRUE(settings_.limits.load_probes_allowed);
    EXPECT_EQ(upstreams_.at(probe.upstream.value).state, UpstreamState::kServing);
  }
  void Check(const CancelAttempt&) { EXPECT_TRUE(settings_.limits.cancellation_allowed); }
  void Check(const SetTimer&) {}
  void Check(const CloseIdleConnections&) {}
  void Check(const Subscribe&) {}
  void Check(const LogLine&) {}

  // Returns null and reports a test failure if the request is unknown or has ended.
  Request* FindOpen(RequestId id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
      ADD_FAILURE() << "action for an unknown request";
      return nullptr;
    }
    if (found->second.ended) {
      ADD_FAILURE() << "action for a request that has ended";
      return nullptr;
    }
    return &found->second;
  }

  // Checks that `send` may repeat the attempt `earlier`, which may have run.
  void CheckRepeatedAttempt(const Request& request, const Attempt& earlier, const SendAttempt& send) {
    const RequestClass& request_class = ClassOf(request);
    if (!earlier.outcome) {
      EXPECT_TRUE(settings_.limits.hedging_allowed);
    }
    EXPECT_NE(request_class.idempotency, Idempotency::kNotIdempotent);
    if (request_class.idempotency != Idempotency::kIdempotencyKey) return;
    EXPECT_LE(harness_.now - earlier.sent.at, request_class.key_window);
    const UpstreamInfo& from = upstreams_.at(earlier.sent.upstream);
    const UpstreamInfo& to = upstreams_.at(send.upstream.value);
    if (request_class.key_scope == KeyScope::kZone) {
      EXPECT_EQ(from.zone, to.zone);
    }
    if (request_class.key_scope == KeyScope::kCell) {
      EXPECT_EQ(from.cell, to.cell);
    }
  }

  void RecordWarmingSend(const UpstreamInfo& upstream) {
    const FleetLimits& limits = settings_.fleet_limits;
    if (!upstream.started || harness_.now - *upstream.started >= limits.slow_start_duration) return;
    const double age = static_cast<double>((harness_.now - *upstream.started) / 1us) /
                       static_cast<double>(limits.slow_start_duration / 1us);
    const double capacity_share =
        limits.slow_start_initial_share + (1 - limits.slow_start_initial_share) * age;
    warming_sends_[{upstream.id.value, *upstream.started}].push_back({harness_.now, capacity_share});
  }

  // There are about 45 first attempts per second, and rarely fewer than two of the six upstreams are listed,
  // so that a warm upstream gets at most 22 attempts per second. An upstream in slow start may get
  // `overload_multiple` times its share of that in `overload_window`, and two more attempts because arrivals
  // are uneven.
  void ExpectSlowStartBudgetKept() const {
    constexpr double kMaxWarmUpstreamRate = 22;
    constexpr double kAllowance = 2;
    const FleetLimits& limits = settings_.fleet_limits;
    for (const auto& [process, sends] : warming_sends_) {
      for (std::size_t first = 0; first < sends.size(); ++first) {
        std::size_t last = first;
        while (last + 1 < sends.size() && sends[last + 1].at - sends[first].at < limits.overload_window)
          ++last;
        EXPECT_LE(static_cast<double>(last - first + 1),
                  kAllowance + limits.overload_multiple * sends[last].capacity_share * kMaxWarmUpstreamRate)
            << process.first;
      }
    }
  }

  std::mt19937_64 random_;
  const Settings settings_;
  BalancerHarness harness_;
  std::map<RequestId, Request> requests_;  // in flight
  std::map<std::string, UpstreamInfo> upstreams_;
  std::map<Process, std::deque<WarmingSend>> warming_sends_;
};

class RandomHistories : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomHistories, KeepTheInvariants) {
  RandomHistory history(GetParam());

  history.Play();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomHistories, ::testing::Range<std::uint64_t>(1, 25));

}  // namespace
}  // namespace lb::testing
