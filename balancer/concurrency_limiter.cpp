#include "balancer/concurrency_limiter.h"

#include <algorithm>

namespace lb {
namespace {

// Above this share of late outcomes the limit is decreased. Some lateness is normal.
constexpr double kMaxLateShare = 0.15;
// The number of outcomes on which an adjustment of the limit is based; a quarter of it suffices if all are
// late.
constexpr double kSampleSize = 20;
// Multiplicative decrease: the limit is reduced by this factor times the share of late outcomes.
constexpr double kDecrease = 0.6;
// Relative increase of the limit at each adjustment; the increase is at least one request.
constexpr double kIncrease = 0.05;
// Lowest limit, in requests. A limit below one admits requests with that probability: even then a request is
// admitted occasionally and can show a recovery, while all sidecars together still shed load.
constexpr double kMinLimit = 0.5;
// The class with the lowest priority weight per response time is shed from this share of the limit on.
constexpr double kSheddingThreshold = 0.7;
// Below this admitted share a class has the full limit, so that no class is shed completely.
constexpr double kMinClassShare = 0.4;
// The number of requests that a class's admitted share is averaged over.
constexpr double kAdmissionMemory = 50;
// The number of updates that the usual number of requests in flight is averaged over.
constexpr double kUsualMemory = 10;

}  // namespace

ConcurrencyLimiter::ConcurrencyLimiter(const Settings& settings, const LatencyStatistics& latency,
                                       RandomSource& random)
    : settings_(settings), latency_(latency), random_(random), admitted_share_(settings.classes.size(), 1) {}

bool ConcurrencyLimiter::Admit(std::size_t request_class) {
  double& share = admitted_share_[request_class];
  double best = 0;
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) best = std::max(best, PriorityPerTime(i));
  const double rank = best > 0 ? PriorityPerTime(request_class) / best : 1;
  const double part_of_limit =
      share < kMinClassShare ? 1 : kSheddingThreshold + (1 - kSheddingThreshold) * rank;
  // The limit may be a fraction of a request; the random number makes admission follow it on average.
  const bool admit = in_flight_ + random_.Uniform() < limit_ * part_of_limit;
  share += ((admit ? 1 : 0) - share) / kAdmissionMemory;
  return admit;
}

double ConcurrencyLimiter::PriorityPerTime(std::size_t request_class) const {
  return settings_.classes[request_class].priority_weight /
         static_cast<double>(latency_.UsualTime(request_class).count());
}

void ConcurrencyLimiter::OnAttemptStarted(Upstream& upstream) {
  ++upstream.in_flight;
  ++in_flight_;
  peak_in_flight_ = std::max(peak_in_flight_, in_flight_);
}

void ConcurrencyLimiter::OnAttemptFinished(Upstream& upstream) {
  --upstream.in_flight;
  --in_flight_;
}

void ConcurrencyLimiter::RecordOutcome(const Upstream& upstream, Outcome outcome, bool late) {
  if (outcome != Outcome::kServed && outcome != Outcome::kTimeout && outcome != Outcome::kRejected) return;
  if (outcome == Outcome::kTimeout && !LatencyStatistics::IsLoaded(upstream)) return;
  ++outcomes_;
  if (late) ++late_;
}

// The limit does not go below the usual number of requests in flight, because these do not cause late
// responses: a lower limit would shed load without effect when the whole fleet is slow.
void ConcurrencyLimiter::Update(double available_weight) {
  available_weight_ = available_weight;
  const bool in_time = late_ <= kMaxLateShare / 2 * outcomes_;
  if (in_time && available_weight_ > 0) {
    usual_in_flight_per_weight_ +=
        (in_flight_ / available_weight_ - usual_in_flight_per_weight_) / kUsualMemory;
  }
  if (outcomes_ < kSampleSize && late_ < kSampleSize / 4) return;
  const double late_share = late_ / outcomes_;
  late_ = 0;
  outcomes_ = 0;
  if (late_share > kMaxLateShare) {
    const double floor = std::max(kMinLimit, UsualInFlight());
    limit_ = std::max(floor, std::min(limit_, peak_in_flight_) * (1 - kDecrease * late_share));
  } else if (peak_in_flight_ > limit_ * kSheddingThreshold) {
    limit_ += std::max(1.0, limit_ * kIncrease);
  } else if (peak_in_flight_ < limit_ / 2) {
    limit_ = kNoLimit;  // the limit is far above the demand
  }
  peak_in_flight_ = in_flight_;
}

bool ConcurrencyLimiter::HasSpareCapacity() const {
  return in_flight_ <= 1 || in_flight_ <= limit_ * kSheddingThreshold;
}

}  // namespace lb
