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

// 1 + ratio + ... + ratio^(terms - 1): the attempts that a call makes in the mean when each fails with
// probability `ratio` and it gives up after `terms`.
double GeometricSum(double ratio, double terms) {
  if (ratio >= 1) return terms;
  if (ratio <= 0) return 1;
  return -std::expm1(terms * std::log(ratio)) / (1 - ratio);
}

Duration FromMilliseconds(double ms) { return std::chrono::round<Duration>(Milliseconds(ms)); }

// A number that the caller chose, as it was written.
std::string FormatChoice(double value) {
  constexpr int kDigits = 6;
  return FormatShort(value, kDigits);
}

// The table of chains: the description and the unit of each row, then one cell a depth.
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

void AddTimeRows(ChainTable& table, const Distribution& hop_ms, const ChainQuestion& question) {
  std::vector<Distribution> chains;
  for (const std::size_t depth : question.depths)
    chains.push_back(SimulateChain(hop_ms, depth, question.draws, question.seed));
  const auto chain_of = [&](std::size_t depth) -> const Distribution& {
    const auto found = std::find(question.depths.begin(), question.depths.end(), depth);
    return chains[static_cast<std::size_t>(found - question.depths.begin())];
  };
  table.AddRow("added, mean", "ms", [&](std::size_t depth) { return chain_of(depth).mean(); });
  table.AddRow("added, p50", "ms", [&](std::size_t depth) { return chain_of(depth).Percentile(0.5); });
  table.AddRow("added, p99", "ms", [&](std::size_t depth) { return chain_of(depth).Percentile(0.99); });
  table.AddRow("added, p99.9", "ms", [&](std::size_t depth) { return chain_of(depth).Percentile(0.999); });
  const double slow_hops = hop_ms.ShareAbove(question.limit_ms);
  table.AddRow("chains with a hop over " + FormatChoice(question.limit_ms) + " ms", "share",
               [&](std::size_t depth) { return ShareOfChainsWithAny(slow_hops, depth); });
}

void AddAttemptRows(ChainTable& table, const ChainQuestion& question) {
  const auto chain_of = [&](std::size_t depth, double leaf_failure) {
    return RetryChain{depth, question.max_attempts, leaf_failure, question.budget_per_hop};
  };
  const std::string budget = "budget " + FormatChoice(question.budget_per_hop);
  for (const double failure : question.leaf_failures) {
    std::string what = "leaf attempts, leaf fails " + FormatChoice(failure);
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

void AddDeadlineRow(ChainTable& table, const ChainQuestion& question, const std::string& added_what,
                    double added_ms) {
  table.AddRow("left of " + FormatChoice(ToMilliseconds(question.deadline)) + " ms, hops adding their " +
                   added_what + " and " + FormatChoice(ToMilliseconds(question.margin)) + " ms of margin",
               "ms", [&](std::size_t depth) {
                 const auto remaining = RemainingDeadlines(question.deadline, FromMilliseconds(added_ms),
                                                           question.margin, depth);
                 return ToMilliseconds(remaining.empty() ? question.deadline : remaining.back());
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
  // The leaf is attempted until it succeeds once or every hop has used up its attempts, so that the whole
  // chain is one call of max_attempts^depth attempts.
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
    // A call succeeds with one of its attempts at the most, so those that succeed are as many as the calls.
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

void PrintChains(std::ostream& out, const Distribution& hop_ms, const ChainQuestion& question) {
  ChainTable table(question.depths);
  AddTimeRows(table, hop_ms, question);
  AddAttemptRows(table, question);
  AddDeadlineRow(table, question, "mean", hop_ms.mean());
  AddDeadlineRow(table, question, "p99", hop_ms.Percentile(0.99));
  table.Print(out);
}

}  // namespace lb::lab
