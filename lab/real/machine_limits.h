// Checks before a run on the real clock that the machine has the memory, processes and descriptors for it.
#pragma once

#include <cstddef>

#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

std::size_t CountRealSidecars(const Deployment& deployment);
// 0 if the experiment excludes hollow sidecars.
std::size_t CountHollowSidecars(const Experiment& experiment, const Deployment& deployment);

// Limit on the memory of this process, in MB: half of the machine's physical memory.
double MemoryLimitMb();

// Throws std::runtime_error if the estimated memory of the run, including real sidecars, exceeds half of the
// machine's, or if the run would need more than 300 processes.
void CheckFitsMachine(const Experiment& experiment, const Deployment& deployment);

// Raises the limit on descriptors to the number that the run needs. Throws as EnsureDescriptorLimit().
void EnsureDescriptorsForRun(const Experiment& experiment, const Deployment& deployment);

}  // namespace lb::lab
