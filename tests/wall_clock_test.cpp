// Start times of upstreams where the machine's own wall clock was stepped before the process began.
#include "sidecar/wall_clock.h"

#include <chrono>
#include <memory>
#include <new>
#include <optional>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "tests/fault_injection.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {
namespace {

using lb::MembershipUpdate;
using lb::UpstreamInfo;
using lb::UpstreamState;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Kind = MembershipUpdate::Kind;

constexpr Duration kCold = seconds(60);
const TimePoint kStart = TimePoint(hours(100));

// A list as the wall clock has it: `age` when it is heard; none for one that started long ago.
struct Told {
  std::string id;
  std::optional<Duration> age;
  UpstreamState state = UpstreamState::kServing;
};

class WallClockTest : public ::testing::Test {
 protected:
  // The ages that are handed on, in order; zero where none is.
  std::vector<Duration> Hear(Kind kind, Duration at, const std::vector<Told>& told) {
    MembershipUpdate update{kind, {}};
    for (const auto& [id, age, state] : told) {
      UpstreamInfo info;
      info.id.value = id;
      info.state = state;
      if (age) info.started = kStart + at - *age;
      update.upstreams.push_back(info);
    }
    ask_for_all_ = clock_.Judge(update, kStart + at);
    std::vector<Duration> ages;
    for (const auto& info : update.upstreams)
      ages.push_back(info.started ? kStart + at - *info.started : Duration::zero());
    return ages;
  }
  using Ages = std::vector<Duration>;

