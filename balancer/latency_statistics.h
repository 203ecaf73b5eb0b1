// Response times: the usual time of each request class, and the relative latency of each upstream.
#pragma once

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "balancer/decaying_average.h"
#include "balancer/settings.h"
#include "balancer/upstream.h"

namespace lb {

// The latency data of a finished attempt.
struct LatencySample {
  std::size_t request_class = 0;
  Outcome outcome = Outcome::kServed;
  Duration elapsed{};
  // Requests in flight as a load probe reported before the call, this call included; 0: not reported.
  double reported_in_flight = 0;
};

class LatencyStatistics {
 public:
  // `settings` has to outlive this object.
  explicit LatencyStatistics(const Settings& settings);

  // Must be called for an upstream that enters, or whose kind may have changed, before any other call about
  // it.
  void AssignKind(Upstream& upstream);

  void Record(Upstream& upstream, const LatencySample& sample);

  // The usual response time of a class, and over all classes; a quarter of the latency objective while no
  // response is known. Always positive.
  Duration UsualTime(std::size_t request_class) const;
  Duration UsualTime() const;

  // An upstream's response times as a multiple of the usual time of their class: 1/3 to 3. While an upstream
  // has few responses, the estimate is close to the mean of its kind of machine.
  static double RelativeLatency(const Upstream& upstream) {
    const RunningMean& own = upstream.latency.relative_latency;
    const RunningMean& kind = *upstream.latency.kind_relative_latency;
    const double weighted_sum = kKindPrior * (kind.samples > 0 ? kind.value : 1) + own.samples * own.value;
    return std::clamp(weighted_sum / (kKindPrior + own.samples), 1 / kMaxRelativeLatency,
                      kMaxRelativeLatency);
  }

  // Whether the responses of the upstream take so much of their latency objectives that its time-outs
  // indicate load. An upstream that responds fast to most requests and never to some is not loaded.
  static bool IsLoaded(const Upstream& upstream) {
    return upstream.latency.objective_share.value >= kLoadedObjectiveShare;
  }

  // The expected response time, in seconds, of an upstream that reports `in_flight` requests: its usual time
  // scaled by the ratio of `in_flight` to the requests that it usually had. `warm_up`: its warm-up fraction.
  double ExpectedSeconds(const Upstream& upstream, double in_flight, std::size_t request_class,
                         double warm_up) const;
  // Whether enough load reports were recorded for ExpectedSeconds() to be meaningful.
  bool HasEnoughLoadReports() const;

 private:
  // The mean of an upstream's kind weighs as much as this many of its own calls.
  static constexpr double kKindPrior = 5;
  // Bounds the relative latency in both directions, so that a single extreme response does not decide.
  static constexpr double kMaxRelativeLatency = 3;
  // An overloaded upstream is slow with all its responses. Time-outs indicate load only if the responses of
  // the upstream take this share of their latency objectives in the mean; shedding load for an upstream that
  // fails to answer only some requests would not help.
  static constexpr double kLoadedObjectiveShare = 0.35;

  const Settings& settings_;
  std::vector<RunningMean> usual_time_;  // microseconds, by class
  RunningMean usual_time_of_all_;        // microseconds
  RunningMean usual_in_flight_;          // reported requests in flight at an upstream during a call
  std::map<std::string, RunningMean> kind_relative_latency_;  // by kind; upstreams point to values
};

}  // namespace lb
