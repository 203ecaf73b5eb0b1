// Load shedding and late responses: what is rejected, when, and what is still waited for.
#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "tests/fleet_fixtures.h"
#include "tests/helpers.h"

namespace lb::testing {
namespace {

// Each client's repeat is harmless; all clients' repeats of what can no longer be in time are the overload.
TEST(LoadShedding, RetryAfterIsTheLongestWaitWithJitter) {
  std::set<Duration> waits;
  for (const auto& w : Fleet(100)) {
    w->List(0);
    w->Arrive(kNotIdempotent);
    ASSERT_EQ(w->refused.size(), 1U) << "at once";
    EXPECT_LE(w->last_retry_after, DefaultSettings().limits.max_retry_after);
    EXPECT_GE(w->last_retry_after, DefaultSettings().limits.max_retry_after * 9 / 10);
    waits.insert(w->last_retry_after);
  }
  EXPECT_GT(waits.size(), 90U);
}

// A client repeats what was refused or came to nothing: where many answers are late, an aim or more ago.
TEST(LoadShedding, ClientRetriesAreRejectedAtOnceWhileManyAreLate) {
  World w;
  w.List(6);
  const auto repeat = [&w] {
    const std::size_t refused = w.refused.size();
    RequestArrived e;
    e.request = RequestId{1000 + refused + w.sent.size()};
    e.request_class = kNotIdempotent;
    e.deadline = w.now + 2s;
    e.client_retry = true;
    w.Do(e);
    return w.refused.size() > refused;
  };
  for (int i = 0; i < 30; ++i) w.Serve(kNotIdempotent);
  EXPECT_FALSE(repeat()) << "all is well";
  for (int i = 0; i < 8; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kNotIdempotent);
    w.now += 350ms;  // of an aim of 400 ms
    w.Answer(before);
  }
  EXPECT_TRUE(repeat());
  EXPECT_NE(w.Serve(kNotIdempotent), "") << "first tries are taken";
}

TEST(LoadSheddingByReports, RejectsWhereAllProbedUpstreamsHoldTooMuch) {
  World w(Reporting());
  w.List(6);
  const RequestId late = w.Arrive(kNotIdempotent);  // its aim is 400 ms
  for (const std::string& id : std::vector<std::string>(w.probed)) Report(w, id, 40, 50);
  EXPECT_TRUE(w.sent.empty());
  ASSERT_EQ(w.refused.size(), 1U);
  EXPECT_EQ(w.refused.back(), late);
  EXPECT_TRUE(w.Logged("shedding_started reason=overload"));
  w.probed.clear();
  w.Arrive(kNotIdempotent);
  const std::vector<std::string> asked = w.probed;
  for (const std::string& id : asked) Report(w, id, id == asked[2] ? 10 : 40, 50);
  ASSERT_EQ(w.sent.size(), 1U);
  EXPECT_EQ(w.sent.back().upstream, asked[2]);
}

// Calls that were given up still fill upstreams that go on working on them: only what they say they hold
// shows it, and where no rate is told, what that means is learnt from the answers.
TEST(LoadSheddingByReports, UnreportedRateIsLearntFromResponses) {
  World w(Reporting());
  w.List(6);
  const auto arrive = [&w](double held) {
    w.probed.clear();
    const std::size_t before = w.sent.size();
    w.Arrive(kNotIdempotent);
    for (const std::string& id : std::vector<std::string>(w.probed)) Report(w, id, held);
    return w.sent.size() > before;
  };
  for (int i = 0; i < 60; ++i) {
    ASSERT_TRUE(arrive(3));
    w.now += 100ms;  // for four calls; the aim is 400 ms
    w.Finish(w.sent.back(), Outcome::kServed);
  }
  EXPECT_TRUE(w.refused.empty());
  EXPECT_FALSE(arrive(30));
  EXPECT_EQ(w.refused.size(), 1U);
  EXPECT_TRUE(w.Logged("shedding_started reason=overload"));
  EXPECT_TRUE(arrive(3));
}

TEST(LoadSheddingByReports, NonIdempotentRequestFailsAtItsObjectiveUnderOverloadOnly) {
  World w;
  w.List(4);
  w.Arrive(kNotIdempotent);
  EXPECT_EQ(w.sent.back().timeout, Duration(2s));
  w.Finish(w.sent.back(), Outcome::kServed);
  for (int i = 0; i < 40; ++i) {  // answers past their aim of 400 ms
    const std::size_t before = w.sent.size();
    w.Arrive(kNotIdempotent);
    w.Advance(500ms);
    if (w.sent.size() > before) w.Finish(w.sent[before], Outcome::kServed);
  }
  const std::size_t before = w.sent.size();
  for (int i = 0; i < 10 && w.sent.size() == before; ++i) w.Arrive(kNotIdempotent);
  ASSERT_GT(w.sent.size(), before);
  EXPECT_EQ(w.sent.back().timeout, Duration(400ms));
}

// Cancelled at its aim and begun anew, a call that is worth something late would load upstreams twice.
TEST(LateResponses, AreWaitedForWhereTheyHaveAPriorityWeight) {
  for (const bool hedging_allowed : {false, true}) {
    Settings settings = DefaultSettings();
    settings.limits.hedging_allowed = hedging_allowed;
    settings.classes[static_cast<std::size_t>(kIdempotent)].late_priority_weight = 0.25;
    World w(settings);
    w.List(4);
    w.Arrive(kIdempotent);
    EXPECT_EQ(w.sent.back().timeout, Duration(2s)) << "until its client gives up";
    w.Arrive(kKeyedAll);
    EXPECT_EQ(w.sent.back().timeout, Duration(400ms)) << "its aim: nothing is due for it later";
  }
}

}  // namespace
}  // namespace lb::testing
