#include "balancer/lateness_statistics.h"

namespace lb {
namespace {

// A response that took this share of its latency objective counts as late, so that load is shed before
// responses lose their value.
constexpr double kLateObjectiveShare = 0.75;
// The share of late calls above which lateness is widespread. Some lateness is normal.
constexpr double kWidespreadShare = 0.15;

}  // namespace

bool LatenessStatistics::IsLate(const RequestClass& request_class, Outcome outcome, Duration elapsed) {
  return outcome != Outcome::kServed ||
         elapsed > Scaled(request_class.latency_objective, kLateObjectiveShare);
}

void LatenessStatistics::Record(Upstream& upstream, bool late, TimePoint now) {
  upstream.lateness.Add(late ? 1 : 0, now, memory_);
  all_.Add(late ? 1 : 0, now, memory_);
}

bool LatenessStatistics::IsWidespread(TimePoint now) const {
  return all_.DecayedTo(now, memory_).Share() > kWidespreadShare;
}

double LatenessStatistics::Risk(const Upstream& upstream, TimePoint now, double weight_of_all) const {
  const DecayingAverage all = all_.DecayedTo(now, memory_);
  const DecayingAverage own = upstream.lateness.DecayedTo(now, memory_);
  return (own.sum + weight_of_all * all.Share()) / (own.samples + 1);
}

}  // namespace lb
