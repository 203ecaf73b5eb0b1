// Converts the balancer's actions to the simulator's JSON commands.
#pragma once

#include <cstdint>
#include <string>

#include "balancer/actions.h"
#include "nlohmann/json.hpp"

namespace lb::adapter {

// Returns the command for an action of the balancer instance with this number.
nlohmann::json WriteAction(std::int64_t instance, const Action& action);

// Returns the command that reports an exception thrown by an instance; `what` is the exception's text.
nlohmann::json WriteFault(std::int64_t instance, const std::string& what);

}  // namespace lb::adapter
