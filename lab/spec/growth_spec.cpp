#include "lab/spec/growth_spec.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lab/measure/growth.h"
#include "lab/measure/metrics.h"

namespace lb::lab {
namespace {

constexpr std::int64_t kMaxUpstreams = 5000;
constexpr std::int64_t kMaxSidecars = 20'000;
constexpr std::int64_t kMaxRealSidecars = 100;

const std::vector<NamedValue<GrowthPart>> kParts = {{"fleet", GrowthPart::kFleet},
                                                    {"real", GrowthPart::kReal}};
const std::vector<NamedValue<Comparison>> kComparisons = {{"at_most", Comparison::kAtMost},
                                                          {"at_least", Comparison::kAtLeast}};

GrowthLimit ReadLimit(TableReader& table) {
  GrowthLimit limit;
  table.Require({"metric", "part", "factor"});
  table.ReadText("metric", limit.metric);
  if (!FindMetric(limit.metric)) table.Fail("metric", "there is no metric \"" + limit.metric + "\"");
  table.ReadChoice("part", limit.part, kParts);
  table.ReadChoice("comparison", limit.comparison, kComparisons);
  table.ReadNumber("factor", limit.factor, {0, 1000});
  table.ReadNumber("constant", limit.constant, {0, 1e9});
  table.ReadNumber("per_thousand", limit.per_thousand, {0, 1e9});
  table.Finish();
  return limit;
}

std::vector<GrowthLimit> ReadLimits(std::vector<TableReader> tables) {
  std::vector<GrowthLimit> limits;
  std::set<std::pair<std::string, GrowthPart>> known;
  for (TableReader& table : tables) {
    limits.push_back(ReadLimit(table));
    if (known.insert({limits.back().metric, limits.back().part}).second) continue;
    table.Fail("metric", "this part's metric \"" + limits.back().metric + "\" has a limit already");
  }
  return limits;
}

}  // namespace

void ReadGrowth(TableReader& file, Experiment& experiment) {
  std::vector<TableReader> limits = file.Tables("growth_limit");
  if (!file.Has("growth")) {
    if (!limits.empty()) limits.front().Fail("", "[[growth_limit]] without a [growth]");
    return;
  }
  GrowthSpec spec;
  TableReader table = file.Table("growth");
  table.Require({"upstreams", "sidecars", "real"});
  table.ReadCount("upstreams", spec.upstreams, 1, kMaxUpstreams);
  table.ReadCount("sidecars", spec.sidecars, 1, kMaxSidecars);
  table.ReadCount("real", spec.real, 1, kMaxRealSidecars);
  table.Finish();
  spec.limits = ReadLimits(std::move(limits));
  if (spec.limits.empty()) file.Fail("growth", "[growth] without a [[growth_limit]]");
  experiment.growth = std::move(spec);
}

void CheckGrowth(TableReader& file, const Experiment& experiment) {
  if (!experiment.growth) return;
  const GrowthSpec& spec = *experiment.growth;
  TableReader table = file.Table("growth");
  if (experiment.sizes.size() != 1) file.Fail("sizes", "[growth] needs one size, the usual one");
  if (experiment.clock != ClockKind::kVirtual) file.Fail("clock", "[growth] needs clock = \"virtual\"");
  if (!experiment.must_hold.empty()) file.Fail("must_hold", "[growth] and [[must_hold]] can't both be given");
  const std::size_t usual = experiment.sizes.front();
  const std::size_t usual_sidecars = SidecarsFor(experiment, usual);
  if (spec.upstreams <= usual)
    table.Fail("upstreams", "the large fleet has no more upstreams than the usual");
  if (spec.sidecars < usual_sidecars) {
    table.Fail("sidecars",
               "the large fleet has fewer sidecars than the usual one, " + std::to_string(usual_sidecars));
  }
  if (spec.real > usual_sidecars)
    table.Fail("real", "the usual fleet has fewer sidecars than are to be real");
  for (const KindSpec& kind : experiment.upstreams.kinds) {
    if (LargeFleetCores(experiment, kind)) continue;
    table.Fail("upstreams", "the " + std::to_string(kind.cores) + " cores of kind \"" + kind.name +
                                "\" do not scale to a whole number in the large fleet");
  }
}

}  // namespace lb::lab
