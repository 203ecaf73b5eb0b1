// Plays an experiment over its sizes: progress, records, the closing table, verdicts and the exit code.
#pragma once

#include <functional>
#include <iosfwd>
#include <string>

#include "lab/engine.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

enum class ExitCode {
  kHeld = 0,      // all that must hold did
  kNotHeld = 1,   // something did not
  kBadInput = 2,  // the file or the command line can't be used
  kRunFailed =
      3,  // the run did not come to its end: an engine failed, it was interrupted, records not written
};

// What plays one size (engine.h). Exceptions of the OnSample callback have to come through.
struct Engines {
  std::function<Metrics(const Experiment&, const Deployment&, const OnSample&)> on_virtual_clock = RunVirtual;
  std::function<Metrics(const Experiment&, const Deployment&, const std::string& program, const OnSample&)>
      on_real_clock = RunReal;
};

struct RunOptions {
  std::string program;  // of the real sidecar; used with the real clock alone
  // Asked after each sample; the run ends early once it says true. It may be called from an engine's thread.
  std::function<bool()> stop_wanted = [] { return false; };
};

struct RunOutputs {
  std::ostream& progress;           // a line for each sample and each size
  std::ostream& report;             // the table, verdicts and slopes
  std::ostream* records = nullptr;  // JSON lines, where they are wanted
};

// Plays the experiment's sizes in their order, or a growth experiment (growth.h). A failure ends the run; the
// sizes done so far are reported, but no part of a growth experiment.
ExitCode PlayExperiment(const Experiment& experiment, const RunOptions& options, const RunOutputs& outputs,
                        const Engines& engines = {});

}  // namespace lb::lab
