// Where an upstream listens, as discovery last said.
#pragma once

#include <cstdint>

#include "balancer/balancer.h"
#include "settings/config.h"

namespace lb::sidecar {

struct Location {
  // Only a serving upstream gets new exchanges.
  lb::UpstreamState state = lb::UpstreamState::kServing;
  Endpoint endpoint;
  // Start time of the upstream's process, Unix time in milliseconds. A change means that another process
  // listens now, to which old connections do not lead.
  std::int64_t boot_ms = 0;
};

}  // namespace lb::sidecar
