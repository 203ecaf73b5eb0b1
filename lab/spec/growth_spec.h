// Reads and checks the tables [growth] and [[growth_limit]] of an experiment file.
#pragma once

#include "lab/spec/experiment.h"
#include "lab/spec/toml_reader.h"

namespace lb::lab {

// Reads both tables into `experiment.growth`, which stays absent if the file has neither. Throws
// ExperimentError for errors within the two tables.
void ReadGrowth(TableReader& file, Experiment& experiment);

// Checks `experiment.growth` against the rest of the experiment, which must have been read and have valid
// sizes. Throws ExperimentError if they do not fit together.
void CheckGrowth(TableReader& file, const Experiment& experiment);

}  // namespace lb::lab
