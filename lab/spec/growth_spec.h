// [growth] and [[growth_limit]] of an experiment file.
#pragma once

#include "lab/spec/experiment.h"
#include "lab/spec/toml_reader.h"

namespace lb::lab {

// Reads both into `experiment.growth`; it stays absent where the file has neither. Throws ExperimentError for
// what they can't hold by themselves.
void ReadGrowth(TableReader& file, Experiment& experiment);

// Whether it fits the rest of the experiment, which has been read and has sound sizes. Throws
// ExperimentError.
void CheckGrowth(TableReader& file, const Experiment& experiment);

}  // namespace lb::lab
