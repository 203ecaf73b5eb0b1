// What a chain of calls adds: a request that passes `depth` services one behind the other, each called
// through a sidecar. A hop is one such call.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <vector>

#include "balancer/balancer.h"
#include "lab/measure/distribution.h"

namespace lb::lab {

constexpr std::size_t kMaxChainDraws = 100'000;

// A lognormal distribution with this median and 99th percentile, as `draws` draws: what one hop adds where
// only those two figures of a run are at hand. Throws std::invalid_argument unless 0 < p50 <= p99 and draws >
// 0.
Distribution LognormalHop(double p50, double p99, std::size_t draws, std::uint64_t seed);

// The time that chains of `depth` hops add, in the unit of `hop`, by `draws` (1 to kMaxChainDraws) draws of
// one value a hop, each hop independent of the others: a cause that slows several hops at once is not in it.
// The same arguments give the same result. Throws std::invalid_argument for draws out of range, an empty
// `hop` or a depth of 0.
Distribution SimulateChain(const Distribution& hop, std::size_t depth, std::size_t draws, std::uint64_t seed);

// The share (0 to 1) of chains in which at least one of `depth` hops does what a share of `hop_share` (0 to
// 1) of the hops does.
double ShareOfChainsWithAny(double hop_share, std::size_t depth);

// A chain whose last service, the leaf, fails each attempt with the same probability, and whose other
// services fail only where the call that they make fails.
struct RetryChain {
  std::size_t depth = 1;        // hops
  int max_attempts = 3;         // of a call at each hop, the first included; 1 or more
  double leaf_failure = 0;      // probability that an attempt at the leaf fails, 0 to 1
  double budget_per_hop = 0.1;  // retries that a hop makes for each call at most, in the mean over its calls
};

// Attempts at the leaf for one call at the head of the chain.
struct LeafAttempts {
  double expected = 1;
  double most = 1;  // worst case without a budget; bound of the expectation with one
};

// Without a budget: at most max_attempts^depth, as every hop repeats what those below it have given up.
LeafAttempts AttemptsWithoutBudget(const RetryChain& chain);
// With a budget at every hop: in the mean at most (1 + budget_per_hop)^depth. Holds for a steady flow of
// calls, over which a hop spreads its retries.
LeafAttempts AttemptsWithBudget(const RetryChain& chain);

// What remains of `deadline` after the first, second and so on of `depth` hops, each of which adds `added`
// and keeps `margin` back. Not below zero.
std::vector<lb::Duration> RemainingDeadlines(lb::Duration deadline, lb::Duration added, lb::Duration margin,
                                             std::size_t depth);

// What the table of chains is made of.
struct ChainQuestion {
  std::vector<std::size_t> depths = {2, 8, 29};
  std::size_t draws = kMaxChainDraws;
  std::uint64_t seed = 1;
  double limit_ms = 1;  // a hop that adds more counts as slow
  std::vector<double> leaf_failures = {0.01, 0.1, 0.5, 0.9};
  int max_attempts = 3;
  double budget_per_hop = 0.1;
  lb::Duration deadline = std::chrono::seconds(2);
  lb::Duration margin = std::chrono::milliseconds(5);
};

// Prints a column a depth; `hop_ms` is the time that one hop adds, in milliseconds. Throws as
// SimulateChain().
void PrintChains(std::ostream& out, const Distribution& hop_ms, const ChainQuestion& question);

}  // namespace lb::lab
