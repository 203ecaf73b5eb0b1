// Reads the module's settings from the JSON object that the platform hands each sidecar and the simulator
// each instance ("Params"; keys as on the pages PROTOCOL and WIRE).
#pragma once

#include "balancer/balancer.h"
#include "nlohmann/json.hpp"

namespace lb {

// Settings that `params` leaves out keep their defaults. Throws FieldError, which names the field. Does not
// check whether the values make sense together: Settings::Validate() does.
Settings ParseSettings(const nlohmann::json& params);

}  // namespace lb
