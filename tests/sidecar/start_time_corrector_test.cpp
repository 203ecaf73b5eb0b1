// Tests of the correction of start times after a step of the wall clock.
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

// An entry of a list. `age` is the age by the wall clock when the list is received; absent: started long ago.
struct Listed {
  std::string id;
  std::optional<Duration> age;
  UpstreamState state = UpstreamState::kServing;
};

class StartTimeCorrectorTest : public ::testing::Test {
 protected:
  // Passes a list received at kStart + `at` to the corrector. Returns the corrected ages in the order of
  // `upstreams`; zero for an upstream without a start time.
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

// With a correct clock no start time may be changed, even if lists arrive late, upstreams are listed late or
// discovery was unreachable.
TEST_F(StartTimeCorrectorTest, KeepsTimesOfARightClock) {
  EXPECT_EQ(Receive(Kind::kRestored, seconds(0), {{"a", hours(2)}, {"b", minutes(5)}}),
            (Ages{hours(2), minutes(5)}));
  EXPECT_EQ(
      Receive(Kind::kFull, seconds(1), {{"a", hours(2)}, {"b", seconds(1)}, {"c", hours(9)}, {"d", {}}}),
      (Ages{hours(2), seconds(1), hours(9), Duration::zero()}));
  // New upstreams and restarts that are listed some seconds late, and a start time slightly in the future by
  // the other machine's clock.
  EXPECT_EQ(Receive(Kind::kChanges, seconds(5), {{"e", seconds(12)}, {"a", seconds(25)}, {"d", -seconds(2)}}),
            (Ages{seconds(12), seconds(25), -seconds(2)}));
  // Discovery was unreachable for two minutes, during which upstreams started.
  EXPECT_EQ(
      Receive(Kind::kFull, seconds(125), {{"e", seconds(100)}, {"f", seconds(119)}, {"a", seconds(145)}}),
      (Ages{seconds(100), seconds(119), seconds(145)}));
  // An upstream that left and is listed again with the same start time is the same process.
  Receive(Kind::kChanges, seconds(126), {{"a", {}, UpstreamState::kGone}});
  EXPECT_EQ(Receive(Kind::kChanges, seconds(600), {{"a", seconds(620)}}), (Ages{seconds(620)}));
  EXPECT_FALSE(corrector_->max_ahead());
}

TEST_F(StartTimeCorrectorTest, FindsTheClockAheadByARestartBetweenTwoLists) {
  for (const Duration step : {Duration(minutes(1)), Duration(hours(1)), Duration(hours(24 * 365))}) {
    corrector_.emplace(kSlowStart);
    // `warm` started ten minutes ago and `cold` three seconds ago, but the first list cannot show this. If
    // the newest start seems to be long ago, the newest upstream is treated as if it started now.
    const bool is_quiet_fleet = step > StartTimeCorrector::kQuietFleetAge;
    const std::vector<Listed> first = {
        {"a", hours(1) + step}, {"warm", minutes(10) + step}, {"cold", seconds(3) + step}};
    EXPECT_EQ(Receive(Kind::kFull, seconds(0), first),
              (Ages{hours(1) + step, minutes(10) + step, is_quiet_fleet ? seconds(0) : seconds(3) + step}));
    const auto fresh = Receive(Kind::kChanges, seconds(2), {{"a", seconds(1) + step}});
    EXPECT_EQ(fresh, Ages{seconds(0)}) << "treated as if it started now";
    EXPECT_EQ(corrector_->max_ahead(), seconds(1) + step);
    EXPECT_TRUE(needs_whole_list_);
    // The start times in the whole list are corrected again: only the cold upstream becomes younger.
    const auto all = Receive(
        Kind::kFull, seconds(3),
        {{"a", seconds(2) + step}, {"warm", minutes(10) + seconds(3) + step}, {"cold", seconds(6) + step}});
    const Duration cold =
        is_quiet_fleet ? seconds(3) : seconds(5);  // limited by the first list, or by the restart
    EXPECT_EQ(all, (Ages{seconds(1), minutes(10) + seconds(3) + step, cold}));
    EXPECT_FALSE(needs_whole_list_) << "the whole list is needed only once";
    // The same upstream keeps its corrected start time: a change would look like a restart.
    EXPECT_EQ(Receive(Kind::kChanges, seconds(4), {{"cold", seconds(7) + step}}), Ages{cold + seconds(1)});
    EXPECT_EQ(Receive(Kind::kChanges, seconds(9), {{"new", step}}), Ages{seconds(0)});
  }
}

// A sidecar that starts while its clock is ahead must treat as cold all upstreams that may be cold, judged by
// the newest start.
TEST_F(StartTimeCorrectorTest, TakesTheNewestOfAFirstListForColdIfAllSeemOld) {
  const std::vector<Listed> first = {{"a", {}},
                                     {"b", hours(9)},
                                     {"c", hours(1)},
                                     {"d", hours(1) + seconds(20)},
                                     {"e", hours(1) + minutes(1)}};
  EXPECT_EQ(Receive(Kind::kFull, seconds(0), first),
            (Ages{Duration::zero(), hours(9), seconds(0), seconds(20), hours(1) + minutes(1)}));
  EXPECT_FALSE(corrector_->max_ahead()) << "the clock may be correct";
  EXPECT_FALSE(needs_whole_list_);
  EXPECT_EQ(Receive(Kind::kFull, seconds(30), {{"c", hours(1) + seconds(30)}, {"f", hours(9)}}),
            (Ages{seconds(30), hours(8)}))
      << "c is the same process, and the new f is as young as the newest start allows";
}

TEST_F(StartTimeCorrectorTest, KeepsAFirstListOfWhichHalfStartedLast) {
  EXPECT_EQ(Receive(Kind::kFull, seconds(0), {{"a", hours(1)}, {"b", hours(1)}, {"c", hours(2)}, {"d", {}}}),
            (Ages{hours(1), hours(1), hours(2), Duration::zero()}));
  EXPECT_EQ(Receive(Kind::kFull, seconds(1), {{"a", hours(1) + seconds(1)}, {"d", {}}}),
            (Ages{hours(1) + seconds(1), Duration::zero()}))
      << "only the first list is judged";
}

// The upstream may have been listed before this process started and be old, so the clock is still trusted and
// only this upstream is treated as cold.
TEST_F(StartTimeCorrectorTest, TakesAnUpstreamThatAppearsForNew) {
  Receive(Kind::kFull, seconds(0), {{"a", hours(2)}, {"b", hours(3)}});
  EXPECT_EQ(Receive(Kind::kChanges, seconds(1), {{"c", hours(1)}}), Ages{seconds(0)});
  EXPECT_FALSE(corrector_->max_ahead());
  EXPECT_FALSE(needs_whole_list_);
  EXPECT_EQ(
      Receive(Kind::kFull, seconds(9),
              {{"a", hours(2) + seconds(9)}, {"c", hours(1) + seconds(8)}, {"d", hours(1) + seconds(5)}}),
      (Ages{hours(2) + seconds(9), seconds(8), seconds(5)}))
      << "d started after c, so the start time of c limits its age";
}

TEST_F(StartTimeCorrectorTest, BoundsTheClocksErrorByAStartThatWasSeen) {
  Receive(Kind::kFull, seconds(0), {{"a", seconds(2)}});
  EXPECT_EQ(Receive(Kind::kChanges, seconds(1), {{"b", hours(1)}}), Ages{hours(1) - seconds(2)})
      << "listed again after a long time, with a clock that cannot be ahead by more than two seconds";
}

TEST_F(StartTimeCorrectorTest, TakesNothingForNewInTheFirstListOfAnotherService) {
  Receive(Kind::kFull, seconds(0), {{"a", hours(2)}});
  corrector_->ForgetService();
  EXPECT_EQ(Receive(Kind::kFull, seconds(1), {{"a", hours(1)}, {"b", hours(3)}}), (Ages{hours(1), hours(3)}));
  EXPECT_FALSE(corrector_->max_ahead());
}

TEST_F(StartTimeCorrectorTest, FindsTheClockBehindByAStartInTheFuture) {
  for (const Duration step : {Duration(seconds(8)), Duration(hours(1))}) {
    corrector_.emplace(kSlowStart);
    EXPECT_EQ(Receive(Kind::kFull, seconds(0), {{"a", hours(5) - step}, {"b", seconds(1) - step}}),
              (Ages{hours(5) - seconds(1), seconds(0)}));
    EXPECT_EQ(corrector_->max_ahead(), seconds(1) - step);
    EXPECT_EQ(Receive(Kind::kChanges, seconds(30), {{"c", -step}, {"b", seconds(31) - step}}),
              (Ages{seconds(0), seconds(30)}));
    EXPECT_FALSE(needs_whole_list_);
  }
}

// A fleet changes for months, so upstreams that left must be forgotten, but not immediately.
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
