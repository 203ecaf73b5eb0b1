// Reads the faults of an experiment file and checks the keys of each kind of fault and what it requires of
// the deployment.
#pragma once

#include "lab/spec/experiment.h"
#include "lab/spec/toml_reader.h"

namespace lb::lab {

// Reads every [[fault]] of `file` into experiment.faults, in order of time. The rest of `experiment` must
// have been read before. Throws ExperimentError with the line if a fault is malformed or can't be injected
// into the deployment.
void ReadFaults(TableReader& file, Experiment& experiment);

}  // namespace lb::lab
