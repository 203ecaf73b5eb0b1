#include "lab/spec/experiment.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <fstream>
#include <iterator>
#include <limits>
#include <set>

#include "lab/measure/metrics.h"
#include "lab/spec/fault_reader.h"
#include "lab/spec/growth_spec.h"
#include "lab/spec/toml_reader.h"

namespace lb::lab {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxUpstreams = 5000;
constexpr std::size_t kMaxSidecars = 20000;
constexpr std::size_t kMaxRealSidecars = 300;
constexpr std::size_t kMaxNameLength = 64;
constexpr Bounds kShare{0, 1};
// Bounds of the relative share of one class or kind.
constexpr Bounds kShareBounds{0, 1e6};

const std::vector<NamedValue<ClockKind>> kClocks = {{"virtual", ClockKind::kVirtual},
                                                    {"real", ClockKind::kReal}};
const std::vector<NamedValue<ListScope>> kLists = {{"all", ListScope::kAll},
                                                   {"service", ListScope::kService}};
const std::vector<NamedValue<lb::Idempotency>> kEffects = {{"safe", lb::Idempotency::kIdempotent},
                                                           {"keyed", lb::Idempotency::kIdempotencyKey},
                                                           {"unsafe", lb::Idempotency::kNotIdempotent}};

bool IsName(const std::string& text) {
  const auto allowed = [](unsigned char c) { return std::isalnum(c) || c == '_' || c == '-' || c == '.'; };
  return !text.empty() && text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

void ReadName(TableReader& table, std::string& name) {
  table.Require({"name"});
  table.ReadText("name", name);
  if (!IsName(name)) {
    table.Fail("name", "name has to be 1 to " + std::to_string(kMaxNameLength) + " of A-Z a-z 0-9 . _ -");
  }
}

// Throws if two of `items` have the same name or all shares are 0. `tables` are the tables that the items
// were read from, for the line of the error.
template <typename T>
void CheckNamesAndShares(const std::vector<T>& items, const std::vector<TableReader>& tables) {
  std::set<std::string> names;
  double shares = 0;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (!names.insert(items[i].name).second)
      tables[i].Fail("name", "name \"" + items[i].name + "\" is taken");
    shares += items[i].share;
  }
  if (shares <= 0) tables.front().Fail("share", "the shares sum to 0");
}

ClassSpec ReadClass(TableReader& table) {
  ClassSpec spec;
  ReadName(table, spec.name);
  table.Require({"mean_work_ms", "aim_ms", "deadline_ms"});
  table.ReadNumber("share", spec.share, kShareBounds);
  table.ReadTime("mean_work_ms", spec.mean_work, milliseconds(1), {0.001, 60'000});
  table.ReadNumber("work_variation", spec.work_variation, {0, 20});
  table.ReadTime("aim_ms", spec.latency_objective, milliseconds(1), {1, 600'000});
  table.ReadTime("deadline_ms", spec.deadline, milliseconds(1), {1, 600'000});
  table.ReadChoice("effect", spec.idempotency, kEffects);
  table.ReadTime("key_window_s", spec.key_window, seconds(1), {0.001, 86'400});
  table.ReadNumber("worth", spec.priority_weight, {0, 1e6});
  table.Finish();
  if (spec.latency_objective > spec.deadline) table.Fail("aim_ms", "aim_ms is over deadline_ms");
  return spec;
}

KindSpec ReadKind(TableReader& table) {
  KindSpec spec;
  ReadName(table, spec.name);
  table.ReadNumber("share", spec.share, kShareBounds);
  table.ReadCount("cores", spec.cores, 1, 1024);
  table.ReadNumber("speed", spec.speed, {0.01, 100});
  table.ReadNumber("slots_per_core", spec.slots_per_core, {0.01, 10'000});
  table.ReadNumber("queue_per_core", spec.queue_per_core, {0, 100'000});
  table.ReadNumber("connections_per_core", spec.connections_per_core, {0.01, 100'000});
  table.Finish();
  return spec;
}

void ReadClasses(TableReader& file, std::vector<ClassSpec>& classes) {
  std::vector<TableReader> tables = file.Tables("class");
  for (TableReader& table : tables) classes.push_back(ReadClass(table));
  if (classes.empty()) file.Fail("class", "there is no [[class]]");
  CheckNamesAndShares(classes, tables);
}

void ReadKinds(TableReader& file, std::vector<KindSpec>& kinds) {
  std::vector<TableReader> tables = file.Tables("kind");
  for (TableReader& table : tables) kinds.push_back(ReadKind(table));
  if (kinds.empty()) {
    kinds.push_back(KindSpec{.name = "standard"});
    return;
  }
  CheckNamesAndShares(kinds, tables);
}

void ReadUpstreams(TableReader table, UpstreamSpec& spec) {
  table.ReadTime("handshake_us", spec.handshake_work, microseconds(1), {0, 10'000'000});
  table.ReadTime("probe_us", spec.probe_work, microseconds(1), {0, 10'000'000});
  table.ReadNumber("full_table_cost", spec.full_table_cost, {0, 0.99});
  table.ReadTime("idle_close_s", spec.idle_close, seconds(1), {0.1, 3600});
  table.ReadNumber("cold_from", spec.slow_start_initial_share, {0.001, 1});
  table.ReadTime("cold_s", spec.slow_start_duration, seconds(1), {0.001, 3600});
  table.ReadFlag("cancel_stops_work", spec.cancel_stops_work);
  table.ReadNumber("crowded_at", spec.overload_at, {0, 100'000});
  table.ReadTime("crowded_after_s", spec.overload_after, seconds(1), {0, 3600});
  table.ReadNumber("crowded_slowdown", spec.overload_slowdown, {1, 1000});
  table.ReadNumber("rested_below", spec.recovered_below, {0, 100'000});
  table.ReadTime("rest_s", spec.recovery_time, seconds(1), {0, 3600});
  table.Finish();
  if (spec.overload_at > 0 && spec.recovered_below > spec.overload_at) {
    table.Fail(table.Has("rested_below") ? "rested_below" : "crowded_at", "rested_below is over crowded_at");
  }
}

void ReadNetwork(TableReader table, NetworkSpec& spec) {
  constexpr Bounds kDelay{0, 10'000'000};
  table.ReadTime("same_zone_us", spec.same_zone, microseconds(1), kDelay);
  table.ReadTime("cross_zone_us", spec.cross_zone, microseconds(1), kDelay);
  table.ReadTime("cross_region_us", spec.cross_region, microseconds(1), kDelay);
  table.ReadNumber("jitter", spec.jitter, kShare);
  table.Finish();
}

void ReadDiscovery(TableReader table, DiscoverySpec& spec) {
  table.ReadFlag("on_request", spec.on_request);
  table.ReadRange("notice_delay_s", spec.notice_delay_s, {0, 60});
  table.Finish();
}

void ReadClients(TableReader table, ClientSpec& spec) {
  table.ReadCount("retries", spec.retries, 0, 20);
  table.ReadNumber("try_share", spec.try_share, {0.01, 1});
  table.ReadTime("backoff_ms", spec.backoff, milliseconds(1), {0, 60'000});
  table.ReadNumber("heeds_retry_after", spec.honors_retry_after, kShare);
  table.ReadTime("listens_on_s", spec.late_answer_wait, seconds(1), {0, 10});
  table.Finish();
}

void ReadLoad(TableReader table, LoadSpec& spec) {
  table.ReadNumber("per_upstream", spec.per_upstream, {0.001, 100'000});
  table.ReadNumber("utilization", spec.utilization, {0.001, 10});
  table.ReadNumber("inequality", spec.inequality, {0, 10});
  table.Finish();
  if (table.Has("per_upstream") && table.Has("utilization")) {
    table.Fail("utilization", "per_upstream and utilization can't both be given");
  }
}

void ReadSidecars(TableReader& table, SidecarSpec& spec) {
  table.ReadFlag("probes", spec.probes);
  table.ReadFlag("second_copies", spec.hedging_allowed);
  table.ReadFlag("retry_after", spec.retry_after);
  table.ReadCount("max_attempts", spec.max_attempts, 1, 20);
  table.ReadNumber("cross_zone_price", spec.cross_zone_price, {0, 1000});
  table.ReadNumber("probe_price", spec.probe_price, {0, 1000});
  table.ReadCount("real", spec.real, 0, kMaxRealSidecars);
  table.ReadCount("memory_mb", spec.memory_mb, 32, 4096);
  table.ReadCount("sockets", spec.sockets, 256, 65'536);
  table.Finish();
}

Expectation ReadExpectation(TableReader& table) {
  constexpr Bounds kAny{-1e12, 1e12};
  Expectation expectation;
  table.Require({"metric"});
  table.ReadText("metric", expectation.metric);
  if (!FindMetric(expectation.metric)) {
    table.Fail("metric", "there is no metric \"" + expectation.metric + "\"");
  }
  if (table.Has("at_least") == table.Has("at_most")) {
    table.Fail("metric", "[[must_hold]] needs either at_least or at_most");
  }
  expectation.comparison = table.Has("at_least") ? Comparison::kAtLeast : Comparison::kAtMost;
  table.ReadNumber("at_least", expectation.bound, kAny);
  table.ReadNumber("at_most", expectation.bound, kAny);
  table.Finish();
  return expectation;
}

// Reads the top-level keys, which precede all tables.
void ReadTop(TableReader& file, Experiment& experiment) {
  ReadName(file, experiment.name);
  file.ReadCount("seed", experiment.seed, 0, std::numeric_limits<std::int64_t>::max());
  file.ReadChoice("clock", experiment.clock, kClocks);
  file.ReadTime("warm_up_s", experiment.warm_up, seconds(1), {0, 600});
  file.ReadTime("length_s", experiment.length, seconds(1), {0.1, 3600});
  file.ReadTime("sample_every_s", experiment.sample_every, seconds(1), {0.01, 600});
  if (experiment.sample_every > experiment.length) {
    file.Fail("sample_every_s", "sample_every_s is over length_s");
  }
  file.Require({"sizes"});
  file.ReadCounts("sizes", experiment.sizes);
  file.ReadNumber("sidecars_per_upstream", experiment.sidecars_per_upstream, {0.001, 1000});
  file.ReadCount("services", experiment.services, 1, kMaxUpstreams);
  file.ReadCount("regions", experiment.regions, 1, 100);
  file.ReadCount("zones", experiment.zones, 1, 1000);
  file.ReadChoice("list", experiment.list, kLists);
  if (experiment.regions > experiment.zones) {
    file.Fail(file.Has("regions") ? "regions" : "zones", "there are more regions than zones");
  }
}

void ReadSidecarsOf(TableReader& file, Experiment& experiment) {
  TableReader table = file.Table("sidecars");
  ReadSidecars(table, experiment.sidecars);
  if (experiment.sidecars.real > 0 && experiment.clock == ClockKind::kVirtual) {
    table.Fail("real", "real sidecars need clock = \"real\"");
  }
}

Experiment ReadExperiment(TableReader file, const std::string& name) {
  Experiment experiment;
  experiment.file = name;
  ReadTop(file, experiment);
  ReadClasses(file, experiment.classes);
  ReadKinds(file, experiment.upstreams.kinds);
  ReadUpstreams(file.Table("upstreams"), experiment.upstreams);
  ReadNetwork(file.Table("network"), experiment.network);
  ReadDiscovery(file.Table("discovery"), experiment.discovery);
  ReadClients(file.Table("clients"), experiment.clients);
  ReadLoad(file.Table("load"), experiment.load);
  ReadSidecarsOf(file, experiment);
  ReadFaults(file, experiment);
  for (TableReader& table : file.Tables("must_hold")) experiment.must_hold.push_back(ReadExpectation(table));
  ReadGrowth(file, experiment);
  file.Finish();
  if (const auto error = SizesError(experiment, experiment.sizes)) file.Fail("sizes", *error);
  CheckGrowth(file, experiment);
  return experiment;
}

std::string OneLine(std::string text) {
  for (char& c : text) {
    if (static_cast<unsigned char>(c) < ' ') c = ' ';
  }
  return text;
}

}  // namespace

ExperimentError::ExperimentError(const std::string& file, std::size_t line, const std::string& what)
    : std::runtime_error(OneLine(file + ":" + std::to_string(std::max<std::size_t>(1, line)) + ": " + what)),
      line_(std::max<std::size_t>(1, line)) {}

std::vector<ZoneSpec> ZonesOf(const Experiment& experiment) {
  std::vector<ZoneSpec> zones;
  for (std::size_t i = 0; i < experiment.zones; ++i) {
    const std::size_t region = i % experiment.regions;
    const std::size_t within = i / experiment.regions;
    zones.push_back({"r" + std::to_string(region + 1) + "-z" + std::to_string(within + 1), region});
  }
  return zones;
}

std::size_t SidecarsFor(const Experiment& experiment, std::size_t upstreams) {
  const double sidecars = static_cast<double>(upstreams) * experiment.sidecars_per_upstream;
  return static_cast<std::size_t>(std::max(1.0, std::round(sidecars)));
}

std::optional<std::string> SizesError(const Experiment& experiment, const std::vector<std::size_t>& sizes) {
  if (sizes.empty()) return "sizes is empty";
  for (std::size_t i = 1; i < sizes.size(); ++i) {
    if (sizes[i] <= sizes[i - 1]) return "sizes has to grow from each to the next";
  }
  const std::size_t least = sizes.front();
  if (least < 1 || sizes.back() > kMaxUpstreams) {
    return "sizes may hold 1 to " + std::to_string(kMaxUpstreams) + " upstreams";
  }
  if (least < experiment.services) {
    return "size " + std::to_string(least) + " leaves some of the " + std::to_string(experiment.services) +
           " services without upstreams";
  }
  if (SidecarsFor(experiment, sizes.back()) > kMaxSidecars) {
    return "size " + std::to_string(sizes.back()) + " has over " + std::to_string(kMaxSidecars) + " sidecars";
  }
  if (SidecarsFor(experiment, least) < experiment.sidecars.real) {
    return "size " + std::to_string(least) + " has fewer sidecars than are to be real";
  }
  return std::nullopt;
}

Experiment ParseExperiment(const std::string& text, const std::string& file) {
  toml::table table;
  try {
    table = toml::parse(text);
  } catch (const toml::parse_error& error) {
    throw ExperimentError(file, error.source().begin.line, std::string(error.description()));
  }
  return ReadExperiment(TableReader(table, file, ""), file);
}

Experiment LoadExperiment(const std::string& path) {
  std::string text;
  try {
    std::ifstream in;
    in.exceptions(std::ios::badbit | std::ios::failbit);
    in.open(path, std::ios::binary);
    text.assign(std::istreambuf_iterator<char>(in), {});
  } catch (const std::ios_base::failure&) {
    throw ExperimentError(path, 1, "the file can't be read");
  }
  return ParseExperiment(text, path);
}

}  // namespace lb::lab
