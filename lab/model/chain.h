// Latency, attempts and remaining deadlines of a chain of calls: a request passes through `depth` services in
// sequence, each called through a sidecar. A hop is one such call.
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

// `draws` samples of the lognormal distribution with the given median and 99th percentile. Approximates the
// latency added by one hop when only these two percentiles of a run are known. Throws std::invalid_argument
// unless 0 < p50 <= p99 and draws > 0.
Distribution LognormalHop(double p50, double p99, std::size_t draws, std::uint64_t seed);

// Time added by chains of `depth` hops, in the unit of `hop`: `draws` (1 to kMaxChainDraws) sums of one value
// per hop. The hops are drawn independently, so a cause that slows several hops at once is not modelled. The
// same arguments give the same result. Throws std::invalid_argument for draws out of range, an empty `hop` or
// a depth of 0.
Distribution SimulateChain(const Distribution& hop, std::size_t depth, std::size_t draws, std::uint64_t seed);

// Share (0 to 1) of chains in which at least one of `depth` hops has a property, such as being slow, that a
// share of `hop_share` (0 to 1) of all hops has.
double ShareOfChainsWithAny(double hop_share, std::size_t depth);

// A chain whose last service, the leaf, fails each attempt with the same probability, and whose other
// services fail only if the call that they make fails.
struct RetryChain {
  std::size_t depth = 1;        // hops
  int max_attempts = 3;         // per call at each hop, including the first; 1 or more
  double leaf_failure = 0;      // probability that an attempt at the leaf fails, 0 to 1
  double budget_per_hop = 0.1;  // maximum retries per call at a hop, averaged over its calls
};

// Attempts at the leaf for one call at the head of the chain.
struct LeafAttempts {
  double expected = 1;
  double most = 1;  // without a budget the worst case; with one the upper bound of `expected`
};

// Without a retry budget: at most max_attempts^depth, as every hop retries calls for which the hops below it
// have used up their attempts.
LeafAttempts AttemptsWithoutBudget(const RetryChain& chain);
// With a retry budget at every hop: on average at most (1 + budget_per_hop)^depth. Valid for a steady flow of
// calls, over which a hop spreads its retries.
LeafAttempts AttemptsWithBudget(const RetryChain& chain);

// Time left of `deadline` after each of `depth` hops, first hop first. Each hop takes `added` and reserves
// `margin`. Never below zero.
std::vector<lb::Duration> RemainingDeadlines(lb::Duration deadline, lb::Duration added, lb::Duration margin,
                                             std::size_t depth);

// Parameters of the table that PrintChains() prints.
struct ChainParameters {
  std::vector<std::size_t> depths = {2, 8, 29};
  std::size_t draws = kMaxChainDraws;
  std::uint64_t seed = 1;
  double limit_ms = 1;  // a hop that adds more than this counts as slow
  std::vector<double> leaf_failures = {0.01, 0.1, 0.5, 0.9};
  int max_attempts = 3;
  double budget_per_hop = 0.1;
  lb::Duration deadline = std::chrono::seconds(2);
  lb::Duration margin = std::chrono::milliseconds(5);
};

// Prints a table with one column for each depth; `hop_ms` is the time that one hop adds, in milliseconds.
// Throws as SimulateChain() does.
void PrintChains(std::ostream& out, const Distribution& hop_ms, const ChainParameters& parameters);

}  // namespace lb::lab
