#include "balancer/latency_statistics.h"

#include <algorithm>

#include "balancer/request.h"

namespace lb {
namespace {

// The number of calls that the averages over a class or a kind of machine cover.
constexpr double kClassMemory = 50;
// The number of calls that the averages of one upstream cover: fewer, because its state changes faster than
// that of all.
constexpr double kUpstreamMemory = 10;
// Divides the latency objective to give the usual time of a class without a response yet.
constexpr int kInitialUsualTimeDivisor = 4;

}  // namespace

LatencyStatistics::LatencyStatistics(const Settings& settings)
    : settings_(settings), usual_time_(settings.classes.size()) {}

void LatencyStatistics::AssignKind(Upstream& upstream) {
  upstream.latency.kind_relative_latency = &kind_relative_latency_[upstream.info.kind];
}

void LatencyStatistics::Record(Upstream& upstream, const LatencySample& sample) {
  const Outcome outcome = sample.outcome;
  const auto time = static_cast<double>(sample.elapsed.count());
  if (ProvesNotRun(outcome) || outcome == Outcome::kError || outcome == Outcome::kReset) return;
  const double usual = static_cast<double>(UsualTime(sample.request_class).count());
  const double ratio = std::min(time / usual, 2 * kMaxRelativeLatency);
  // An attempt without a response took at least as long as it was waited for. It is not counted if it ended
  // sooner than the upstream's responses usually take, or if the upstream responds fast to other requests.
  if (outcome != Outcome::kServed && (ratio < RelativeLatency(upstream) || !IsLoaded(upstream))) return;
  LatencyState& state = upstream.latency;
  state.relative_latency.Add(ratio, kUpstreamMemory);
  if (sample.reported_in_flight > 0) {
    state.in_flight_reported.Add(sample.reported_in_flight, kUpstreamMemory);
    usual_in_flight_.Add(sample.reported_in_flight, kClassMemory);
  }
  state.kind_relative_latency->Add(ratio, kClassMemory);
  if (outcome != Outcome::kServed) return;
  const Duration objective = settings_.classes[sample.request_class].latency_objective;
  state.objective_share.Add(time / static_cast<double>(objective.count()), kUpstreamMemory);
  usual_time_[sample.request_class].Add(time, kClassMemory);
  usual_time_of_all_.Add(time, kClassMemory);
}

Duration LatencyStatistics::UsualTime(std::size_t request_class) const {
  return DurationOr(usual_time_[request_class],
                    settings_.classes[request_class].latency_objective / kInitialUsualTimeDivisor);
}

Duration LatencyStatistics::UsualTime() const {
  return DurationOr(usual_time_of_all_, settings_.classes[0].latency_objective / kInitialUsualTimeDivisor);
}

double LatencyStatistics::ExpectedSeconds(const Upstream& upstream, double in_flight,
                                          std::size_t request_class, double warm_up) const {
  const RunningMean& own = upstream.latency.in_flight_reported;
  const double usual_in_flight =
      (kKindPrior * std::max(1.0, usual_in_flight_.value) + own.samples * own.value) /
      (kKindPrior + own.samples);
  return Seconds(UsualTime(request_class)) * RelativeLatency(upstream) / warm_up * (in_flight + 1) /
         usual_in_flight;
}

bool LatencyStatistics::HasEnoughLoadReports() const { return usual_in_flight_.samples >= kKindPrior; }

}  // namespace lb
