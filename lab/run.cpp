#include "lab/run.h"

#include <cstdio>
#include <exception>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <utility>
#include <vector>

#include "lab/measure/growth.h"
#include "lab/measure/metrics.h"

namespace lb::lab {
namespace {

// Thrown by the OnSample callback, through the engine, to end a run early.
class Interrupted : public std::runtime_error {
 public:
  Interrupted() : std::runtime_error("interrupted") {}
};

// Formats a sample as in `size 100    12.0 s  in time  99.8%  refused 3  failed 0`.
std::string ProgressLine(std::size_t size, const Sample& sample) {
  constexpr double kPercent = 100;
  char line[160];
  std::snprintf(line, sizeof(line), "size %zu %7.1f s  in time %5.1f%%  refused %llu  failed %llu", size,
                sample.at_s, kPercent * sample.in_time_share,
                static_cast<unsigned long long>(sample.traffic.refused),
                static_cast<unsigned long long>(sample.traffic.failed));
  return line;
}

// Runs one experiment at all of its sizes.
class ExperimentRunner {
 public:
  ExperimentRunner(const Experiment& experiment, const RunOptions& options, const RunOutputs& outputs,
                   const Engines& engines)
      : experiment_(experiment), options_(options), outputs_(outputs), engines_(engines) {}

  ExitCode Run() {
    for (const std::size_t size : experiment_.sizes) {
      const std::optional<Metrics> metrics = RunSize(size);
      complete_ = metrics.has_value();
      if (!complete_) break;
      runs_.push_back(*metrics);
    }
    Report();
    if (!complete_) return ExitCode::kRunFailed;
    return all_hold_ ? ExitCode::kSuccess : ExitCode::kExpectationFailed;
  }

  // Metrics of one size; absent if the run did not complete.
  std::optional<Metrics> RunSize(std::size_t size) const {
    try {
      const Deployment deployment = MakeDeployment(experiment_, size);
      PrintStart(deployment);
      const Metrics metrics = RunEngine(deployment);
      Record([&](std::ostream& out) { WriteSummary(out, experiment_, size, metrics); });
      return metrics;
    } catch (const std::exception& error) {
      outputs_.progress << "size " << size << ": " << error.what() << std::endl;
      return std::nullopt;
    }
  }

 private:
  Metrics RunEngine(const Deployment& deployment) const {
    const std::size_t size = deployment.upstreams.size();
    const OnSample on_sample = [this, size](const Sample& sample) { TakeSample(size, sample); };
    if (experiment_.clock == ClockKind::kVirtual) {
      return engines_.on_virtual_clock(experiment_, deployment, on_sample);
    }
    return engines_.on_real_clock(experiment_, deployment, options_.program, on_sample);
  }

  void PrintStart(const Deployment& deployment) const {
    outputs_.progress << experiment_.name << ": size " << deployment.upstreams.size() << ", "
                      << deployment.sidecars.size() << " sidecars, " << deployment.requests_per_s
                      << " requests/s, seed " << experiment_.seed << std::endl;
  }

  void TakeSample(std::size_t size, const Sample& sample) const {
    outputs_.progress << ProgressLine(size, sample) << std::endl;
    Record([&](std::ostream& out) { WriteSample(out, experiment_, size, sample); });
    if (options_.stop_requested()) throw Interrupted();
  }

  // A failed write ends the run, because a long run without its records is of no use.
  template <typename Write>
  void Record(Write write) const {
    if (!outputs_.records) return;
    write(*outputs_.records);
    outputs_.records->flush();
    if (!*outputs_.records) throw std::runtime_error("writing the records failed");
  }

  void Report() {
    if (runs_.empty()) return;
    PrintTable(outputs_.report, runs_);
    for (std::size_t i = 0; i < runs_.size(); ++i) {
      const std::vector<Verdict> verdicts = Judge(experiment_, runs_[i]);
      PrintVerdicts(outputs_.report, experiment_.sizes[i], verdicts);
      for (const Verdict& verdict : verdicts) all_hold_ = all_hold_ && verdict.holds;
    }
    PrintSlopes(outputs_.report, FitSlopes(runs_));
    outputs_.report.flush();
  }

  const Experiment& experiment_;
  const RunOptions& options_;
  const RunOutputs& outputs_;
  const Engines& engines_;
  std::vector<Metrics> runs_;  // of the completed sizes, in their order
  bool complete_ = true;
  bool all_hold_ = true;
};

// Runs a growth experiment: each part that has limits, at the usual and then the large size before the next
// part.
class GrowthRunner {
 public:
  GrowthRunner(const Experiment& experiment, const RunOptions& options, const RunOutputs& outputs,
               const Engines& engines)
      : experiment_(experiment), options_(options), outputs_(outputs), engines_(engines) {}

  ExitCode Run() {
    if (!RunPart(GrowthPart::kFleet, &GrowthMetrics::fleet)) return ExitCode::kRunFailed;
    if (!RunPart(GrowthPart::kReal, &GrowthMetrics::real)) return ExitCode::kRunFailed;
    const std::vector<GrowthRow> rows = CompareGrowth(*experiment_.growth, usual_, large_);
    PrintGrowth(outputs_.report, usual_, large_, rows);
    outputs_.report.flush();
    return AllHold(rows) ? ExitCode::kSuccess : ExitCode::kExpectationFailed;
  }

 private:
  // False if the run of either size did not complete.
  bool RunPart(GrowthPart part, Metrics GrowthMetrics::*target) {
    if (!IsMeasured(*experiment_.growth, part)) return true;
    return RunFleet(FleetSize::kUsual, part, usual_.*target) &&
           RunFleet(FleetSize::kLarge, part, large_.*target);
  }

  bool RunFleet(FleetSize fleet, GrowthPart part, Metrics& target) const {
    const Experiment part_experiment = GrowthExperiment(experiment_, fleet, part);
    const std::optional<Metrics> metrics = ExperimentRunner(part_experiment, options_, outputs_, engines_)
                                               .RunSize(part_experiment.sizes.front());
    if (metrics) target = *metrics;
    return metrics.has_value();
  }

  const Experiment& experiment_;
  const RunOptions& options_;
  const RunOutputs& outputs_;
  const Engines& engines_;
  GrowthMetrics usual_;
  GrowthMetrics large_;
};

}  // namespace

ExitCode RunExperiment(const Experiment& experiment, const RunOptions& options, const RunOutputs& outputs,
                       const Engines& engines) {
  if (experiment.growth) return GrowthRunner(experiment, options, outputs, engines).Run();
  return ExperimentRunner(experiment, options, outputs, engines).Run();
}

}  // namespace lb::lab
