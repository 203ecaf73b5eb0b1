// lb-lab, the program that runs experiments on the emulator: command line, signals and exit code.
#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/measure/growth.h"
#include "lab/model/chain.h"
#include "lab/run.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"
#include "lab/spec/schedule.h"

namespace {

using lb::lab::ExitCode;
using lb::lab::Experiment;
using lb::lab::FleetSize;
using lb::lab::GrowthPart;

// The command line is invalid for this experiment. what() is one line.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Arguments {
  std::string file;
  std::vector<std::size_t> sizes;  // empty: the sizes of the file
  std::size_t size = 0;
  std::optional<std::int64_t> seed;
  std::string out;
  std::string program;  // empty: see DefaultProgram()
  double hop_p50_ms = 0, hop_p99_ms = 0;
  std::int64_t deadline_ms = 2000;
  lb::lab::ChainParameters chain;
};

std::atomic<bool> stop_requested{false};

// Restores the default action, so that a second signal ends a run that does not react to the first.
extern "C" void HandleStopSignal(int signal) {
  stop_requested = true;
  std::signal(signal, SIG_DFL);
}

// Path of the real sidecar of the same build, in this program's folder or the one above.
std::string DefaultProgram() {
  namespace fs = std::filesystem;
  std::error_code error;
  const fs::path folder = fs::read_symlink("/proc/self/exe", error).parent_path();
  const fs::path same_folder = folder / "lb-sidecar";
  return (fs::exists(same_folder, error) ? same_folder : folder.parent_path() / "lb-sidecar").string();
}

Experiment Load(const Arguments& arguments) {
  Experiment experiment = lb::lab::LoadExperiment(arguments.file);
  if (arguments.seed) experiment.seed = static_cast<std::uint64_t>(*arguments.seed);
  return experiment;
}

Experiment LoadWithSizes(const Arguments& arguments, const std::vector<std::size_t>& sizes) {
  Experiment experiment = Load(arguments);
  if (sizes.empty()) return experiment;
  if (experiment.growth) throw UsageError("--sizes: a growth experiment has its own two sizes");
  if (const auto error = SizesError(experiment, sizes)) throw UsageError(*error);
  experiment.sizes = sizes;
  return experiment;
}

// For a growth experiment the size selects the usual or the large fleet, with all sidecars.
Experiment LoadAtSize(const Arguments& arguments) {
  const Experiment experiment = Load(arguments);
  if (!experiment.growth) return LoadWithSizes(arguments, {arguments.size});
  for (const FleetSize fleet : {FleetSize::kUsual, FleetSize::kLarge}) {
    Experiment fleet_experiment = GrowthExperiment(experiment, fleet, GrowthPart::kFleet);
    if (fleet_experiment.sizes.front() == arguments.size) return fleet_experiment;
  }
  throw UsageError("--size: a growth experiment has its own two sizes");
}

void RequireProgram(const Experiment& experiment, const std::string& program) {
  std::error_code error;
  if ((experiment.sidecars.real == 0 && !experiment.growth) ||
      std::filesystem::is_regular_file(program, error))
    return;
  throw UsageError("--program: the real sidecars' executable " + program + " does not exist");
}

ExitCode Run(const Arguments& arguments) {
  const Experiment experiment = LoadWithSizes(arguments, arguments.sizes);
  lb::lab::RunOptions options;
  options.program = arguments.program.empty() ? DefaultProgram() : arguments.program;
  RequireProgram(experiment, options.program);
  std::ofstream records;
  if (!arguments.out.empty()) {
    records.open(arguments.out, std::ios::trunc);
    if (!records) throw UsageError("--out: " + arguments.out + " can't be written");
  }
  std::signal(SIGINT, HandleStopSignal);
  std::signal(SIGTERM, HandleStopSignal);
  options.stop_requested = [] { return stop_requested.load(); };
  return RunExperiment(experiment, options,
                       {std::cerr, std::cout, arguments.out.empty() ? nullptr : &records});
}

ExitCode Check(const Arguments& arguments) {
  const Experiment experiment = LoadWithSizes(arguments, arguments.sizes);
  if (experiment.growth) {
    PrintGrowthPlan(std::cout, experiment);
    return ExitCode::kSuccess;
  }
  for (const std::size_t size : experiment.sizes) {
    PrintSummary(std::cout, experiment, MakeDeployment(experiment, size));
  }
  return ExitCode::kSuccess;
}

ExitCode Schedule(const Arguments& arguments) {
  const Experiment experiment = LoadAtSize(arguments);
  PrintSchedule(std::cout, experiment, MakeDeployment(experiment, arguments.size));
  return ExitCode::kSuccess;
}

ExitCode Chain(const Arguments& arguments) {
  if (arguments.hop_p99_ms < arguments.hop_p50_ms) throw UsageError("--p99-ms is below --p50-ms");
  lb::lab::ChainParameters parameters = arguments.chain;
  parameters.deadline = std::chrono::milliseconds(arguments.deadline_ms);
  PrintChains(
      std::cout,
      lb::lab::LognormalHop(arguments.hop_p50_ms, arguments.hop_p99_ms, parameters.draws, parameters.seed),
      parameters);
  return ExitCode::kSuccess;
}

