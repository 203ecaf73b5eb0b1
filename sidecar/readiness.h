// When a sidecar can serve, and what `/ready` says. By values alone.
#pragma once

#include <chrono>
#include <optional>
#include <string_view>

#include "sidecar/clock.h"

namespace lb::sidecar {

// How long the endpoint list as last held is not good enough to be called ready. Discovery responds at once
// unless it is down, and then the list held serves better than none.
constexpr Duration kFirstListTimeout = std::chrono::seconds(2);

enum class NotReadyReason {
  kAwaitingDiscovery,  // no list from discovery yet, and kFirstListTimeout is not over
  kNoUpstream,         // no upstream is known
  kStarting,           // another process of this sidecar still serves alone
  kDraining,           // operators asked for connection draining
  kStopping,           // graceful shutdown has begun
};

// As `/ready` says it; operators' scripts read it.
std::string_view ToString(NotReadyReason reason);

struct ServingState {
  bool list_received = false;  // from discovery, since the start
  Duration since_start{};
  bool has_upstreams = false;
  bool serving = false;  // clients are accepted
  bool draining = false;
  bool stopping = false;
};

// Why requests could not be forwarded; nothing where they can.
std::optional<NotReadyReason> WhyUnableToServe(const ServingState& state);

// Why the sidecar is not ready for new clients; nothing where it is.
std::optional<NotReadyReason> WhyNotReady(const ServingState& state);

}  // namespace lb::sidecar
