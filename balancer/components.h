// The components of one balancer, in the order of their dependencies: a component receives references to
// those declared above it that it uses.
//
// The struct has more members than other classes here, because it is the single list of the components and
// contains nothing else.
#pragma once

#include <chrono>
#include <cstdint>
#include <utility>

#include "balancer/action_sink.h"
#include "balancer/concurrency_limiter.h"
#include "balancer/connection_tracker.h"
#include "balancer/failure_statistics.h"
#include "balancer/hedging_policy.h"
#include "balancer/latency_statistics.h"
#include "balancer/lateness_statistics.h"
#include "balancer/load_prober.h"
#include "balancer/membership.h"
#include "balancer/outlier_detector.h"
#include "balancer/overload_backoff.h"
#include "balancer/poll_schedule.h"
#include "balancer/random_source.h"
#include "balancer/request_table.h"
#include "balancer/retry_budget.h"
#include "balancer/retry_policy.h"
#include "balancer/service_capacity.h"
#include "balancer/settings.h"
#include "balancer/shedding_episode.h"
#include "balancer/slow_start.h"
#include "balancer/subsetting.h"
#include "balancer/traffic_statistics.h"
#include "balancer/weighted_round_robin.h"
#include "balancer/zone_locality.h"

namespace lb {

struct Components {
  // Interval of the balancer's housekeeping. Decisions do not wait for housekeeping: they compare times
  // themselves.
  static constexpr Duration kHousekeepingInterval = std::chrono::milliseconds(250);

  // Throws std::invalid_argument if Settings::Validate() does.
  Components(Settings configured, std::uint64_t seed)
      : settings(Validated(std::move(configured))), random(seed) {}
  Components(const Components&) = delete;
  Components& operator=(const Components&) = delete;

  const Settings settings;
  RandomSource random;
  ActionSink actions;

  // Recorded state and statistics.
  Membership membership{PlaceOnRing(settings)};
  RequestTable requests;
  FailureStatistics failures{membership};
  LatencyStatistics latency{settings};
  // Half of the slow start duration: older samples describe another state of the fleet.
  LatenessStatistics lateness{settings.fleet_limits.slow_start_duration / 2};
  TrafficStatistics traffic{settings.fleet_limits.slow_start_duration};
  ConnectionTracker connections{settings.limits};

  // Policies for the choice of an upstream.
  ConcurrencyLimiter limiter{settings, latency, random};
  OutlierDetector outliers{failures, latency};
  OverloadBackoff overload_backoff{random};
  Subsetting subsetting{settings, membership, traffic, limiter, lateness.memory()};
  SlowStart slow_start{settings.fleet_limits, membership, traffic, subsetting, random};
  ServiceCapacity capacity{membership, outliers, slow_start};
  WeightedRoundRobin rotation{membership, subsetting, slow_start, random};
  ZoneLocality locality{settings};

  // Policies for a request.
  RetryBudget retry_budget;
  RetryPolicy retries{settings.limits, connections, limiter, retry_budget, random};
  HedgingPolicy hedging{settings.limits, latency, outliers, limiter, retry_budget};
  LoadProber prober{settings, membership, latency, lateness, slow_start, locality, requests};
  SheddingEpisode shedding;
  PollSchedule polls{settings, kHousekeepingInterval, random};

 private:
  static Settings Validated(Settings settings) {
    settings.Validate();
    return settings;
  }

  // The sidecars' positions divide the ring evenly.
  static double PlaceOnRing(const Settings& settings) {
    return static_cast<double>(settings.sidecar_index % settings.sidecar_count) /
           static_cast<double>(settings.sidecar_count);
  }
};

}  // namespace lb
