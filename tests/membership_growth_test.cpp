// Tests of the cost of long endpoint lists, and that the incremental updates of sums and order, which bound
// this cost, do not change any decision.
#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gtest/gtest.h"
#include "tests/peers.h"
#include "tests/random_play.h"

namespace lb::testing {
namespace {

// The hash of all actions, without the text of log lines, for each random play from play 0 on, in their
// order. Recorded with an implementation that sorted, summed and numbered the whole list at each change.
// The hashes are the same at -O0, -O2 and -O3 and under the sanitizers.
constexpr std::uint64_t kRecordedHashes[] = {
    0xbe1ab2e527992315, 0xdaa3453cae716b70, 0x829f0486304835d3, 0x4f4241923406c909, 0xfca2c19b1c0596e4,
    0x3b84dbe651de8d40, 0x96a233325b08bf2e, 0xfc829f9f9618f748, 0x78983fdd9e83bb38, 0x373abc4a95f8317e,
    0x846a20c8ec6df8e9, 0x30160720035a31d9, 0xe4c1e4bb9200259b, 0x41c75e08a59e80d3, 0xe98159ddced68f9e,
    0xbec1ff2cd369b058, 0x37de7f7784b7182f, 0x70ab35dad0ed0429, 0xeed339489d32171a, 0xc898ff95d3da62b2,
    0x62db246093f8f9c5, 0xe72bfe36fbbf9f83, 0xae56d763ef572589, 0x90c056b51b3c41df, 0x76bca62f8aafa4bf,
    0x32b160752a23c899, 0x7b8b919eeed552c8, 0x2f709dc551f49989, 0xc66704ed323028f3, 0x7d7440afb336d55b};

TEST(MembershipGrowth, RandomPlaysGiveTheActionsThatTheyGaveBefore) {
  std::size_t ejections = 0, sent = 0;
  for (std::uint64_t number = 0; number < std::size(kRecordedHashes); ++number) {
    RandomPlay play(OptionsOf(number), number);
    play.Run();
    EXPECT_EQ(play.decisions(), kRecordedHashes[number]) << "play " << number;
    EXPECT_EQ(play.violations(), 0U) << "play " << number;
    ejections += play.ejections();
    sent += play.sent();
  }
  EXPECT_GT(ejections, 100U);  // otherwise the plays cover too little
  EXPECT_GT(sent, 40000U);
}

// Counts the upstreams that a balancer with a list of the given size visits for an event. All upstreams are
// warm at the start.
class VisitCounter {
 public:
  explicit VisitCounter(std::size_t upstreams)
      : settings_(DefaultSettings()), balancer_(WithSidecarCount(settings_), 7) {
    for (std::size_t i = 0; i < upstreams; ++i) list.push_back(MakeUpstream("upstream-" + std::to_string(i)));
    VisitsFor(MembershipUpdate{MembershipUpdate::Kind::kRestored, list});
    AdvanceUntilWarm();
  }

  // Returns the number of upstreams visited while the balancer handles one event.
  std::size_t VisitsFor(const Event& event) {
    const std::size_t before = balancer_.upstreams_visited();
    std::vector<Action> actions;
    balancer_.Handle(now, event, actions);
    for (const Action& action : actions)
      if (const auto* timer = std::get_if<SetTimer>(&action)) timers_.emplace(timer->at, timer->token);
    return balancer_.upstreams_visited() - before;
  }
  // The same for a change of one upstream.
  std::size_t VisitsForChange(const UpstreamInfo& info) {
    return VisitsFor(MembershipUpdate{MembershipUpdate::Kind::kChanges, {info}});
  }
  // Advances the time to the earliest timer and returns the visits of its TimerFired event.
  std::size_t VisitsForHousekeeping() {
    const auto due = *timers_.begin();
    timers_.erase(timers_.begin());
    now = std::max(now, due.first);
    return VisitsFor(TimerFired{due.second});
  }
  // Advances the time until all upstreams are warm.
  void AdvanceUntilWarm() {
    for (const TimePoint end = now + settings_.fleet_limits.slow_start_duration + 1s; now < end;)
      VisitsForHousekeeping();
  }

  std::vector<UpstreamInfo> list;
  TimePoint now{1000s};

