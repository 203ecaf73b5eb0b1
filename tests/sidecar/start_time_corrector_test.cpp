#include "sidecar/start_time_corrector.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "gtest/gtest.h"

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

constexpr Duration kSlowStart = seconds(60);
const TimePoint kStart = TimePoint(hours(100));

// A list as the wall clock has it: `age` when it is heard; none for one that started long ago.
struct Listed {
  std::string id;
  std::optional<Duration> age;
  UpstreamState state = UpstreamState::kServing;
};

class StartTimeCorrectorTest : public ::testing::Test {
 protected:
  // The ages that are handed on, in order; zero where none is.
  std::vector<Duration> Receive(Kind kind, Duration at, const std::vector<Listed>& upstreams) {
    MembershipUpdate update{kind, {}};
    for (const auto& [id, age, state] : upstreams) {
      UpstreamInfo info;
      info.id.value = id;
      info.state = state;
      if (age) info.started = kStart + at - *age;
      update.upstreams.push_back(info);
    }
    needs_whole_list_ = corrector_->Correct(update, kStart + at);
    std::vector<Duration> ages;
    for (const auto& info : update.upstreams)
      ages.push_back(info.started ? kStart + at - *info.started : Duration::zero());
    return ages;
  }
  using Ages = std::vector<Duration>;

  std::optional<StartTimeCorrector> corrector_{kSlowStart};
  bool needs_whole_list_ = false;
};

// Nothing is changed where the clock is right: lists come late, upstreams are listed late, discovery was
// away.
TEST_F(StartTimeCorrectorTest, KeepsTimesOfARightClock) {
  EXPECT_EQ(Receive(Kind::kRestored, seconds(0), {{"a", hours(2)}, {"b", minutes(5)}}),
            (Ages{hours(2), minutes(5)}));
  EXPECT_EQ(
      Receive(Kind::kFull, seconds(1), {{"a", hours(2)}, {"b", seconds(1)}, {"c", hours(9)}, {"d", {}}}),
      (Ages{hours(2), seconds(1), hours(9), Duration::zero()}));
  // New ones and new processes, seconds late; a little in the future by the other machine's clock.
  EXPECT_EQ(Receive(Kind::kChanges, seconds(5), {{"e", seconds(12)}, {"a", seconds(25)}, {"d", -seconds(2)}}),
            (Ages{seconds(12), seconds(25), -seconds(2)}));
  // Discovery was away for two minutes, and much started meanwhile.
  EXPECT_EQ(
      Receive(Kind::kFull, seconds(125), {{"e", seconds(100)}, {"f", seconds(119)}, {"a", seconds(145)}}),
      (Ages{seconds(100), seconds(119), seconds(145)}));
  // One that left and is listed again is the same process.
  Receive(Kind::kChanges, seconds(126), {{"a", {}, UpstreamState::kGone}});
  EXPECT_EQ(Receive(Kind::kChanges, seconds(600), {{"a", seconds(620)}}), (Ages{seconds(620)}));
  EXPECT_FALSE(corrector_->ahead());
}

TEST_F(StartTimeCorrectorTest, FindsTheClockAheadByARestartBetweenTwoLists) {
  for (const Duration step : {Duration(minutes(1)), Duration(hours(1)), Duration(hours(24 * 365))}) {
    corrector_.emplace(kSlowStart);
    // `warm` started ten minutes ago, `cold` three seconds; that can't be seen yet. But where the newest
    // start seems long ago, it is judged as if it were now.
    const bool is_quiet_fleet = step > StartTimeCorrector::kQuietFleetAge;
    const std::vector<Listed> first = {
        {"a", hours(1) + step}, {"warm", minutes(10) + step}, {"cold", seconds(3) + step}};
    EXPECT_EQ(Receive(Kind::kFull, seconds(0), first),
              (Ages{hours(1) + step, minutes(10) + step, is_quiet_fleet ? seconds(0) : seconds(3) + step}));
    const auto fresh = Receive(Kind::kChanges, seconds(2), {{"a", seconds(1) + step}});
    EXPECT_EQ(fresh, Ages{seconds(0)}) << "as if it started now";
    EXPECT_EQ(corrector_->ahead(), seconds(1) + step);
    EXPECT_TRUE(needs_whole_list_);
    // The whole list is judged anew: only the cold one is told to be younger than was thought.
    const auto all = Receive(
        Kind::kFull, seconds(3),
        {{"a", seconds(2) + step}, {"warm", minutes(10) + seconds(3) + step}, {"cold", seconds(6) + step}});
    const Duration cold =
        is_quiet_fleet ? seconds(3) : seconds(5);  // by the first list, by what was seen since
    EXPECT_EQ(all, (Ages{seconds(1), minutes(10) + seconds(3) + step, cold}));
    EXPECT_FALSE(needs_whole_list_) << "once is enough";
    // Told again it is the same: a start that moves would be a new process.
    EXPECT_EQ(Receive(Kind::kChanges, seconds(4), {{"cold", seconds(7) + step}}), Ages{cold + seconds(1)});
    EXPECT_EQ(Receive(Kind::kChanges, seconds(9), {{"new", step}}), Ages{seconds(0)});
  }
}

