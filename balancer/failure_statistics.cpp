#include "balancer/failure_statistics.h"

namespace lb {
namespace {

// The number of calls after which a sample has decayed to 1/e: enough to include several failures of an
// upstream that fails occasionally, and few enough to follow a change within seconds.
constexpr double kOutcomeMemory = 20;

}  // namespace

void FailureStatistics::Record(Upstream& upstream, Outcome outcome) {
  if (stale_) Recount();
  FailureState& state = upstream.failures;
  const bool is_peer = IsPeer(upstream);
  if (is_peer) {
    calls_ -= state.calls;
    failures_ -= state.failures;
  }
  state.calls += 1 - state.calls / kOutcomeMemory;
  state.failures += (outcome == Outcome::kServed ? 0 : 1) - state.failures / kOutcomeMemory;
  state.timeouts += (outcome == Outcome::kTimeout ? 1 : 0) - state.timeouts / kOutcomeMemory;
  if (is_peer) {
    calls_ += state.calls;
    failures_ += state.failures;
  }
  membership_.MarkObserved(upstream);
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

// Adds in ring order, because rounding depends on the order. An upstream without an outcome adds nothing.
void FailureStatistics::Recount() const {
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
