// Tests of distributions, metrics, verdicts, tables, slopes and the model of call chains.
#include <chrono>
#include <cmath>
#include <initializer_list>
#include <iterator>
#include <limits>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "lab/measure/metrics.h"
#include "lab/measure/text_table.h"
#include "lab/model/chain.h"
#include "nlohmann/json.hpp"

namespace lb::lab {
namespace {

using namespace std::chrono_literals;
constexpr double kNotANumber = std::numeric_limits<double>::quiet_NaN();
constexpr double kInfinity = std::numeric_limits<double>::infinity();

Distribution Of(std::initializer_list<double> values) {
  Distribution distribution;
  for (const double value : values) distribution.Add(value);
  return distribution;
}

TEST(Distribution, TakesPercentilesByNearestRank) {
  const Distribution five = Of({50, 15, 40, 20, 35});
  Distribution hundred;
  for (int i = 100; i > 0; --i) hundred.Add(i);
  struct {
    const Distribution& of;
    double share, value;
  } const cases[] = {{five, 0, 15},         {five, 0.05, 15},    {five, 0.3, 20},
                     {five, 0.4, 20},       {five, 0.41, 35},    {five, 0.5, 35},
                     {five, 1, 50},         {hundred, 0.07, 7},  {hundred, 0.99, 99},
                     {hundred, 0.991, 100}, {hundred, 0.29, 29}, {Distribution(), 0.5, 0}};
  for (const auto& c : cases) EXPECT_EQ(c.of.Percentile(c.share), c.value) << c.share;
}

TEST(Distribution, CountsValuesAddedAndMergedAfterItWasRead) {
  Distribution values = Of({3, 1});
  EXPECT_EQ(values.Percentile(1), 3);
  values.Add(2);
  values.Merge(Of({0, 9}));
  values.Merge(values);
  EXPECT_EQ(values.count(), 10u);
  EXPECT_EQ(values.Percentile(0.5), 2);
  EXPECT_EQ(values.Percentile(1), 9);
  EXPECT_EQ(values.mean(), 3);
  EXPECT_EQ(values.ShareAbove(2), 0.4);
  EXPECT_EQ(Distribution().mean(), 0);
  EXPECT_THROW(values.Add(kNotANumber), std::invalid_argument);
}

TEST(Metrics, ListsEveryValueOnceWithItsUnit) {
  EXPECT_EQ(AllMetrics().size() * sizeof(double), sizeof(Metrics));
  Metrics metrics;
  double mark = 0;
  for (const MetricDescription& metric : AllMetrics()) {
    EXPECT_EQ(metrics.*metric.value, 0) << metric.name;
    metrics.*metric.value = ++mark;
    EXPECT_EQ(FindMetric(metric.name), &metric);
    EXPECT_FALSE(metric.unit.empty()) << metric.name;
  }
  EXPECT_EQ(FindMetric("nothing"), nullptr);
}

Experiment Named() {
  Experiment experiment;
  experiment.name = "crash";
  experiment.seed = 7;
  return experiment;
}

TEST(JsonLines, WritesSampleAsOneLineOfFiniteNumbers) {
  Sample sample;
  sample.at_s = 2.5;
  sample.traffic.requests = 5;
  sample.traffic.probes = 3;
  sample.traffic += sample.traffic;
  sample.latency_p99_ms = kNotANumber;
  sample.load_spread = 1.25;
  sample.outstanding_requests = 4;
  std::ostringstream out;
  WriteSample(out, Named(), 100, sample);
  EXPECT_EQ(out.str().find('\n'), out.str().size() - 1);
  const auto line = nlohmann::json::parse(out.str());
  EXPECT_EQ(line.size(), 4 + 1 + 13 + 15 + 2u);  // the run, the time, counters, quantities, counts
  EXPECT_EQ(line["event"], "sample");
  EXPECT_EQ(line["experiment"], "crash");
  EXPECT_EQ(line["size"], 100);
  EXPECT_EQ(line["seed"], 7);
  EXPECT_EQ(line["at_s"], 2.5);
  EXPECT_EQ(line["requests"], 10);
  EXPECT_EQ(line["probes"], 6);
  EXPECT_EQ(line["load_spread"], 1.25);
  EXPECT_EQ(line["held"], 4);
  EXPECT_TRUE(line["latency_p99_ms"].is_null());
}

TEST(JsonLines, WritesSummaryWithEveryMetric) {
  Metrics metrics;
  metrics.in_time_share = 0.875;
  metrics.notice_last_ms = kInfinity;
  std::ostringstream out;
  WriteSummary(out, Named(), 30, metrics);
  const auto line = nlohmann::json::parse(out.str());
  EXPECT_EQ(line["event"], "summary");
  EXPECT_EQ(line["size"], 30);
  EXPECT_EQ(line["in_time_share"], 0.875);
  EXPECT_TRUE(line["notice_last_ms"].is_null());
  for (const MetricDescription& metric : AllMetrics()) EXPECT_TRUE(line.contains(std::string(metric.name)));
}

TEST(Verdicts, JudgesAndPrintsEachExpectation) {
  struct {
    Expectation expectation;
    double value;
    bool holds;
    const char* line;
  } const cases[] = {
      {{"in_time_share", Comparison::kAtLeast, 0.9},
       0.9,
       true,
       "30 upstreams: holds in_time_share: wanted at least 0.9, got 0.9\n"},
      {{"in_time_share", Comparison::kAtLeast, 0.9},
       0.85,
       false,
       "30 upstreams: FAILS in_time_share: wanted at least 0.9, got 0.85\n"},
      {{"in_time_share", Comparison::kAtLeast, 0.9},
       0.8999996,
       false,
       "30 upstreams: FAILS in_time_share: wanted at least 0.9, got 0.8999996\n"},
      {{"in_time_share", Comparison::kAtMost, 0.5},
       0.5,
       true,
       "30 upstreams: holds in_time_share: wanted at most 0.5, got 0.5\n"},
      {{"in_time_share", Comparison::kAtMost, 0.5},
       0.75,
       false,
       "30 upstreams: FAILS in_time_share: wanted at most 0.5, got 0.75\n"},
      {{"in_time_share", Comparison::kAtMost, 0.5},
       kNotANumber,
       false,
       "30 upstreams: FAILS in_time_share: wanted at most 0.5, got nan\n"},
      {{"nothing", Comparison::kAtMost, 0.5},
       0,
       false,
       "30 upstreams: FAILS nothing: wanted at most 0.5, got nan\n"},
  };
  for (const auto& c : cases) {
    Experiment experiment;
    experiment.must_hold = {c.expectation};
    Metrics metrics;
    metrics.in_time_share = c.value;
    const std::vector<Verdict> verdicts = Judge(experiment, metrics);
    ASSERT_EQ(verdicts.size(), 1u);
    EXPECT_EQ(verdicts[0].holds, c.holds) << c.line;
    std::ostringstream out;
    PrintVerdicts(out, 30, verdicts);
    EXPECT_EQ(out.str(), c.line);
  }
}

TEST(Tables, FormatNumbersWithSensibleDigits) {
  struct {
    double value;
    const char* text;
  } const cases[] = {{0, "0"},
                     {-0.0, "0"},
                     {3, "3"},
                     {0.25, "0.2500"},
                     {0.99996, "0.99996"},
                     {0.99994, "0.9999"},
                     {1.23456, "1.235"},
                     {123.456, "123.5"},
                     {12345.6, "12346"},
                     {-0.012345, "-0.01235"},
                     {2e-5, "2.000e-05"},
                     {6.9e13, "6.900e+13"},
                     {kNotANumber, "-"},
                     {kInfinity, "-"}};
  for (const auto& c : cases) EXPECT_EQ(FormatNumber(c.value), c.text);
}

TEST(Tables, AlignAColumnForEachSizeAndOmitMetricsThatAreZeroInAll) {
  std::vector<Metrics> runs(2);
  runs[0].upstreams = 30;
  runs[0].in_time_share = 0.98765;
  runs[1].upstreams = 1000;
  runs[1].requests = 123456;
  std::ostringstream out;
  PrintTable(out, runs);
  EXPECT_EQ(out.str(),
            "upstreams      unit       30    1000\n"
            "------------------------------------\n"
            "requests       count       0  123456\n"
            "in_time_share  share  0.9877       0\n");
}

std::vector<Metrics> RunsWithLatency(std::initializer_list<std::pair<double, double>> points) {
  std::vector<Metrics> runs;
  for (const auto& [upstreams, latency] : points) {
    runs.emplace_back().upstreams = upstreams;
    runs.back().latency_p50_ms = latency;
  }
  return runs;
}

TEST(Slopes, FitLeastSquares) {
  struct {
    std::vector<Metrics> runs;
    double intercept, slope, r_squared, standard_error;
  } const cases[] = {
      {RunsWithLatency({{100, 3}, {200, 5}, {400, 9}}), 1, 0.02, 1, 0},
      {RunsWithLatency({{1, 6}, {2, 5}, {3, 7}, {4, 10}}), 3.5, 1.4, 0.7, std::sqrt(0.42)},
      {RunsWithLatency({{10, 4}, {20, 4}, {30, 4}}), 4, 0, 1, 0},
  };
  for (const auto& c : cases) {
    const std::vector<Slope> slopes = FitSlopes(c.runs);
    ASSERT_EQ(slopes.size(), 1u);
    EXPECT_EQ(slopes[0].metric, "latency_p50_ms");
    EXPECT_NEAR(slopes[0].intercept, c.intercept, 1e-12);
    EXPECT_NEAR(slopes[0].slope, c.slope, 1e-12);
    EXPECT_NEAR(slopes[0].r_squared, c.r_squared, 1e-12);
    EXPECT_NEAR(slopes[0].standard_error, c.standard_error, 1e-12);
  }
  EXPECT_TRUE(FitSlopes(RunsWithLatency({{10, 1}, {20, 2}, {20, 3}})).empty());
}

TEST(Slopes, ArePrintedForOneAndForAHundredUpstreams) {
  std::ostringstream out;
  PrintSlopes(out, {{"latency_p50_ms", 1.5, 0.02, 0.75, 0.003}});
  const std::string table = out.str();
  const std::string row = table.substr(table.rfind("latency_p50_ms"));
  std::istringstream cells(row);
  const std::vector<std::string> expected = {"latency_p50_ms", "ms",    "1.500", "0.02000", "2",
                                             "0.3000",         "0.7500"};
  for (const std::string& cell : expected) {
    std::string printed;
    cells >> printed;
    EXPECT_EQ(printed, cell);
  }
}

TEST(Chain, SumsTheHops) {
  const Distribution constant = SimulateChain(Of({0.5}), 29, 100, 1);
  EXPECT_EQ(constant.count(), 100u);
  EXPECT_EQ(constant.Percentile(0), 14.5);
  EXPECT_EQ(constant.Percentile(1), 14.5);
  const Distribution hop = Of({0, 0, 0, 1});
  const Distribution chain = SimulateChain(hop, 8, kMaxChainDraws, 3);
  EXPECT_NEAR(chain.mean(), 2, 0.02);  // 5 standard errors of 0.004
  EXPECT_NEAR(chain.ShareAbove(0), ShareOfChainsWithAny(hop.ShareAbove(0.5), 8), 0.005);
  EXPECT_EQ(chain.SortedValues(), SimulateChain(hop, 8, kMaxChainDraws, 3).SortedValues());
  EXPECT_NE(chain.mean(), SimulateChain(hop, 8, kMaxChainDraws, 4).mean());
}

TEST(Chain, RejectsInvalidArguments) {
  EXPECT_THROW(SimulateChain(Distribution(), 2, 1, 1), std::invalid_argument);
  EXPECT_THROW(SimulateChain(Of({1}), 0, 1, 1), std::invalid_argument);
  EXPECT_THROW(SimulateChain(Of({1}), 2, 0, 1), std::invalid_argument);
  EXPECT_THROW(SimulateChain(Of({1}), 2, kMaxChainDraws + 1, 1), std::invalid_argument);
}

TEST(Chain, ComputesTheShareOfChainsWithASlowHop) {
  struct {
    double hop_share;
    std::size_t depth;
    double share;
  } const cases[] = {{0, 29, 0}, {1, 29, 1}, {0.5, 2, 0.75}, {0.1, 1, 0.1}, {0.01, 29, 0.25282790566840}};
  for (const auto& c : cases) EXPECT_NEAR(ShareOfChainsWithAny(c.hop_share, c.depth), c.share, 1e-12);
}

TEST(Chain, MultipliesAttemptsAtAFailingLeaf) {
  struct {
    RetryChain chain;
    double expected, most, budgeted, bound;
  } const cases[] = {
      {{1, 3, 0.5, 10}, 1.75, 3, 1.75, 11},                   // 1 + 1/2 + 1/4, the budget is not reached
      {{2, 2, 0.5, 10}, 1.875, 4, 1.875, 121},                // 1 + 1/2 + 1/4 + 1/8
      {{2, 3, 0, 0.1}, 1, 9, 1, 1.21},                        // nothing fails
      {{2, 3, 1, 0.1}, 9, 9, 1.21, 1.21},                     // every attempt fails
      {{8, 3, 1, 0.1}, 6561, 6561, 2.14358881, 2.14358881},   //
      {{2, 3, 0.5, 0.1}, 1.99609375, 9, 1.21, 1.21},          // 2 - 2^-8
      {{2, 2, 0.1, 0.1}, 1.111, 4, 1.1 * 1.01, 1.21},         // the budget is reached exactly at the leaf
      {{2, 2, 0.2, 0.1}, 1.248, 4, 1.1 * 1.1, 1.21},          // 12 of 100 still fail after the leaf's hop
      {{2, 2, 0.02, 0.1}, 1.020408, 4, 1.02 * 1.0004, 1.21},  // below the budget at both hops
  };
  for (const auto& c : cases) {
    EXPECT_NEAR(AttemptsWithoutBudget(c.chain).expected, c.expected, 1e-9);
    EXPECT_NEAR(AttemptsWithoutBudget(c.chain).most, c.most, 1e-9);
    EXPECT_NEAR(AttemptsWithBudget(c.chain).expected, c.budgeted, 1e-9);
    EXPECT_NEAR(AttemptsWithBudget(c.chain).most, c.bound, 1e-9);
  }
}

TEST(Chain, ShrinksDeadlinesToZeroAndNoFurther) {
  const std::vector<lb::Duration> expected = {70ms, 40ms, 10ms, 0ms, 0ms};
  EXPECT_EQ(RemainingDeadlines(100ms, 20ms, 10ms, 5), expected);
}

TEST(Chain, PrintsAColumnForEachDepth) {
  ChainParameters parameters;
  parameters.depths = {2, 8};
  parameters.draws = 10;
  parameters.leaf_failures = {1};
  parameters.deadline = 100ms;
  std::ostringstream out;
  PrintChains(out, Of({2}), parameters);
  const char* const rows[] = {"added, p99", "chains with a hop over 1 ms",
                              "leaf attempts, leaf fails 1, no budget",
                              "leaf attempts, bound of the mean, budget 0.1", "left of 100 ms"};
  const char* const ends[] = {"4 16\n", "1 1\n", "9 6561\n", "1.210 2.144\n", "86 44\n"};
  for (std::size_t i = 0; i < std::size(rows); ++i) {
    const std::size_t start = out.str().find(rows[i]);
    ASSERT_NE(start, std::string::npos) << rows[i] << " in\n" << out.str();
    std::istringstream cells(out.str().substr(start, out.str().find('\n', start) - start));
    std::string cell, last, before_last;
    while (cells >> cell) {
      before_last = last;
      last = cell;
    }
    EXPECT_EQ(before_last.append(" ").append(last).append("\n"), ends[i]) << rows[i];
  }
}

TEST(Chain, AHopIsMadeFromItsMedianAndItsNinetyNinthPercentile) {
  const Distribution hop = LognormalHop(0.7, 1.4, 100'000, 3);
  EXPECT_NEAR(hop.Percentile(0.5), 0.7, 0.01);
  EXPECT_NEAR(hop.Percentile(0.99), 1.4, 0.03);
  EXPECT_DOUBLE_EQ(LognormalHop(2, 2, 10, 1).Percentile(1), 2) << "no spread";
  EXPECT_THROW(LognormalHop(2, 1, 10, 1), std::invalid_argument);
  EXPECT_THROW(LognormalHop(0, 1, 10, 1), std::invalid_argument);
}

}  // namespace
}  // namespace lb::lab
