#include "lab/spec/fault_reader.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace lb::lab {
namespace {

using std::chrono::seconds;

constexpr double kMaxClockStepS = 86'400;  // one day
constexpr Bounds kDiscoveryDelayS{0.0001, 60};

enum class KeyUse { kRefused, kOptional, kRequired };

// Use of each key by a kind of fault, in addition to `kind` and `at_s`.
struct FaultForm {
  FaultKind kind;
  std::string_view name;
  KeyUse lasts = KeyUse::kRefused;
  KeyUse share = KeyUse::kRefused;
  KeyUse factor = KeyUse::kRefused;
  KeyUse count = KeyUse::kRefused;
  KeyUse zone = KeyUse::kRefused;
  KeyUse step = KeyUse::kRefused;
  KeyUse delay = KeyUse::kRefused;
  double min_factor = 1;
};

const std::vector<FaultForm>& FaultForms() {
  constexpr KeyUse kRequired = KeyUse::kRequired;
  constexpr KeyUse kOptional = KeyUse::kOptional;
  static const std::vector<FaultForm> kForms = {
      {.kind = FaultKind::kCrash, .name = "crash", .lasts = kRequired, .share = kRequired},
      {.kind = FaultKind::kHang, .name = "hang", .lasts = kRequired, .share = kRequired},
      {.kind = FaultKind::kSlow, .name = "slow", .lasts = kRequired, .share = kRequired, .factor = kRequired},
      {.kind = FaultKind::kRestart, .name = "restart", .lasts = kRequired, .share = kRequired},
      {.kind = FaultKind::kChange, .name = "change", .lasts = kOptional, .count = kOptional},
      {.kind = FaultKind::kZoneLost, .name = "zone_lost", .lasts = kRequired, .zone = kOptional},
      {.kind = FaultKind::kRegionCut, .name = "region_cut", .lasts = kRequired},
      {.kind = FaultKind::kDiscoveryDown, .name = "discovery_down", .lasts = kRequired},
      {.kind = FaultKind::kNoticesLate, .name = "notices_late", .lasts = kRequired, .factor = kRequired},
      {.kind = FaultKind::kNoticesSilent, .name = "notices_silent"},
      {.kind = FaultKind::kNoticesLost, .name = "notices_lost", .lasts = kRequired, .share = kRequired},
      {.kind = FaultKind::kSidecarsKilled, .name = "sidecars_killed", .share = kRequired},
      {.kind = FaultKind::kSidecarsStopped,
       .name = "sidecars_stopped",
       .lasts = kOptional,
       .share = kRequired},
      {.kind = FaultKind::kClientsStalled, .name = "clients_stalled", .lasts = kOptional, .count = kOptional},
      {.kind = FaultKind::kNewConfigurations,
       .name = "new_configurations",
       .lasts = kOptional,
       .count = kOptional},
      {.kind = FaultKind::kDiscoverySlow, .name = "discovery_slow", .lasts = kRequired},
      {.kind = FaultKind::kDiscoveryLate, .name = "discovery_late", .lasts = kRequired, .delay = kRequired},
      {.kind = FaultKind::kDiscoveryBusy, .name = "discovery_busy", .lasts = kRequired, .delay = kRequired},
      {.kind = FaultKind::kClockStepped, .name = "clock_stepped", .share = kRequired, .step = kRequired},
      {.kind = FaultKind::kBurst,
       .name = "burst",
       .lasts = kRequired,
       .factor = kRequired,
       .min_factor = 0.01},
  };
  return kForms;
}

const FaultForm& FormOf(FaultKind kind) {
  const auto& forms = FaultForms();
  return *std::find_if(forms.begin(), forms.end(), [kind](const FaultForm& f) { return f.kind == kind; });
}

std::vector<NamedValue<FaultKind>> FaultNames() {
  std::vector<NamedValue<FaultKind>> names;
  for (const FaultForm& form : FaultForms()) names.push_back({form.name, form.kind});
  return names;
}

void CheckFaultKeys(const TableReader& table, const FaultForm& form) {
  const NamedValue<KeyUse> uses[] = {{"lasts_s", form.lasts}, {"share", form.share}, {"factor", form.factor},
                                     {"count", form.count},   {"zone", form.zone},   {"step_s", form.step},
                                     {"delay_s", form.delay}};
  for (const auto& [key, use] : uses) {
    if (use == KeyUse::kRequired) table.Require({key});
    if (use == KeyUse::kRefused && table.Has(key)) {
      table.Fail(key, "a fault " + std::string(form.name) + " has no " + std::string(key));
    }
  }
}

void CheckZone(const TableReader& table, const Experiment& experiment, const std::string& zone) {
  const std::vector<ZoneSpec> zones = ZonesOf(experiment);
  const auto named = [&](const ZoneSpec& z) { return z.name == zone; };
  if (std::none_of(zones.begin(), zones.end(), named)) {
    table.Fail("zone", "there is no zone \"" + zone + "\"");
  }
}

bool NeedsRealSidecars(FaultKind kind) {
  return kind == FaultKind::kClientsStalled || kind == FaultKind::kNewConfigurations ||
         kind == FaultKind::kClockStepped;
}

bool NeedsRealClock(FaultKind kind) {
  return kind == FaultKind::kDiscoverySlow || kind == FaultKind::kDiscoveryLate ||
         kind == FaultKind::kDiscoveryBusy;
}

FaultSpec ReadFault(TableReader& table, const Experiment& experiment) {
  FaultSpec spec;
  table.Require({"kind", "at_s"});
  table.ReadChoice("kind", spec.kind, FaultNames());
  const FaultForm& form = FormOf(spec.kind);
  CheckFaultKeys(table, form);
  table.ReadTime("at_s", spec.at, seconds(1), {0, 3600});
  table.ReadTime("lasts_s", spec.lasts, seconds(1), {0.001, 3600});
  table.ReadNumber("share", spec.share, {0.0001, 1});
  table.ReadNumber("factor", spec.factor, {form.min_factor, 1000});
  table.ReadCount("count", spec.count, 1, 100'000);
  table.ReadText("zone", spec.zone);
  table.ReadTime("step_s", spec.step, seconds(1), {-kMaxClockStepS, kMaxClockStepS});
  table.ReadTime("delay_s", spec.delay, seconds(1), kDiscoveryDelayS);
  table.Finish();
  if (spec.at >= experiment.length) table.Fail("at_s", "the fault begins after the run's end (length_s)");
  if (spec.at + spec.lasts > experiment.length) {
    table.Fail("lasts_s", "the fault lasts beyond the run's end (length_s)");
  }
  if (table.Has("zone")) CheckZone(table, experiment, spec.zone);
  if (NeedsRealSidecars(spec.kind) && experiment.sidecars.real == 0) {
    table.Fail("kind", "a fault " + std::string(form.name) + " needs real sidecars");
  }
  if (NeedsRealClock(spec.kind) && experiment.clock == ClockKind::kVirtual) {
    table.Fail("kind", "a fault " + std::string(form.name) + " needs clock = \"real\"");
  }
  if (spec.kind == FaultKind::kRegionCut && experiment.regions < 2) {
    table.Fail("kind", "a fault region_cut needs two regions");
  }
  return spec;
}

}  // namespace

std::string_view FaultName(FaultKind kind) { return FormOf(kind).name; }

void ReadFaults(TableReader& file, Experiment& experiment) {
  for (TableReader& table : file.Tables("fault")) experiment.faults.push_back(ReadFault(table, experiment));
  std::stable_sort(experiment.faults.begin(), experiment.faults.end(),
                   [](const FaultSpec& a, const FaultSpec& b) { return a.at < b.at; });
}

}  // namespace lb::lab
