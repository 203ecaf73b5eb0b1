// Reads the balancer's settings from a JSON object: "settings" in the configuration file of a sidecar, or
// "Params" of an instance in the simulator. The keys are described on the pages PROTOCOL and WIRE.
#pragma once

#include "balancer/balancer.h"
#include "nlohmann/json.hpp"

namespace lb {

// Settings that are absent from `params` keep their defaults. Throws FieldError. The values are not checked
// for consistency; Settings::Validate() does that.
Settings ParseSettings(const nlohmann::json& params);

}  // namespace lb
