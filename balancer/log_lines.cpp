#include "balancer/log_lines.h"

#include <chrono>

namespace lb {

std::string UpstreamEjectedLine(const UpstreamId& upstream, int failures, Duration ejection_time) {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(ejection_time).count();
  return "ejected " + upstream.value + " for " + std::to_string(milliseconds) + " ms after " +
         std::to_string(failures) + " failures in a row";
}

std::string UpstreamReadmittedLine(const UpstreamId& upstream, ReadmissionReason reason) {
  const bool expired = reason == ReadmissionReason::kEjectionExpired;
  return "returned " + upstream.value + (expired ? " after its ejection" : " after it served on trial");
}

std::string SheddingStartedLine(SheddingReason reason) {
  switch (reason) {
    case SheddingReason::kLateResponses:
      return "refusing: overload, answers come late";
    case SheddingReason::kOverloadedUpstreams:
      return "refusing: overload, upstreams hold more than they can serve in time";
    case SheddingReason::kNoUpstream:
      break;
  }
  return "refusing: no upstream can take a call";
}

std::string SheddingStoppedLine() { return "taking calls again"; }

}  // namespace lb
