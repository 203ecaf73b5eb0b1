#include "sidecar/readiness.h"

namespace lb::sidecar {

std::string_view ToString(NotReadyReason reason) {
  switch (reason) {
    case NotReadyReason::kAwaitingDiscovery:
      return "waiting for discovery";
    case NotReadyReason::kNoUpstream:
      return "no upstream is known";
    case NotReadyReason::kStarting:
      return "starting";
    case NotReadyReason::kDraining:
      return "drained";
    case NotReadyReason::kStopping:
      return "stopping";
  }
  return "";
}

std::optional<NotReadyReason> WhyUnableToServe(const ServingState& state) {
  if (!state.list_received && state.since_start < kFirstListTimeout)
    return NotReadyReason::kAwaitingDiscovery;
  if (!state.has_upstreams) return NotReadyReason::kNoUpstream;
  return std::nullopt;
}

std::optional<NotReadyReason> WhyNotReady(const ServingState& state) {
  if (state.stopping) return NotReadyReason::kStopping;
  if (state.draining) return NotReadyReason::kDraining;
  if (const auto reason = WhyUnableToServe(state)) return reason;
  if (!state.serving) return NotReadyReason::kStarting;
  return std::nullopt;
}

}  // namespace lb::sidecar
