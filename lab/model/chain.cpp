#include "lab/model/chain.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <ostream>
#include <random>
#include <stdexcept>
#include <string>

#include "lab/measure/text_table.h"
#include "lab/spec/durations.h"

namespace lb::lab {
namespace {

using lb::Duration;
using Milliseconds = std::chrono::duration<double, std::milli>;

// 1 + ratio + ... + ratio^(terms - 1): the mean number of attempts of a call when each attempt fails with
// probability `ratio` and the call makes at most `terms` attempts.
double GeometricSum(double ratio, double terms) {
  if (ratio >= 1) return terms;
  if (ratio <= 0) return 1;
  return -std::expm1(terms * std::log(ratio)) / (1 - ratio);
}

Duration FromMilliseconds(double ms) { return std::chrono::round<Duration>(Milliseconds(ms)); }

// Formats a parameter of the table with up to six significant digits, so that it reads as it was entered.
std::string FormatParameter(double value) {
  constexpr int kDigits = 6;
  return FormatShort(value, kDigits);
}

// Table of chains. Each row has a description, a unit, and one cell for each depth.
class ChainTable {
 public:
  explicit ChainTable(const std::vector<std::size_t>& depths) : depths_(depths), table_(2) {
    AddRow("hops", "", [](std::size_t depth) { return static_cast<double>(depth); });
  }

  void AddRow(const std::string& what, const std::string& unit,
              const std::function<double(std::size_t)>& value_at_depth) {
    std::vector<std::string> row = {what, unit};
    for (const std::size_t depth : depths_) row.push_back(FormatNumber(value_at_depth(depth)));
    table_.AddRow(row);
  }

  void Print(std::ostream& out) const { table_.Print(out); }

