// Response times: the usual one of each class of requests, and how each upstream compares with it.
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

// What a finished attempt says about latency.
struct LatencySample {
  std::size_t request_class = 0;
  Outcome outcome = Outcome::kServed;
  Duration elapsed{};
  double reported_in_flight = 0;  // by a load probe before the call, the call included; 0: not reported
};

class LatencyStatistics {
 public:
  // `settings` has to outlive this.
  explicit LatencyStatistics(const Settings& settings);

  // To be called before any other call about an upstream that enters or whose kind may have changed.
  void AssignKind(Upstream& upstream);

  void Record(Upstream& upstream, const LatencySample& sample);

  // The usual response time of a class, and over all classes; a quarter of the latency objective while it is
  // not known. Always positive.
  Duration UsualTime(std::size_t request_class) const;
  Duration UsualTime() const;

  // An upstream's response times as a multiple of the usual one of their class: 1/3 to 3. With few calls an
  // upstream is seen too seldom to know; until it has responded often, it is taken for the usual one of its
  // kind of machine.
  static double RelativeLatency(const Upstream& upstream) {
    const RunningMean& own = upstream.latency.relative_latency;
    const RunningMean& kind = *upstream.latency.kind_relative_latency;
    const double known = kKindPrior * (kind.samples > 0 ? kind.value : 1) + own.samples * own.value;
    return std::clamp(known / (kKindPrior + own.samples), 1 / kMaxRelativeLatency, kMaxRelativeLatency);
  }

  // Its responses take so much of their latency objectives that a time-out there tells of load. One that
  // swallows some requests and responds to the others fast is not loaded.
  static bool IsLoaded(const Upstream& upstream) {
    return upstream.latency.objective_share.value >= kLoadedObjectiveShare;
  }

  // The time of a response, in seconds, from an upstream that has `in_flight` requests by its own report: in
  // proportion to what its responses took with the requests that it had then. `warm_up`: its warm-up
  // fraction.
  double ExpectedSeconds(const Upstream& upstream, double in_flight, std::size_t request_class,
                         double warm_up) const;
  // Enough reports have come for ExpectedSeconds() to rest on them.
  bool KnowsReportedLoad() const;

 private:
  // What is known of an upstream's kind weighs as much as this many calls of its own.
  static constexpr double kKindPrior = 5;
  // Bounds the relative latency in both directions: one outlying response must not decide.
  static constexpr double kMaxRelativeLatency = 3;
  // An overloaded upstream is slow with all its responses. A time-out tells of load only where its responses
  // take this share of their latency objectives in the mean; shedding for one that swallows some requests
  // would not help.
  static constexpr double kLoadedObjectiveShare = 0.35;

  const Settings& settings_;
  std::vector<RunningMean> usual_time_;                       // microseconds, by class
  RunningMean usual_time_of_all_;                             // microseconds
  RunningMean usual_in_flight_;                               // reported by an upstream during a call
  std::map<std::string, RunningMean> kind_relative_latency_;  // by kind; upstreams point into it
};

}  // namespace lb
