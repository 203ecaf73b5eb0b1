// Tests of reading experiment files, of the deployments drawn from them, and of the runner's exit codes with
// fake engines.
#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <map>
#include <ostream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/run.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"
#include "lab/spec/schedule.h"

namespace lb::lab {
namespace {

// A valid file that ends inside [[class]]: text appended by a test belongs to that class, up to the next
// table.
const std::string kHead =
    "name = \"t\"\n"
    "length_s = 20\n"
    "sizes = [12, 24]\n"
    "zones = 4\n"
    "regions = 2\n"
    "[[class]]\n"
    "name = \"a\"\n"
    "mean_work_ms = 10\naim_ms = 100\ndeadline_ms = 500\n";
constexpr std::size_t kAdded = 11;  // the first line after kHead

Experiment Parse(const std::string& added) { return ParseExperiment(kHead + added, "t.toml"); }

std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

std::string Fault(const std::string& lines) { return "[[fault]]\n" + lines; }

struct BadFile {
  std::string text;
  std::size_t line;
  std::string what;  // a part of the error message
};

// Names the parameter in the list of tests: the expected error, reduced to characters that test names may
// contain.
void PrintTo(const BadFile& bad, std::ostream* out) {
  *out << "line " << bad.line << ' ';
  std::copy_if(bad.what.begin(), bad.what.end(), std::ostream_iterator<char>(*out),
               [](unsigned char c) { return std::isalnum(c) || c == '_'; });
}

class BadFiles : public testing::TestWithParam<BadFile> {};

TEST_P(BadFiles, AreRejectedWithTheLineInOneLine) {
  const BadFile& bad = GetParam();
  try {
    ParseExperiment(bad.text, "t.toml");
    FAIL() << "accepted:\n" << bad.text;
  } catch (const ExperimentError& error) {
    const std::string text = error.what();
    EXPECT_EQ(error.line(), bad.line) << text;
    EXPECT_EQ(text.rfind("t.toml:" + std::to_string(bad.line) + ": ", 0), 0u) << text;
    EXPECT_NE(text.find(bad.what), std::string::npos) << text;
    EXPECT_EQ(text.find('\n'), std::string::npos);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Form, BadFiles,
    testing::Values(BadFile{kHead + "[load\n", kAdded, ""}, BadFile{kHead + "aim_ms = 3\n", kAdded, "aim_ms"},
                    BadFile{"name = \"t\"\nsizez = [1]\nsizes = [1]\n" + kHead.substr(kHead.find("[[")), 2,
                            "sizez"},
                    BadFile{kHead + "[load]\n\nrate = 3\n", kAdded + 2, "rate in [load]"},
                    BadFile{kHead + "[network]\njitter = \"x\"\n", kAdded + 1, "jitter has to be a number"},
                    BadFile{kHead + "[sidecars]\nprobes = 1\n", kAdded + 1, "true or false"},
                    BadFile{kHead + "[sidecars]\nmax_attempts = 1.5\n", kAdded + 1, "whole number"},
                    BadFile{kHead + "[[load]]\n", kAdded, "[load]"},
                    BadFile{kHead + "[kind]\nname = \"k\"\n", kAdded, "[[kind]]"},
                    BadFile{kHead + "[discovery]\nnotice_delay_s = [2, 1]\n", kAdded + 1, "wrong order"},
                    BadFile{Replaced(kHead, "aim_ms = 100\n", ""), 6, "aim_ms is missing in [[class]]"},
                    BadFile{"name = \"t\"\nsizes = [3]\n", 1, "[[class]]"}));

INSTANTIATE_TEST_SUITE_P(
    Ranges, BadFiles,
    testing::Values(
        BadFile{kHead + "[network]\njitter = 1.5\n", kAdded + 1, "outside 0 to 1"},
        BadFile{kHead + "[load]\ninequality = nan\n", kAdded + 1, "nan is outside"},
        BadFile{kHead + "[load]\nper_upstream = inf\n", kAdded + 1, "inf is outside"},
        BadFile{kHead + "[load]\nper_upstream = 2\nutilization = 0.5\n", kAdded + 2, "both"},
        BadFile{kHead + "[sidecars]\nreal = 2\n", kAdded + 1, "clock"},
        BadFile{Replaced(kHead, "aim_ms = 100", "aim_ms = 501"), 9, "deadline_ms"},
        BadFile{kHead + "[[class]]\nname = \"a\"\nmean_work_ms = 1\naim_ms = 1\ndeadline_ms = 1\n",
                kAdded + 1, "taken"},
        BadFile{kHead + "[[kind]]\nname = \"k\"\nshare = 0\n[[kind]]\nname = \"l\"\nshare = 0\n", kAdded + 2,
                "sum to 0"},
        BadFile{kHead + "[upstreams]\ncrowded_at = 2\nrested_below = 3\n", kAdded + 2, "crowded_at"},
        BadFile{Replaced(kHead, "[12, 24]", "[]"), 3, "empty"},
        BadFile{Replaced(kHead, "24", "12"), 3, "grow"}, BadFile{Replaced(kHead, "24", "5001"), 3, "5000"},
        BadFile{Replaced(kHead, "12", "0"), 3, "1 to 5000"},
        BadFile{Replaced(kHead, "zones = 4", "services = 13"), 5, "regions"},
        BadFile{Replaced(kHead, "regions = 2", "services = 13"), 3, "services"},
        BadFile{"clock = \"real\"\n" + kHead + "[sidecars]\nreal = 13\n", 4, "real"}));

INSTANTIATE_TEST_SUITE_P(
    Faults, BadFiles,
    testing::Values(
        BadFile{kHead + Fault("kind = \"flood\"\nat_s = 1\n"), kAdded + 1, "flood"},
        BadFile{kHead + Fault("kind = \"burst\"\nat_s = 1\nlasts_s = 1\n"), kAdded, "factor is missing"},
        BadFile{kHead + Fault("kind = \"burst\"\nat_s = 1\nlasts_s = 1\nfactor = 2\nshare = 1\n"), kAdded + 5,
                "has no share"},
        BadFile{kHead + Fault("kind = \"notices_silent\"\nat_s = 20\n"), kAdded + 2, "after the run's end"},
        BadFile{kHead + Fault("kind = \"discovery_down\"\nat_s = 15\nlasts_s = 6\n"), kAdded + 3, "beyond"},
        BadFile{kHead + Fault("kind = \"zone_lost\"\nat_s = 1\nlasts_s = 1\nzone = \"r1-z3\"\n"), kAdded + 4,
                "r1-z3"},
        BadFile{Replaced(kHead, "regions = 2", "regions = 1") +
                    Fault("kind = \"region_cut\"\nat_s = 1\nlasts_s = 1\n"),
                kAdded + 1, "two regions"},
        BadFile{kHead + "[[must_hold]]\nmetric = \"luck\"\nat_least = 1\n", kAdded + 1, "luck"},
        BadFile{kHead + "[[must_hold]]\nmetric = \"failed_share\"\n", kAdded + 1, "at_least or at_most"}));

TEST(ExperimentFile, KeysReachTheirFieldsInTheirUnits) {
  const Experiment e = Parse(
      "effect = \"keyed\"\nkey_window_s = 1.5\n"
      "[upstreams]\nhandshake_us = 250\nidle_close_s = 7\n[network]\ncross_zone_us = 900\n"
      "[discovery]\nnotice_delay_s = 0.5\n[clients]\nbackoff_ms = 40\n"
      "[[fault]]\nkind = \"burst\"\nat_s = 9\nlasts_s = 2\nfactor = 3\n"
      "[[fault]]\nkind = \"notices_silent\"\nat_s = 4\n"
      "[[must_hold]]\nmetric = \"failed_share\"\nat_most = 0.25\n");
  EXPECT_EQ(e.classes[0].latency_objective, std::chrono::milliseconds(100));
  EXPECT_EQ(e.classes[0].idempotency, lb::Idempotency::kIdempotencyKey);
  EXPECT_EQ(e.classes[0].key_window, std::chrono::milliseconds(1500));
  EXPECT_EQ(e.upstreams.handshake_work, std::chrono::microseconds(250));
  EXPECT_EQ(e.upstreams.idle_close, std::chrono::seconds(7));
  EXPECT_EQ(e.network.cross_zone, std::chrono::microseconds(900));
  EXPECT_EQ(e.discovery.notice_delay_s.low, 0.5);
  EXPECT_EQ(e.discovery.notice_delay_s.high, 0.5);
  EXPECT_EQ(e.clients.backoff, std::chrono::milliseconds(40));
  ASSERT_EQ(e.faults.size(), 2u);
  EXPECT_EQ(e.faults[0].kind, FaultKind::kNoticesSilent) << "faults are in order of time";
  EXPECT_EQ(e.faults[1].lasts, std::chrono::seconds(2));
  ASSERT_EQ(e.must_hold.size(), 1u);
  EXPECT_EQ(e.must_hold[0].comparison, Comparison::kAtMost);
  EXPECT_EQ(e.must_hold[0].bound, 0.25);
}

TEST(ExperimentFile, AMissingFileIsNamed) {
  EXPECT_THROW(LoadExperiment("/nonexistent/x.toml"), ExperimentError);
  EXPECT_THROW(LoadExperiment("/"), ExperimentError);
}

const std::string kTwoKinds =
    "[[kind]]\nname = \"k\"\nshare = 2\n[[kind]]\nname = \"l\"\nshare = 1\ncores = 8\nspeed = 2\n";
const std::string kCrash = "[[fault]]\nkind = \"crash\"\nat_s = 5\nlasts_s = 1\nshare = 0.25\n";

std::string ScheduleText(const Experiment& experiment, std::size_t size) {
  std::ostringstream text;
  PrintSchedule(text, experiment, MakeDeployment(experiment, size));
  return text.str();
}

TEST(Deployment, IsDeterminedByFileAndSeed) {
  Experiment e = Parse(kTwoKinds + kCrash);
  const std::string first = ScheduleText(e, 24);
  EXPECT_EQ(ScheduleText(Parse(kTwoKinds + kCrash), 24), first);
  e.seed = 2;
  EXPECT_NE(ScheduleText(e, 24), first);
}

TEST(Deployment, AnAddedFaultDoesNotChangeTheTargetsOfOthers) {
  const Experiment alone = Parse(kCrash);
  const Experiment both = Parse(kCrash + Fault("kind = \"hang\"\nat_s = 1\nlasts_s = 1\nshare = 0.5\n") +
                                Fault("kind = \"crash\"\nat_s = 2\nlasts_s = 1\nshare = 0.25\n"));
  const Deployment of_both = MakeDeployment(both, 24);
  ASSERT_EQ(of_both.faults.size(), 3u);
  EXPECT_EQ(MakeDeployment(alone, 24).faults[0].upstreams, of_both.faults[2].upstreams);
  EXPECT_NE(of_both.faults[1].upstreams, of_both.faults[2].upstreams)
      << "faults of the same kind differ by their time";
}

TEST(Deployment, FaultsHaveTheConfiguredNumberOfTargets) {
  const Experiment e = Parse(kCrash + Fault("kind = \"change\"\nat_s = 6\nlasts_s = 1\ncount = 30\n") +
                             Fault("kind = \"zone_lost\"\nat_s = 7\nlasts_s = 1\nzone = \"r2-z1\"\n") +
                             Fault("kind = \"zone_lost\"\nat_s = 9\nlasts_s = 1\n") +
                             Fault("kind = \"sidecars_killed\"\nat_s = 11\nshare = 0.001\n"));
  const Deployment d = MakeDeployment(e, 24);
  ASSERT_EQ(d.faults.size(), 5u);
  EXPECT_EQ(d.faults[0].at, e.warm_up + std::chrono::seconds(5));
  EXPECT_EQ(d.faults[0].until, e.warm_up + std::chrono::seconds(6));
  EXPECT_EQ(std::set<std::size_t>(d.faults[0].upstreams.begin(), d.faults[0].upstreams.end()).size(), 6u);
  EXPECT_EQ(d.faults[1].upstreams.size(), 30u);
  EXPECT_EQ(std::set<std::size_t>(d.faults[1].upstreams.begin(), d.faults[1].upstreams.end()).size(), 24u);
  EXPECT_EQ(d.faults[2].upstreams.size(), 6u);
  for (const std::size_t i : d.faults[2].upstreams) EXPECT_EQ(d.upstreams[i].zone, "r2-z1");
  EXPECT_EQ(std::count(d.zones.begin(), d.zones.end(), d.faults[3].zone), 1);
  EXPECT_EQ(d.faults[4].sidecars.size(), 1u);
}

TEST(Deployment, TotalsAreExact) {
  Experiment e = Parse(kTwoKinds + "[load]\nper_upstream = 3\ninequality = 1\n");
  e.services = 3;
  e.sidecars_per_upstream = 1.5;
  const Deployment d = MakeDeployment(e, 25);
  std::map<std::string, int> kinds;
  std::map<std::size_t, int> services;
  std::map<std::string, int> zones;
  std::set<std::string> ids;
  double weights = 0;
  for (const UpstreamInstance& u : d.upstreams) {
    ++kinds[u.kind->name];
    ++services[u.service];
    ++zones[u.zone];
    ids.insert(u.id);
    weights += u.weight;
  }
  EXPECT_EQ(kinds["k"], 17) << "16.7 and 8.3: the remaining one goes to the larger remainder";
  EXPECT_EQ(services[0], 9);
  EXPECT_EQ(services[2], 8);
  EXPECT_EQ(zones.size(), 4u);
  for (const auto& [zone, count] : zones) EXPECT_NEAR(count, 25 / 4.0, 1) << zone;
  EXPECT_EQ(ids.size(), 25u);
  EXPECT_NEAR(weights, 25, 1e-9);
  EXPECT_EQ(d.sidecars.size(), 38u);
  double rate = 0;
  for (const SidecarInstance& s : d.sidecars) rate += s.requests_per_s;
  EXPECT_NEAR(rate, 75, 1e-9);
}

TEST(Deployment, UtilizationIsOfTheDrawnCapacity) {
  const Experiment e = Parse(kTwoKinds + "[load]\nutilization = 0.5\n");
  const Deployment d = MakeDeployment(e, 24);
  double capacity = 0;
  for (const UpstreamInstance& u : d.upstreams) capacity += u.kind->cores * u.speed;
  EXPECT_NEAR(d.requests_per_s, 0.5 * capacity / 0.010, 1e-6);
}

TEST(Deployment, RealSidecarsAreSpreadOverTheFleet) {
  Experiment e = Parse("");
  e.sidecars.real = 3;
  std::vector<std::size_t> real;
  for (const SidecarInstance& s : MakeDeployment(e, 12).sidecars) {
    if (s.real) real.push_back(s.index);
  }
  EXPECT_EQ(real, (std::vector<std::size_t>{0, 4, 8}));
}

TEST(Deployment, SettingsOfASidecarAreValidAndItsOwn) {
  const Experiment e =
      Parse("[sidecars]\nprobes = true\nmax_attempts = 2\n[upstreams]\ncold_from = 0.25\ncold_s = 4\n");
  const Deployment d = MakeDeployment(e, 12);
  const lb::Settings s = SidecarSettings(e, d, d.sidecars[7]);
  EXPECT_NO_THROW(s.Validate());
  EXPECT_EQ(s.sidecar_index, 7u);
  EXPECT_EQ(s.sidecar_count, 12u);
  EXPECT_EQ(s.zone, d.sidecars[7].zone);
  EXPECT_TRUE(s.load_probes_report_load);
  EXPECT_EQ(s.limits.max_attempts, 2u);
  EXPECT_EQ(s.fleet_limits.slow_start_initial_share, 0.25);
  EXPECT_EQ(s.fleet_limits.slow_start_duration, std::chrono::seconds(4));
}

TEST(Seeds, DifferByPurposeIndexAndSeed) {
  const std::uint64_t seed = DeriveSeed(1, "a", 0);
  EXPECT_EQ(seed, 8240337072497608023u) << "must be the same on every machine";
  EXPECT_EQ(DeriveSeed(1, "a"), seed);
  EXPECT_NE(DeriveSeed(1, "a", 1), seed);
  EXPECT_NE(DeriveSeed(1, "b", 0), seed);
  EXPECT_NE(DeriveSeed(2, "a", 0), seed);
}

// Engines for the runner: the virtual one returns one sample and these metrics, the real one fails.
Engines FakeEngines(double failed_share) {
  Engines engines;
  engines.on_virtual_clock = [=](const Experiment&, const Deployment&, const OnSample& on_sample) {
    on_sample(Sample{});
    Metrics metrics;
    metrics.failed_share = failed_share;
    return metrics;
  };
  engines.on_real_clock = [](const Experiment&, const Deployment&, const std::string& program,
                             const OnSample&) -> Metrics { throw std::runtime_error("no " + program); };
  return engines;
}

struct RunResult {
  ExitCode code;
  std::string progress, report, records;
};

RunResult RunWith(const Experiment& experiment, const Engines& engines, const RunOptions& options = {}) {
  std::ostringstream progress, report, records;
  const ExitCode code = RunExperiment(experiment, options, {progress, report, &records}, engines);
  return {code, progress.str(), report.str(), records.str()};
}

const std::string kFewFail = "[[must_hold]]\nmetric = \"failed_share\"\nat_most = 0.1\n";

TEST(Run, ExitCodeTellsWhetherAllExpectationsHold) {
  EXPECT_EQ(RunWith(Parse(kFewFail), FakeEngines(0.05)).code, ExitCode::kSuccess);
  EXPECT_EQ(RunWith(Parse(kFewFail), FakeEngines(0.2)).code, ExitCode::kExpectationFailed);
  EXPECT_EQ(RunWith(Parse(""), FakeEngines(1)).code, ExitCode::kSuccess) << "no expectations";
}

TEST(Run, EverySizeIsRunAndRecorded) {
  const RunResult result = RunWith(Parse(kFewFail), FakeEngines(0));
  EXPECT_EQ(std::count(result.records.begin(), result.records.end(), '\n'), 4) << result.records;
  EXPECT_NE(result.progress.find("size 12"), std::string::npos);
  EXPECT_NE(result.progress.find("size 24"), std::string::npos);
  EXPECT_FALSE(result.report.empty());
}

TEST(Run, EndsWithTheReasonOfAFailedEngine) {
  Experiment e = Parse("");
  e.clock = ClockKind::kReal;
  RunOptions options;
  options.program = "/the/program";
  const RunResult result = RunWith(e, FakeEngines(0), options);
  EXPECT_EQ(result.code, ExitCode::kRunFailed);
  EXPECT_NE(result.progress.find("no /the/program"), std::string::npos);
  EXPECT_EQ(result.progress.find("size 24"), std::string::npos);
}

TEST(Run, EndsAfterTheSampleOnAStopAndReportsCompletedSizes) {
  RunOptions options;
  int asked = 0;
  options.stop_requested = [&asked] { return ++asked == 2; };
  const RunResult result = RunWith(Parse(kFewFail), FakeEngines(0), options);
  EXPECT_EQ(result.code, ExitCode::kRunFailed);
  EXPECT_FALSE(result.report.empty()) << "the first size was completed";
  EXPECT_EQ(std::count(result.records.begin(), result.records.end(), '\n'), 3);
}

TEST(Run, EndsIfRecordsCannotBeWritten) {
  std::ostringstream progress, report, records;
  records.setstate(std::ios::badbit);
  EXPECT_EQ(RunExperiment(Parse(""), {}, {progress, report, &records}, FakeEngines(0)), ExitCode::kRunFailed);
}

TEST(ExperimentFile, RejectsFaultsThatTheDeploymentCannotHave) {
  const std::string head =
      "name = \"f\"\nlength_s = 5\nsizes = [2]\n[[class]]\nname = \"a\"\n"
      "mean_work_ms = 1\naim_ms = 10\ndeadline_ms = 10\n[[fault]]\nat_s = 1\nkind = ";
  for (const char* fault :
       {"\"clients_stalled\"", "\"new_configurations\"", "\"clock_stepped\"\nshare = 1\nstep_s = 1",
        "\"discovery_slow\"\nlasts_s = 1", "\"discovery_late\"\nlasts_s = 1\ndelay_s = 1",
        "\"discovery_busy\"\nlasts_s = 1\ndelay_s = 1"}) {
    EXPECT_THROW(ParseExperiment(head + fault, "f.toml"), ExperimentError) << fault;
  }
  const Experiment experiment = ParseExperiment(head + "\"sidecars_stopped\"\nshare = 1", "f.toml");
  EXPECT_EQ(MakeDeployment(experiment, 2).faults[0].sidecars.size(), 2u);
}

}  // namespace
}  // namespace lb::lab
