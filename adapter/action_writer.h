// Writes the module's actions as the simulator's commands.
#pragma once

#include <cstdint>
#include <string>

#include "balancer/actions.h"
#include "nlohmann/json.hpp"

namespace lb::adapter {

// One command of the instance with this number.
nlohmann::json WriteAction(std::int64_t instance, const Action& action);

// The report that an instance threw an exception.
nlohmann::json WriteFault(std::int64_t instance, const std::string& what);

}  // namespace lb::adapter
