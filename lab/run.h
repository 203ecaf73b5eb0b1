// Runs an experiment at each of its sizes and writes progress, records, the final table, verdicts and the
// exit code.
#pragma once

#include <functional>
#include <iosfwd>
#include <string>

#include "lab/engine.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

enum class ExitCode {
  kSuccess = 0,            // all expectations or growth limits hold
  kExpectationFailed = 1,  // an expectation or growth limit fails
  kBadInput = 2,           // the file or the command line is invalid
  // The run did not complete: an engine failed, the run was interrupted, or records could not be written.
  kRunFailed = 3,
};

// Functions that run one size (engine.h). They have to propagate exceptions thrown by the OnSample callback.
struct Engines {
  std::function<Metrics(const Experiment&, const Deployment&, const OnSample&)> on_virtual_clock = RunVirtual;
  std::function<Metrics(const Experiment&, const Deployment&, const std::string& program, const OnSample&)>
      on_real_clock = RunReal;
};

struct RunOptions {
  std::string program;  // path of the real sidecar's executable; used only with the real clock
  // Called after each sample, possibly from an engine's thread. The run ends early once it returns true.
  std::function<bool()> stop_requested = [] { return false; };
};

struct RunOutputs {
  std::ostream& progress;           // one line for each sample and each size
  std::ostream& report;             // the table, verdicts and slopes
  std::ostream* records = nullptr;  // JSON lines; null if no records are written
};

// Runs the experiment's sizes in their order, or a growth experiment (growth.h). A failure ends the run. The
// sizes completed until then are reported, but nothing of an incomplete growth experiment.
ExitCode RunExperiment(const Experiment& experiment, const RunOptions& options, const RunOutputs& outputs,
                       const Engines& engines = {});

}  // namespace lb::lab
