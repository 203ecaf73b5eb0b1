// Fits the growth of metrics with the fleet size, by least squares over the number of upstreams.
#include <algorithm>
#include <cmath>
#include <ostream>
#include <set>

#include "lab/measure/metrics.h"
#include "lab/measure/text_table.h"

namespace lb::lab {
namespace {

constexpr std::size_t kMinSizes = 3;
constexpr double kManyUpstreams = 100;

double Mean(const std::vector<Metrics>& runs, double Metrics::*value) {
  double sum = 0;
  for (const Metrics& run : runs) sum += run.*value;
  return sum / static_cast<double>(runs.size());
}

std::size_t CountSizes(const std::vector<Metrics>& runs) {
  std::set<double> sizes;
  for (const Metrics& run : runs) sizes.insert(run.upstreams);
  return sizes.size();
}

bool IsWorthFitting(const MetricDescription& metric, const std::vector<Metrics>& runs) {
  if (metric.value == &Metrics::upstreams) return false;
  const auto is_finite = [&](const Metrics& run) { return std::isfinite(run.*metric.value); };
  const auto is_zero = [&](const Metrics& run) { return run.*metric.value == 0; };
  return std::all_of(runs.begin(), runs.end(), is_finite) && !std::all_of(runs.begin(), runs.end(), is_zero);
}

// Needs runs of at least three different sizes.
Slope Fit(const MetricDescription& metric, const std::vector<Metrics>& runs) {
  const double mean_size = Mean(runs, &Metrics::upstreams);
  const double mean_value = Mean(runs, metric.value);
  double size_squares = 0, value_squares = 0, products = 0;
  for (const Metrics& run : runs) {
    const double size_offset = run.upstreams - mean_size;
    const double value_offset = run.*metric.value - mean_value;
    size_squares += size_offset * size_offset;
    value_squares += value_offset * value_offset;
    products += size_offset * value_offset;
  }
  Slope fit;
  fit.metric = metric.name;
  fit.slope = products / size_squares;
  fit.intercept = mean_value - fit.slope * mean_size;
  double residual_squares = 0;
  for (const Metrics& run : runs) {
    const double residual = run.*metric.value - (fit.intercept + fit.slope * run.upstreams);
    residual_squares += residual * residual;
  }
  // A metric that is constant over all sizes is fitted exactly.
  fit.r_squared = value_squares > 0 ? std::max(0.0, 1 - residual_squares / value_squares) : 1;
  const auto degrees_of_freedom = static_cast<double>(runs.size() - 2);
  fit.standard_error = std::sqrt(residual_squares / degrees_of_freedom / size_squares);
  return fit;
}

}  // namespace

std::vector<Slope> FitSlopes(const std::vector<Metrics>& runs) {
  std::vector<Slope> slopes;
  if (CountSizes(runs) < kMinSizes) return slopes;
  for (const MetricDescription& metric : AllMetrics())
    if (IsWorthFitting(metric, runs)) slopes.push_back(Fit(metric, runs));
  return slopes;
}

void PrintSlopes(std::ostream& out, const std::vector<Slope>& slopes) {
  if (slopes.empty()) return;
  TextTable table(2);
  table.AddRow({"growth of", "unit", "at 0 upstreams", "per 1 upstream", "per 100 upstreams",
                "+- (standard error per 100)", "r squared"});
  for (const Slope& slope : slopes) {
    const MetricDescription* metric = FindMetric(slope.metric);
    table.AddRow({std::string(slope.metric), metric ? std::string(metric->unit) : "",
                  FormatNumber(slope.intercept), FormatNumber(slope.slope),
                  FormatNumber(slope.slope * kManyUpstreams),
                  FormatNumber(slope.standard_error * kManyUpstreams), FormatNumber(slope.r_squared)});
  }
  table.Print(out);
}

}  // namespace lb::lab