 private:
  const std::vector<std::size_t>& depths_;
  TextTable table_;
};

void AddTimeRows(ChainTable& table, const Distribution& hop_ms, const ChainParameters& parameters) {
  std::vector<Distribution> chains;
  for (const std::size_t depth : parameters.depths)
    chains.push_back(SimulateChain(hop_ms, depth, parameters.draws, parameters.seed));
  const auto chain_of = [&](std::size_t depth) -> const Distribution& {
    const auto found = std::find(parameters.depths.begin(), parameters.depths.end(), depth);
    return chains[static_cast<std::size_t>(found - parameters.depths.begin())];
  };
  table.AddRow("added, mean", "ms", [&](std::size_t depth) { return chain_of(depth).mean(); });
  table.AddRow("added, p50", "ms", [&](std::size_t depth) { return chain_of(depth).Percentile(0.5); });
  table.AddRow("added, p99", "ms", [&](std::size_t depth) { return chain_of(depth).Percentile(0.99); });
  table.AddRow("added, p99.9", "ms", [&](std::size_t depth) { return chain_of(depth).Percentile(0.999); });
  const double slow_hops = hop_ms.ShareAbove(parameters.limit_ms);
  table.AddRow("chains with a hop over " + FormatParameter(parameters.limit_ms) + " ms", "share",
               [&](std::size_t depth) { return ShareOfChainsWithAny(slow_hops, depth); });
}

void AddAttemptRows(ChainTable& table, const ChainParameters& parameters) {
  const auto chain_of = [&](std::size_t depth, double leaf_failure) {
    return RetryChain{depth, parameters.max_attempts, leaf_failure, parameters.budget_per_hop};
  };
  const std::string budget = "budget " + FormatParameter(parameters.budget_per_hop);
  for (const double failure : parameters.leaf_failures) {
    std::string what = "leaf attempts, leaf fails " + FormatParameter(failure);
    table.AddRow(what + ", no budget", "attempts/call",
                 [&](std::size_t depth) { return AttemptsWithoutBudget(chain_of(depth, failure)).expected; });
    what.append(", ").append(budget);
    table.AddRow(what, "attempts/call",
                 [&](std::size_t depth) { return AttemptsWithBudget(chain_of(depth, failure)).expected; });
  }
  table.AddRow("leaf attempts, most, no budget", "attempts/call",
               [&](std::size_t depth) { return AttemptsWithoutBudget(chain_of(depth, 1)).most; });
  table.AddRow("leaf attempts, bound of the mean, " + budget, "attempts/call",
               [&](std::size_t depth) { return AttemptsWithBudget(chain_of(depth, 1)).most; });
}

void AddDeadlineRow(ChainTable& table, const ChainParameters& parameters, const std::string& added_what,
                    double added_ms) {
  table.AddRow(
      "left of " + FormatParameter(ToMilliseconds(parameters.deadline)) + " ms, hops adding their " +
          added_what + " and " + FormatParameter(ToMilliseconds(parameters.margin)) + " ms of margin",
      "ms", [&](std::size_t depth) {
        const auto remaining =
            RemainingDeadlines(parameters.deadline, FromMilliseconds(added_ms), parameters.margin, depth);
        return ToMilliseconds(remaining.empty() ? parameters.deadline : remaining.back());
      });
}

}  // namespace

Distribution LognormalHop(double p50, double p99, std::size_t draws, std::uint64_t seed) {
  if (!(p50 > 0 && p99 >= p50) || draws == 0) throw std::invalid_argument("a hop needs 0 < p50 <= p99");
  constexpr double kNormalP99 = 2.3263478740408408;  // of the standard normal distribution
  std::lognormal_distribution<double> added(std::log(p50), std::log(p99 / p50) / kNormalP99);
  std::mt19937_64 random(seed);
  Distribution hop;
  for (std::size_t i = 0; i < draws; ++i) hop.Add(added(random));
  return hop;
}

Distribution SimulateChain(const Distribution& hop, std::size_t depth, std::size_t draws,
                           std::uint64_t seed) {
  if (hop.count() == 0) throw std::invalid_argument("no hop was measured");
  if (depth == 0) throw std::invalid_argument("a chain has at least one hop");
  if (draws == 0 || draws > kMaxChainDraws)
    throw std::invalid_argument("draws of chains have to be 1 to " + std::to_string(kMaxChainDraws));
  const std::vector<double>& values = hop.SortedValues();
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<std::size_t> pick(0, values.size() - 1);
  Distribution chains;
  for (std::size_t draw = 0; draw < draws; ++draw) {
    double added = 0;
    for (std::size_t i = 0; i < depth; ++i) added += values[pick(random)];
    chains.Add(added);
  }
  return chains;
}

double ShareOfChainsWithAny(double hop_share, std::size_t depth) {
  if (hop_share >= 1) return depth > 0 ? 1 : 0;
  return -std::expm1(static_cast<double>(depth) * std::log1p(-hop_share));
}

LeafAttempts AttemptsWithoutBudget(const RetryChain& chain) {
  // The leaf is attempted until one attempt succeeds or every hop has used up its attempts, so the whole
  // chain behaves like one call with max_attempts^depth attempts.
  LeafAttempts attempts;
  attempts.most = std::pow(chain.max_attempts, static_cast<double>(chain.depth));
  attempts.expected = GeometricSum(chain.leaf_failure, attempts.most);
  return attempts;
}

LeafAttempts AttemptsWithBudget(const RetryChain& chain) {
  const double most_per_hop = 1 + chain.budget_per_hop;
  LeafAttempts attempts;
  attempts.most = std::pow(most_per_hop, static_cast<double>(chain.depth));
  double attempt_failure = chain.leaf_failure;
  for (std::size_t hop = 0; hop < chain.depth; ++hop) {  // from the leaf up
    const double wanted = GeometricSum(attempt_failure, chain.max_attempts);
    const double per_call = std::min(wanted, most_per_hop);
    attempts.expected *= per_call;
    // A call ends with its first successful attempt, so at most one attempt of each call succeeds.
    attempt_failure = std::max(0.0, 1 - per_call * (1 - attempt_failure));
  }
  return attempts;
}

std::vector<Duration> RemainingDeadlines(Duration deadline, Duration added, Duration margin,
                                         std::size_t depth) {
  std::vector<Duration> remaining;
  for (std::size_t hop = 0; hop < depth; ++hop) {
    deadline = std::max(deadline - added - margin, Duration::zero());
    remaining.push_back(deadline);
  }
  return remaining;
}

void PrintChains(std::ostream& out, const Distribution& hop_ms, const ChainParameters& parameters) {
  ChainTable table(parameters.depths);
  AddTimeRows(table, hop_ms, parameters);
  AddAttemptRows(table, parameters);
  AddDeadlineRow(table, parameters, "mean", hop_ms.mean());
  AddDeadlineRow(table, parameters, "p99", hop_ms.Percentile(0.99));
  table.Print(out);
}

}  // namespace lb::lab
