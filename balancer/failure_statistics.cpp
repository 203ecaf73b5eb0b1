#include "balancer/failure_statistics.h"

#include <algorithm>

namespace lb {
namespace {

// Calls after which a sample has decayed to 1/e: long enough to hold several failures of an upstream that
// fails now and then, short enough to follow a change within seconds.
constexpr double kOutcomeMemory = 20;
// Shares rest on this many calls at least, so that a first failure does not count as all failing. It is the
// run that ejects an upstream.
constexpr double kLeastCalls = 5;
// Keeps the logarithm of the share, by which runs are lengthened, away from zero.
constexpr double kMaxPeersFailureShare = 0.95;

}  // namespace

void FailureStatistics::Record(Upstream& upstream, Outcome outcome) {
  Recount();
  FailureState& state = upstream.failures;
  const bool counts = IsPeer(upstream);
  if (counts) {
    calls_ -= state.calls;
    failures_ -= state.failures;
  }
  state.calls += 1 - state.calls / kOutcomeMemory;
  state.failures += (outcome == Outcome::kServed ? 0 : 1) - state.failures / kOutcomeMemory;
  state.timeouts += (outcome == Outcome::kTimeout ? 1 : 0) - state.timeouts / kOutcomeMemory;
  if (counts) {
    calls_ += state.calls;
    failures_ += state.failures;
  }
  membership_.MarkObserved(upstream);
}

double FailureStatistics::FailureShare(const Upstream& upstream) const {
  return upstream.failures.failures / std::max(upstream.failures.calls, kLeastCalls);
}

double FailureStatistics::TimeoutShare(const Upstream& upstream) const {
  return upstream.failures.timeouts / std::max(upstream.failures.calls, kLeastCalls);
}

double FailureStatistics::PeersFailureShare(const Upstream& upstream) const {
  Recount();
  const double calls = calls_ - (upstream.failures.excluded ? 0 : upstream.failures.calls);
  const double failures = failures_ - (upstream.failures.excluded ? 0 : upstream.failures.failures);
  return calls < 1 ? 0 : std::clamp(failures / calls, 0.0, kMaxPeersFailureShare);
}

void FailureStatistics::Exclude(Upstream& upstream) {
  upstream.failures.excluded = true;
  Invalidate();
}

void FailureStatistics::Include(Upstream& upstream) {
  upstream.failures.excluded = false;
  Invalidate();
}

bool FailureStatistics::IsPeer(const Upstream& upstream) {
  return !upstream.failures.excluded && upstream.info.state == UpstreamState::kServing;
}

// In the order of the ring: rounding depends on it. An upstream without an outcome adds nothing.
void FailureStatistics::Recount() const {
  if (!stale_) return;
  stale_ = false;
  calls_ = 0;
  failures_ = 0;
  for (const Upstream* upstream : membership_.Observed()) {
    if (!IsPeer(*upstream)) continue;
    calls_ += upstream->failures.calls;
    failures_ += upstream->failures.failures;
  }
}

}  // namespace lb
