// The two engines. Each runs an experiment at one size and returns its metrics.
#pragma once

#include <functional>

#include "lab/measure/metrics.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

using OnSample = std::function<void(const Sample&)>;

// Runs hollow sidecars on the virtual clock: the balancer module with modelled discovery notices and no
// sockets. The same experiment and size give the same samples, except for processor time and memory.
Metrics RunVirtual(const Experiment& experiment, const Deployment& deployment, const OnSample& on_sample);

// Runs on the machine's clock and loopback: a discovery stand-in, hollow sidecars with the real discovery
// client, and the experiment's real sidecars, started from the executable `program`. Throws
// std::runtime_error if the machine's resources don't suffice (over half of the memory, over 300 processes)
// or a real sidecar does not start.
Metrics RunReal(const Experiment& experiment, const Deployment& deployment, const std::string& program,
                const OnSample& on_sample);

}  // namespace lb::lab