  WallClock clock_{kCold};
  bool ask_for_all_ = false;
};

// Nothing is changed where the clock is right: lists come late, upstreams are listed late, discovery was
// away.
TEST_F(WallClockTest, ARightClockIsTakenAtItsWord) {
  EXPECT_EQ(Hear(Kind::kRestored, seconds(0), {{"a", hours(2)}, {"b", minutes(5)}}),
            (Ages{hours(2), minutes(5)}));
  EXPECT_EQ(Hear(Kind::kFull, seconds(1), {{"a", hours(2)}, {"b", seconds(1)}, {"c", hours(9)}, {"d", {}}}),
            (Ages{hours(2), seconds(1), hours(9), Duration::zero()}));
  // New ones and new processes, seconds late; a little in the future by the other machine's clock.
  EXPECT_EQ(Hear(Kind::kChanges, seconds(5), {{"e", seconds(12)}, {"a", seconds(25)}, {"d", -seconds(2)}}),
            (Ages{seconds(12), seconds(25), -seconds(2)}));
  // Discovery was away for two minutes, and much started meanwhile.
  EXPECT_EQ(Hear(Kind::kFull, seconds(125), {{"e", seconds(100)}, {"f", seconds(119)}, {"a", seconds(145)}}),
            (Ages{seconds(100), seconds(119), seconds(145)}));
  // One that left and is listed again is the same process.
  Hear(Kind::kChanges, seconds(126), {{"a", {}, UpstreamState::kGone}});
  EXPECT_EQ(Hear(Kind::kChanges, seconds(600), {{"a", seconds(620)}}), (Ages{seconds(620)}));
  EXPECT_FALSE(clock_.ahead());
}

TEST_F(WallClockTest, ANewProcessSeenToStartShowsTheClockAhead) {
  for (const Duration step : {Duration(minutes(1)), Duration(hours(1)), Duration(hours(24 * 365))}) {
    clock_.~WallClock();
    new (&clock_) WallClock(kCold);
    // `warm` started ten minutes ago, `cold` three seconds; that can't be seen yet. But where the newest
    // start seems long ago, it is judged as if it were now.
    const bool long_quiet = step > WallClock::kLongQuiet;
    const std::vector<Told> first = {
        {"a", hours(1) + step}, {"warm", minutes(10) + step}, {"cold", seconds(3) + step}};
    EXPECT_EQ(Hear(Kind::kFull, seconds(0), first),
              (Ages{hours(1) + step, minutes(10) + step, long_quiet ? seconds(0) : seconds(3) + step}));
    const auto fresh = Hear(Kind::kChanges, seconds(2), {{"a", seconds(1) + step}});
    EXPECT_EQ(fresh, Ages{seconds(0)}) << "as if it started now";
    EXPECT_EQ(clock_.ahead(), seconds(1) + step);
    EXPECT_TRUE(ask_for_all_);
    // The whole list is judged anew: only the cold one is told to be younger than was thought.
    const auto all = Hear(
        Kind::kFull, seconds(3),
        {{"a", seconds(2) + step}, {"warm", minutes(10) + seconds(3) + step}, {"cold", seconds(6) + step}});
    const Duration cold = long_quiet ? seconds(3) : seconds(5);  // by the first list, by what was seen since
    EXPECT_EQ(all, (Ages{seconds(1), minutes(10) + seconds(3) + step, cold}));
    EXPECT_FALSE(ask_for_all_) << "once is enough";
    // Told again it is the same: a start that moves would be a new process.
    EXPECT_EQ(Hear(Kind::kChanges, seconds(4), {{"cold", seconds(7) + step}}), Ages{cold + seconds(1)});
    EXPECT_EQ(Hear(Kind::kChanges, seconds(9), {{"new", step}}), Ages{seconds(0)});
  }
}

// A process that starts after its clock was put forward: whatever may be cold is taken for it, by the newest
// start.
TEST_F(WallClockTest, TheNewestOfAFirstListAreTakenForColdWhereAllSeemOld) {
  const std::vector<Told> first = {{"a", {}},
                                   {"b", hours(9)},
                                   {"c", hours(1)},
                                   {"d", hours(1) + seconds(20)},
                                   {"e", hours(1) + minutes(1)}};
  EXPECT_EQ(Hear(Kind::kFull, seconds(0), first),
            (Ages{Duration::zero(), hours(9), seconds(0), seconds(20), hours(1) + minutes(1)}));
  EXPECT_FALSE(clock_.ahead()) << "it need not be";
  EXPECT_FALSE(ask_for_all_);
  EXPECT_EQ(Hear(Kind::kFull, seconds(30), {{"c", hours(1) + seconds(30)}, {"f", hours(9)}}),
            (Ages{seconds(30), hours(8)}))
      << "the same process; and one that appears is as young as the newest start allows";
}

TEST_F(WallClockTest, WhereHalfOfAFirstListStartedLastTheyStartedTogetherLongAgo) {
  EXPECT_EQ(Hear(Kind::kFull, seconds(0), {{"a", hours(1)}, {"b", hours(1)}, {"c", hours(2)}, {"d", {}}}),
            (Ages{hours(1), hours(1), hours(2), Duration::zero()}));
  EXPECT_EQ(Hear(Kind::kFull, seconds(1), {{"a", hours(1) + seconds(1)}, {"d", {}}}),
            (Ages{hours(1) + seconds(1), Duration::zero()}))
      << "judged once, as the first list had it";
}

// It may have been listed before this process came, and be old: it alone is taken for cold.
TEST_F(WallClockTest, OneThatAppearsIsTakenForNewAndNothingElseIsChanged) {
  Hear(Kind::kFull, seconds(0), {{"a", hours(2)}, {"b", hours(3)}});
  EXPECT_EQ(Hear(Kind::kChanges, seconds(1), {{"c", hours(1)}}), Ages{seconds(0)});
  EXPECT_FALSE(clock_.ahead());
  EXPECT_FALSE(ask_for_all_);
  EXPECT_EQ(Hear(Kind::kFull, seconds(9),
                 {{"a", hours(2) + seconds(9)}, {"c", hours(1) + seconds(8)}, {"d", hours(1) + seconds(5)}}),
            (Ages{hours(2) + seconds(9), seconds(8), seconds(5)}))
      << "what started since it is younger still: the one start time bounds the other";
}

TEST_F(WallClockTest, AStartThatWasSeenBoundsHowMuchTheClockIsAhead) {
  Hear(Kind::kFull, seconds(0), {{"a", seconds(2)}});
  EXPECT_EQ(Hear(Kind::kChanges, seconds(1), {{"b", hours(1)}}), Ages{hours(1) - seconds(2)})
      << "listed again after a long time, by a clock that can't be ahead by more than two seconds";
}

TEST_F(WallClockTest, AnotherServiceNamesNobodyAnew) {
  Hear(Kind::kFull, seconds(0), {{"a", hours(2)}});
  clock_.ForgetService();
  EXPECT_EQ(Hear(Kind::kFull, seconds(1), {{"a", hours(1)}, {"b", hours(3)}}), (Ages{hours(1), hours(3)}));
  EXPECT_FALSE(clock_.ahead());
}

TEST_F(WallClockTest, AStartInTheFutureShowsTheClockBehind) {
  for (const Duration step : {Duration(seconds(8)), Duration(hours(1))}) {
    clock_.~WallClock();
    new (&clock_) WallClock(kCold);
    EXPECT_EQ(Hear(Kind::kFull, seconds(0), {{"a", hours(5) - step}, {"b", seconds(1) - step}}),
              (Ages{hours(5) - seconds(1), seconds(0)}));
    EXPECT_EQ(clock_.ahead(), seconds(1) - step);
    EXPECT_EQ(Hear(Kind::kChanges, seconds(30), {{"c", -step}, {"b", seconds(31) - step}}),
              (Ages{seconds(0), seconds(30)}));
    EXPECT_FALSE(ask_for_all_);
  }
}

// Fleets change for months: what has left is forgotten, but not at once.
TEST_F(WallClockTest, WhatHasLeftIsForgottenInTheEnd) {
  Hear(Kind::kFull, seconds(0), {{"a", hours(2)}});
  for (int i = 0; i < 20000; ++i) {
    const std::string id = "n" + std::to_string(i);
    const auto at = milliseconds(i);
    EXPECT_EQ(Hear(Kind::kChanges, at, {{id, seconds(1)}}), Ages{seconds(1)});
    Hear(Kind::kChanges, at, {{id, {}, UpstreamState::kGone}});
  }
  EXPECT_EQ(Hear(Kind::kChanges, seconds(30), {{"a", hours(2) + seconds(30)}}), Ages{hours(2) + seconds(30)});
}

// ---- The real program ----

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// A program between three upstreams, of which the first starts anew. Its machine's wall clock is stepped by
// `ahead` before it starts.
class SteppedProgram {
 public:
  explicit SteppedProgram(Duration ahead, Duration cold = seconds(20)) {
    Step(ahead);
    Node::Options options = With(nullptr);
    options.environment = faults_.environment();
    options.settings["Rules"]["Cold"] = cold.count();
    options.discovery = discovery_.address();
    node_ = std::make_unique<Node>(options);
    EXPECT_TRUE(node_->Listening());
    EXPECT_TRUE(Eventually([&] { return discovery_.calls() > 1; }));
    client_ = std::make_unique<Client>(node_->port());
  }

