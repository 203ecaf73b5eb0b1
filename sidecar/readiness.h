// Decides whether a sidecar can serve requests, and whether it is ready for new clients, which `GET /ready`
// of the admin interface reports. Pure functions of the sidecar's state.
#pragma once

#include <chrono>
#include <optional>
#include <string_view>

#include "sidecar/clock.h"

namespace lb::sidecar {

// How long after its start a sidecar without an endpoint list from discovery counts as unable to serve, even
// if its configuration has a list. Discovery responds at once unless it is down; in that case the older list
// of the configuration is better than none.
constexpr Duration kFirstListTimeout = std::chrono::seconds(2);

enum class NotReadyReason {
  kAwaitingDiscovery,  // no list from discovery yet, and kFirstListTimeout has not elapsed
  kNoUpstream,         // the endpoint list has no upstreams
  kStarting,           // this process does not accept clients yet
  kDraining,           // operators have started connection draining
  kStopping,           // graceful shutdown has begun
};

// The text in the response to `GET /ready`. Must not change: operators' scripts read it.
std::string_view ToString(NotReadyReason reason);

struct ServingState {
  bool list_received = false;  // from discovery since the start
  Duration since_start{};
  bool has_upstreams = false;
  bool serving = false;   // clients are accepted
  bool draining = false;  // connection draining
  bool stopping = false;  // graceful shutdown
};

// The reason why requests cannot be forwarded yet; nullopt if they can.
std::optional<NotReadyReason> WhyUnableToServe(const ServingState& state);

// The reason why the sidecar is not ready for new clients; nullopt if it is ready.
std::optional<NotReadyReason> WhyNotReady(const ServingState& state);

}  // namespace lb::sidecar