// A process that starts after its clock was put forward: whatever may be cold is taken for it, by the newest
// start.
TEST_F(StartTimeCorrectorTest, TakesTheNewestOfAFirstListForColdIfAllSeemOld) {
  const std::vector<Listed> first = {{"a", {}},
                                     {"b", hours(9)},
                                     {"c", hours(1)},
                                     {"d", hours(1) + seconds(20)},
                                     {"e", hours(1) + minutes(1)}};
  EXPECT_EQ(Receive(Kind::kFull, seconds(0), first),
            (Ages{Duration::zero(), hours(9), seconds(0), seconds(20), hours(1) + minutes(1)}));
  EXPECT_FALSE(corrector_->ahead()) << "it need not be";
  EXPECT_FALSE(needs_whole_list_);
  EXPECT_EQ(Receive(Kind::kFull, seconds(30), {{"c", hours(1) + seconds(30)}, {"f", hours(9)}}),
            (Ages{seconds(30), hours(8)}))
      << "the same process; and one that appears is as young as the newest start allows";
}

TEST_F(StartTimeCorrectorTest, KeepsAFirstListOfWhichHalfStartedLast) {
  EXPECT_EQ(Receive(Kind::kFull, seconds(0), {{"a", hours(1)}, {"b", hours(1)}, {"c", hours(2)}, {"d", {}}}),
            (Ages{hours(1), hours(1), hours(2), Duration::zero()}));
  EXPECT_EQ(Receive(Kind::kFull, seconds(1), {{"a", hours(1) + seconds(1)}, {"d", {}}}),
            (Ages{hours(1) + seconds(1), Duration::zero()}))
      << "judged once, as the first list had it";
}

// It may have been listed before this process came, and be old: it alone is taken for cold.
TEST_F(StartTimeCorrectorTest, TakesAnUpstreamThatAppearsForNew) {
  Receive(Kind::kFull, seconds(0), {{"a", hours(2)}, {"b", hours(3)}});
  EXPECT_EQ(Receive(Kind::kChanges, seconds(1), {{"c", hours(1)}}), Ages{seconds(0)});
  EXPECT_FALSE(corrector_->ahead());
  EXPECT_FALSE(needs_whole_list_);
  EXPECT_EQ(
      Receive(Kind::kFull, seconds(9),
              {{"a", hours(2) + seconds(9)}, {"c", hours(1) + seconds(8)}, {"d", hours(1) + seconds(5)}}),
      (Ages{hours(2) + seconds(9), seconds(8), seconds(5)}))
      << "what started since it is younger still: the one start time bounds the other";
}

TEST_F(StartTimeCorrectorTest, BoundsTheClocksErrorByAStartThatWasSeen) {
  Receive(Kind::kFull, seconds(0), {{"a", seconds(2)}});
  EXPECT_EQ(Receive(Kind::kChanges, seconds(1), {{"b", hours(1)}}), Ages{hours(1) - seconds(2)})
      << "listed again after a long time, by a clock that can't be ahead by more than two seconds";
}

TEST_F(StartTimeCorrectorTest, TakesNothingForNewInTheFirstListOfAnotherService) {
  Receive(Kind::kFull, seconds(0), {{"a", hours(2)}});
  corrector_->ForgetService();
  EXPECT_EQ(Receive(Kind::kFull, seconds(1), {{"a", hours(1)}, {"b", hours(3)}}), (Ages{hours(1), hours(3)}));
  EXPECT_FALSE(corrector_->ahead());
}

TEST_F(StartTimeCorrectorTest, FindsTheClockBehindByAStartInTheFuture) {
  for (const Duration step : {Duration(seconds(8)), Duration(hours(1))}) {
    corrector_.emplace(kSlowStart);
    EXPECT_EQ(Receive(Kind::kFull, seconds(0), {{"a", hours(5) - step}, {"b", seconds(1) - step}}),
              (Ages{hours(5) - seconds(1), seconds(0)}));
    EXPECT_EQ(corrector_->ahead(), seconds(1) - step);
    EXPECT_EQ(Receive(Kind::kChanges, seconds(30), {{"c", -step}, {"b", seconds(31) - step}}),
              (Ages{seconds(0), seconds(30)}));
    EXPECT_FALSE(needs_whole_list_);
  }
}

// Fleets change for months: what has left is forgotten, but not at once.
TEST_F(StartTimeCorrectorTest, ForgetsUnlistedUpstreamsAfterManyOthers) {
  Receive(Kind::kFull, seconds(0), {{"a", hours(2)}});
  for (int i = 0; i < 20000; ++i) {
    const std::string id = "n" + std::to_string(i);
    const auto at = milliseconds(i);
    EXPECT_EQ(Receive(Kind::kChanges, at, {{id, seconds(1)}}), Ages{seconds(1)});
    Receive(Kind::kChanges, at, {{id, {}, UpstreamState::kGone}});
  }
  EXPECT_EQ(Receive(Kind::kChanges, seconds(30), {{"a", hours(2) + seconds(30)}}),
            Ages{hours(2) + seconds(30)});
}

}  // namespace
}  // namespace lb::sidecar::testing
