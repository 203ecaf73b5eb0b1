// Plays one size of an experiment and hands back what it measured.
#pragma once

#include <functional>

#include "lab/measure/metrics.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

using OnSample = std::function<void(const Sample&)>;

// Hollow sidecars on the virtual clock: the module itself, modelled notices, no sockets. The same experiment
// and size give the same samples, but for those of processor time and memory.
Metrics RunVirtual(const Experiment& experiment, const Deployment& deployment, const OnSample& on_sample);

// The machine's clock and loopback: a discovery stand-in, hollow sidecars with the real discovery client, and
// the real sidecars that the experiment asks for, started from `program`. Throws std::runtime_error where the
// machine can't carry it (over half of the memory, over 300 processes) or a real sidecar does not start.
Metrics RunReal(const Experiment& experiment, const Deployment& deployment, const std::string& program,
                const OnSample& on_sample);

}  // namespace lb::lab
