// Reads the faults of an experiment file: which keys each kind of fault takes, and what a deployment must
// have for it.
#pragma once

#include "lab/spec/experiment.h"
#include "lab/spec/toml_reader.h"

namespace lb::lab {

// Reads every [[fault]] of `file` into experiment.faults, in order of time; the rest of `experiment` has to
// be read already. Throws ExperimentError, with the line, for a fault that is malformed or that the
// deployment cannot have.
void ReadFaults(TableReader& file, Experiment& experiment);

}  // namespace lb::lab
