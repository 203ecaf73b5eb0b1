// What a run on the real clock may take of the machine, checked before it starts.
#pragma once

#include <cstddef>

#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

std::size_t CountRealSidecars(const Deployment& deployment);
// None if the experiment leaves them out.
std::size_t CountHollowSidecars(const Experiment& experiment, const Deployment& deployment);

// The most memory that the program itself may have, in MB: half of the machine's.
double MemoryLimitMb();

// Throws std::runtime_error if the run would take, by estimate, more than half of the machine's memory, or if
// it would be more than 300 processes.
void CheckFitsMachine(const Experiment& experiment, const Deployment& deployment);

// Raises the limit on descriptors to what the run needs. Throws std::runtime_error if the hard limit is
// lower.
void EnsureDescriptorsForRun(const Experiment& experiment, const Deployment& deployment);

}  // namespace lb::lab