  void Step(Duration ahead) { faults_.StepWallClock(std::chrono::duration_cast<milliseconds>(ahead)); }

  void StartFirstAnew() {
    const int told = discovery_.calls();
    discovery_.Tell(ListNow(seconds(0)));
    EXPECT_TRUE(Eventually([&] { return discovery_.calls() > told; }));
  }

  // Its share of the calls of the next `time`.
  double ShareOfFirst(Duration time) {
    const auto until = std::chrono::steady_clock::now() + time;
    int first = 0, calls = 0;
    while (std::chrono::steady_clock::now() < until || calls < 300) {
      const auto answer = client_->Get("/page/k", "r" + std::to_string(++asked_));
      if (!answer) return -1;
      first += answer->body().starts_with("u1");
      ++calls;
    }
    return static_cast<double>(first) / calls;
  }

 private:
  json ListNow(Duration age) const {
    const auto started = std::chrono::duration_cast<milliseconds>(age).count();
    // The others started with the first one's first process: half of a list or more is not taken for cold.
    return List({Target("u1", u1_.address(), "active", UnixMs() - started),
                 Target("u2", u2_.address(), "active", first_start_ms_),
                 Target("u3", u3_.address(), "active", first_start_ms_)});
  }

  FaultInjector faults_;
  const std::int64_t first_start_ms_ = UnixMs() - milliseconds(hours(2)).count();
  Upstream u1_{Upstream::Echo("u1")}, u2_{Upstream::Echo("u2")}, u3_{Upstream::Echo("u3")};
  Discovery discovery_{ListNow(hours(2))};
  std::unique_ptr<Node> node_;
  std::unique_ptr<Client> client_;
  int asked_ = 0;
};

TEST(SteppedClock, AnUpstreamThatStartsGetsNoMoreThanAColdOne) {
  struct Row {
    Duration before_start, while_it_runs;
  };
  for (const Row& row : {Row{seconds(0), seconds(0)}, Row{hours(1), hours(1)}, Row{-hours(1), -hours(1)},
                         Row{seconds(0), hours(1)}, Row{hours(1), seconds(0)}}) {
    SteppedProgram program(row.before_start);
    EXPECT_GT(program.ShareOfFirst(seconds(1)), 0.25) << row.before_start.count();
    program.Step(row.while_it_runs);
    program.StartFirstAnew();
    const double cold = program.ShareOfFirst(seconds(2));
    EXPECT_GE(cold, 0) << row.before_start.count() << " " << row.while_it_runs.count();
    EXPECT_LT(cold, 0.2) << row.before_start.count() << " " << row.while_it_runs.count();
  }
}

TEST(SteppedClock, AnUpstreamWarmsUpInItsTimeWhereTheClockIsBehind) {
  SteppedProgram program(-hours(1), seconds(1));
  program.StartFirstAnew();
  EXPECT_TRUE(Eventually([&] { return program.ShareOfFirst(milliseconds(200)) > 0.25; }));
}

}  // namespace
}  // namespace lb::sidecar::testing
