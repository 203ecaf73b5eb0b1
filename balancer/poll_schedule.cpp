#include "balancer/poll_schedule.h"

#include <algorithm>

#include "balancer/decaying_average.h"

namespace lb {
namespace {

// The number of polls that fit into the poll interval limit, so that several may fail.
constexpr int kPollsWithinLimit = 4;

// The pause is up to twice the backoff because of the jitter, plus the time until the next housekeeping.
Duration MaxBackoff(const Settings& settings, Duration resolution) {
  return std::min(settings.fleet_limits.poll_interval_limit / kPollsWithinLimit,
                  (kMaxPollRetryDelay - resolution) / 2);
}

}  // namespace

PollSchedule::PollSchedule(const Settings& settings, Duration resolution, RandomSource& random)
    : polled_(settings.polled_membership),
      max_backoff_(MaxBackoff(settings, resolution)),
      random_(random),
      backoff_(max_backoff_ / 2) {}

// The repeat is delayed, because an immediate one would add to the load that made the poll fail. The pause is
// 1 to 2 times the backoff, at random.
void PollSchedule::OnFailure(TimePoint now) {
  if (polled_) next_ = now + Scaled(backoff_, 1 + random_.Uniform());
  backoff_ = std::min(2 * backoff_, max_backoff_);
}

bool PollSchedule::TakeIfDue(TimePoint now) {
  if (!next_ || now < *next_) return false;
  next_.reset();
  return true;
}

}  // namespace lb