 private:
  static Settings WithSidecarCount(Settings settings) {
    settings.sidecar_count = 900;
    return settings;
  }
  const Settings settings_;
  Balancer balancer_;
  std::multimap<TimePoint, std::uint64_t> timers_;
};

// The limit for an operation of logarithmic cost: 8 visits for each halving of the list, plus 16.
std::size_t LogarithmicLimit(std::size_t upstreams) { return 16 + 8 * std::bit_width(upstreams); }

constexpr std::size_t kSizes[] = {200, 3200, 4096};

TEST(MembershipGrowth, AChangeOfOneUpstreamLooksAtFew) {
  for (const std::size_t size : kSizes) {
    VisitCounter counter(size);
    std::size_t max_visits = 0;
    for (std::size_t i = 0; i < 60; ++i) {
      UpstreamInfo one = counter.list[(i * 67) % size];
      for (const auto state : {UpstreamState::kDraining, UpstreamState::kServing, UpstreamState::kGone}) {
        one.state = state;
        max_visits = std::max(max_visits, counter.VisitsForChange(one));
      }
      one.state = UpstreamState::kServing;
      one.started = counter.now;  // another process with the same id
      max_visits = std::max(max_visits, counter.VisitsForChange(one));
      one.weight = 1.3;
      max_visits = std::max(max_visits, counter.VisitsForChange(one));
      max_visits = std::max(max_visits, counter.VisitsFor(OperatorOverride{one.id, true}));
      max_visits = std::max(max_visits, counter.VisitsFor(OperatorOverride{one.id, false}));
      counter.AdvanceUntilWarm();
    }
    EXPECT_LE(max_visits, LogarithmicLimit(size)) << size << " upstreams";
  }
}

TEST(MembershipGrowth, HousekeepingLooksOnlyAtWhatIsDue) {
  for (const std::size_t size : kSizes) {
    VisitCounter counter(size);
    EXPECT_EQ(counter.VisitsForHousekeeping(), 0U) << size << " upstreams at rest";
    for (std::size_t i = 0; i < 3; ++i) {
      UpstreamInfo cold = counter.list[i];
      cold.started = counter.now;
      counter.VisitsForChange(cold);
    }
    EXPECT_LE(counter.VisitsForHousekeeping(), 3 * LogarithmicLimit(size))
        << size << " upstreams, three of them cold";
    counter.AdvanceUntilWarm();
    EXPECT_EQ(counter.VisitsForHousekeeping(), 0U) << size << " upstreams at rest again";
  }
}

TEST(MembershipGrowth, AWholeListIsComparedInOnePass) {
  for (const std::size_t size : kSizes) {
    VisitCounter counter(size);
    const std::vector<UpstreamInfo> fewer(counter.list.begin(), counter.list.end() - size / 6);
    for (const auto& list : {fewer, counter.list, counter.list})
      EXPECT_LE(counter.VisitsFor(MembershipUpdate{MembershipUpdate::Kind::kFull, list}), 6 * size);
  }
}

// The limit does not depend on the size of the list: the subset has the same size, as the sidecar's traffic
// is the same.
TEST(MembershipGrowth, ARequestLooksAtItsSubset) {
  for (const std::size_t size : kSizes) {
    VisitCounter counter(size);
    std::size_t max_visits = 0;
    for (std::uint64_t i = 1; i <= 20; ++i) {
      RequestArrived e;
      e.request = RequestId{i};
      e.deadline = counter.now + 2s;
      max_visits = std::max(max_visits, counter.VisitsFor(e));
      // Each attempt fails, until the request has no further attempt and gets its final answer.
      for (std::size_t attempt = 0; attempt < 4; ++attempt) {
        max_visits =
            std::max(max_visits, counter.VisitsFor(AttemptFinished{
                                     e.request, AttemptId{attempt}, Outcome::kNotSent, {}, false, {}}));
      }
      counter.VisitsForHousekeeping();
    }
    EXPECT_LE(max_visits, 160U) << size << " upstreams";
  }
}

// The sidecar must accept a list of 4,096 upstreams even in its longest form: all fields present, names of
// 128 bytes, indented JSON. Guards against a size limit that is too low for such a list.
TEST(MembershipGrowth, ASidecarAcceptsAnIndentedListOf4096Upstreams) {
  using sidecar::testing::json;
  namespace peers = sidecar::testing;
  peers::Upstream live(peers::Upstream::Echo("live"));
  json targets = json::array();
  for (int i = 4096; i > 0; --i) {
    const std::string name = std::to_string(i) + std::string(124, 'n');
    json target = peers::Target(name, i == 1 ? live.address() : "127.0.0.1:65535",
                                i == 1 ? "active" : "leaving", 1'700'000'000'000);
    target.update({{"az", name}, {"model", name}, {"pod_group", 1'000'000}, {"capacity_hint", 1.0 / 3}});
    targets.push_back(std::move(target));
  }
  const std::string whole = json{{"rev", 7}, {"all", true}, {"targets", std::move(targets)}}.dump(4);
  RecordProperty("bytes", static_cast<int>(whole.size()));
  peers::Peer discovery([&](peers::Wire& wire, int) {
    if (wire.ReadRequest() && wire.Answer(200, whole))
      wire.ReadUntilClosed();  // then a watch without a response
  });
  peers::SidecarProcess::Options options;
  options.discovery = discovery.address();
  peers::SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  peers::Client client(sidecar.port());
  int request_count = 0;
  EXPECT_TRUE(peers::Eventually([&] {
    const auto answer = client.Get("/page/x", "growth-" + std::to_string(++request_count));
    return answer && answer->result_int() == 200;
  })) << sidecar.log();
  EXPECT_EQ(live.connections(), 1);
}

}  // namespace
}  // namespace lb::testing
