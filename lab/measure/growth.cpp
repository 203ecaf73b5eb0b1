#include "lab/measure/growth.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <ostream>
#include <string>

#include "lab/measure/text_table.h"
#include "lab/spec/deployment.h"
#include "lab/spec/schedule.h"

namespace lb::lab {
namespace {

constexpr double kThousand = 1000;
constexpr int kLimitDigits = 6;

const char* PartName(GrowthPart part) { return part == GrowthPart::kFleet ? "fleet" : "real"; }

// Capacity of an upstream of the large fleet relative to one of the usual fleet.
double CapacityRatio(const Experiment& experiment) {
  const std::size_t usual = experiment.sizes.front();
  const auto usual_sidecars = static_cast<double>(SidecarsFor(experiment, usual));
  const double usual_share = usual_sidecars / static_cast<double>(usual);
  const double large_share =
      static_cast<double>(experiment.growth->sidecars) / static_cast<double>(experiment.growth->upstreams);
  return large_share / usual_share;
}

void ScaleToLargeFleet(Experiment& experiment) {
  const double ratio = CapacityRatio(experiment);
  for (KindSpec& kind : experiment.upstreams.kinds) {
    kind.cores = LargeFleetCores(experiment, kind).value_or(kind.cores);
  }
  experiment.load.per_upstream *= ratio;
  experiment.sidecars_per_upstream =
      static_cast<double>(experiment.growth->sidecars) / static_cast<double>(experiment.growth->upstreams);
  experiment.sizes = {experiment.growth->upstreams};
}

void LeaveRealOnly(Experiment& experiment) {
  experiment.clock = ClockKind::kReal;
  experiment.sidecars.real = experiment.growth->real;
  experiment.hollow_absent = true;
  experiment.load.inequality = 0;
}

double ValueOf(const GrowthMetrics& metrics, const GrowthLimit& limit) {
  const MetricDescription* description = FindMetric(limit.metric);
  if (!description) return std::numeric_limits<double>::quiet_NaN();
  return (limit.part == GrowthPart::kFleet ? metrics.fleet : metrics.real).*description->value;
}

// False if any of the row's values is not a number.
bool SatisfiesLimit(const GrowthRow& row) {
  if (!(row.usual > 0)) return false;
  return row.limit.comparison == Comparison::kAtMost ? row.large <= row.allowed : row.large >= row.allowed;
}

// Formats a limit as in `at most 1.4 x + 0.02 + 0.03 per 1000`.
std::string LimitText(const GrowthLimit& limit) {
  std::string text = limit.comparison == Comparison::kAtMost ? "at most " : "at least ";
  text += FormatShort(limit.factor, kLimitDigits) + " x";
  if (limit.constant > 0) text += " + " + FormatShort(limit.constant, kLimitDigits);
  if (limit.per_thousand > 0) text += " + " + FormatShort(limit.per_thousand, kLimitDigits) + " per 1000";
  return text;
}

void PrintPart(std::ostream& out, const char* title, const Metrics& usual, const Metrics& large) {
  if (large.upstreams == 0) return;
  out << title << ":\n";
  PrintTable(out, {usual, large});
  out << "\n";
}

std::vector<std::string> TableCells(const GrowthRow& row) {
  const MetricDescription* description = FindMetric(row.limit.metric);
  return {row.limit.metric,
          PartName(row.limit.part),
          description ? std::string(description->unit) : "",
          LimitText(row.limit),
          FormatNumber(row.usual),
          FormatNumber(row.large),
          FormatNumber(row.large / row.usual),
          FormatNumber(row.allowed),
          row.holds ? "holds" : "FAILS"};
}

}  // namespace

std::optional<int> LargeFleetCores(const Experiment& experiment, const KindSpec& kind) {
  constexpr double kRounding = 1e-9;
  const double cores = kind.cores * CapacityRatio(experiment);
  if (std::abs(cores - std::round(cores)) > kRounding || std::round(cores) < 1) return std::nullopt;
  return static_cast<int>(std::round(cores));
}

Experiment GrowthExperiment(const Experiment& experiment, FleetSize fleet, GrowthPart part) {
  Experiment played = experiment;
  if (fleet == FleetSize::kLarge) ScaleToLargeFleet(played);
  if (part == GrowthPart::kReal) LeaveRealOnly(played);
  played.name += part == GrowthPart::kReal ? "-real" : "-fleet";
  played.growth.reset();
  return played;
}

bool IsMeasured(const GrowthSpec& spec, GrowthPart part) {
  return std::any_of(spec.limits.begin(), spec.limits.end(),
                     [part](const GrowthLimit& limit) { return limit.part == part; });
}

std::vector<GrowthRow> CompareGrowth(const GrowthSpec& spec, const GrowthMetrics& usual,
                                     const GrowthMetrics& large) {
  std::vector<GrowthRow> rows;
  for (const GrowthLimit& limit : spec.limits) {
    GrowthRow row;
    row.limit = limit;
    row.usual = ValueOf(usual, limit);
    row.large = ValueOf(large, limit);
    row.allowed = limit.factor * row.usual + limit.constant +
                  limit.per_thousand * static_cast<double>(spec.upstreams) / kThousand;
    row.holds = SatisfiesLimit(row);
    rows.push_back(std::move(row));
  }
  return rows;
}

bool AllHold(const std::vector<GrowthRow>& rows) {
  return std::all_of(rows.begin(), rows.end(), [](const GrowthRow& row) { return row.holds; });
}

void PrintGrowth(std::ostream& out, const GrowthMetrics& usual, const GrowthMetrics& large,
                 const std::vector<GrowthRow>& rows) {
  PrintPart(out, "the whole fleet, hollow, on the virtual clock", usual.fleet, large.fleet);
  PrintPart(out, "real sidecars of it, on loopback", usual.real, large.real);
  out << "growth:\n";
  constexpr std::size_t kTextColumns = 4;
  TextTable table(kTextColumns);
  table.AddRow({"metric", "part", "unit", "limit", "usual", "large", "ratio", "allowed", "verdict"});
  for (const GrowthRow& row : rows) table.AddRow(TableCells(row));
  table.Print(out);
}

void PrintGrowthPlan(std::ostream& out, const Experiment& experiment) {
  for (const FleetSize fleet : {FleetSize::kUsual, FleetSize::kLarge}) {
    const Experiment played = GrowthExperiment(experiment, fleet, GrowthPart::kFleet);
    PrintSummary(out, played, MakeDeployment(played, played.sizes.front()));
  }
  out << "in addition " << experiment.growth->real << " real sidecars at either size\n";
  for (const GrowthLimit& limit : experiment.growth->limits) {
    out << "  " << limit.metric << " (" << PartName(limit.part) << "): " << LimitText(limit) << "\n";
  }
}

}  // namespace lb::lab