void AddFile(CLI::App& command, Arguments& arguments) {
  command.add_option("FILE", arguments.file, "the experiment, TOML (docs/lab.md)")->required();
  command.add_option("--seed", arguments.seed, "seed to use instead of the file's")
      ->check(CLI::Range(std::int64_t{0}, std::numeric_limits<std::int64_t>::max()))
      ->type_name("N");
}

void AddSizes(CLI::App& command, Arguments& arguments) {
  command
      .add_option("--sizes", arguments.sizes, "numbers of upstreams to use instead of the file's, ascending")
      ->delimiter(',')
      ->type_name("N,N...");
}

CLI::App* AddRun(CLI::App& app, Arguments& arguments) {
  CLI::App* command = app.add_subcommand("run", "run an experiment at each of its sizes");
  AddFile(*command, arguments);
  AddSizes(*command, arguments);
  command->add_option("--out", arguments.out, "file for the records, one JSON object per line")
      ->type_name("PATH");
  command
      ->add_option("--program", arguments.program,
                   "executable of the real sidecar [lb-sidecar of the same build]")
      ->type_name("PATH");
  command->footer(
      "Progress goes to standard error, the final table to standard output.\n"
      "Exit code: 0 all expectations hold, 1 one of them fails, 2 bad file or usage, 3 the run failed.\n"
      "Example: lb-lab run lab/experiments/jam.toml --sizes 100,200 --out jam.jsonl");
  return command;
}

CLI::App* AddCheck(CLI::App& app, Arguments& arguments) {
  CLI::App* command = app.add_subcommand("check", "check a file and print a summary for each size");
  AddFile(*command, arguments);
  AddSizes(*command, arguments);
  command->footer("Example: lb-lab check lab/experiments/smoke.toml");
  return command;
}

CLI::App* AddSchedule(CLI::App& app, Arguments& arguments) {
  CLI::App* command =
      app.add_subcommand("schedule", "print the drawn deployment and the targets of each fault");
  AddFile(*command, arguments);
  command->add_option("--size", arguments.size, "number of upstreams")->required()->type_name("N");
  command->footer("Example: lb-lab schedule lab/experiments/zones.toml --size 60 --seed 7");
  return command;
}

CLI::App* AddChain(CLI::App& app, Arguments& arguments) {
  CLI::App* command =
      app.add_subcommand("chain", "compute what chains of calls add, from the latency that one hop adds");
  const CLI::Range milliseconds(1e-6, 1e6);
  command->add_option("--p50-ms", arguments.hop_p50_ms, "time added by one hop, median")
      ->required()
      ->check(milliseconds);
  command->add_option("--p99-ms", arguments.hop_p99_ms, "time added by one hop, 99th percentile")
      ->required()
      ->check(milliseconds);
  command->add_option("--limit-ms", arguments.chain.limit_ms, "a hop that adds more counts as slow [1]")
      ->check(milliseconds);
  command->add_option("--attempts", arguments.chain.max_attempts, "maximum attempts per call at each hop [3]")
      ->check(CLI::Range(1, 100));
  command
      ->add_option("--budget", arguments.chain.budget_per_hop,
                   "maximum retries per call at each hop, on average [0.1]")
      ->check(CLI::Range(0.0, 1.0));
  command->add_option("--deadline-ms", arguments.deadline_ms, "deadline of the first call [2000]")
      ->check(CLI::Range(std::int64_t{1}, std::int64_t{3'600'000}));
  command->footer(
      "Assumes that the time added by a hop is lognormal and that hops are independent.\n"
      "Example: lb-lab chain --p50-ms 0.7 --p99-ms 1 --limit-ms 2 --budget 0.3");
  return command;
}

int Code(ExitCode code) { return static_cast<int>(code); }

int ParseAndRun(int argc, char** argv) {
  Arguments arguments;
  CLI::App app("Runs experiments on an emulated fleet of upstreams and sidecars.", "lb-lab");
  app.require_subcommand(1);
  app.footer("Example: lb-lab run lab/experiments/smoke.toml");
  const CLI::App* run = AddRun(app, arguments);
  const CLI::App* check = AddCheck(app, arguments);
  const CLI::App* chain = AddChain(app, arguments);
  AddSchedule(app, arguments);
  try {
    app.parse(argc, argv);
    if (run->parsed()) return Code(Run(arguments));
    if (check->parsed()) return Code(Check(arguments));
    if (chain->parsed()) return Code(Chain(arguments));
    return Code(Schedule(arguments));
  } catch (const CLI::ParseError& error) {
    if (error.get_exit_code() == static_cast<int>(CLI::ExitCodes::Success)) return app.exit(error);
    std::cerr << "lb-lab: " << error.what() << " (see --help)\n";
    return Code(ExitCode::kBadInput);
  } catch (const lb::lab::ExperimentError& error) {
    std::cerr << error.what() << "\n";
    return Code(ExitCode::kBadInput);
  } catch (const UsageError& error) {
    std::cerr << "lb-lab: " << error.what() << "\n";
    return Code(ExitCode::kBadInput);
  } catch (const std::exception& error) {
    std::cerr << "lb-lab: " << error.what() << "\n";
    return Code(ExitCode::kRunFailed);
  }
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return ParseAndRun(argc, argv);
  } catch (...) {
    std::fputs("lb-lab: failed before parsing its arguments\n", stderr);
    return Code(ExitCode::kRunFailed);
  }
}
