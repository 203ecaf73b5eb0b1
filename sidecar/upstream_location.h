// State, address and process start time of an upstream, as last reported by discovery.
#pragma once

#include <cstdint>

#include "balancer/balancer.h"
#include "settings/config.h"

namespace lb::sidecar {

struct Location {
  // New exchanges start only on an upstream that is kServing.
  lb::UpstreamState state = lb::UpstreamState::kServing;
  Endpoint endpoint;
  // Start time of the upstream's process, Unix time in milliseconds. A change means that a new process
  // listens; existing connections belong to the previous process.
  std::int64_t boot_ms = 0;
};

}  // namespace lb::sidecar
