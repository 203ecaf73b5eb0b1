// The texts of LogLine: an event name and its fields, as `event key=value ...`.
#pragma once

#include <string>

#include "balancer/types.h"

namespace lb {

enum class ReadmissionReason { kEjectionExpired, kProbesSucceeded };
enum class SheddingReason { kOverload, kNoUpstream };

// `failures`: the consecutive failures that led to the ejection.
std::string UpstreamEjectedLine(const UpstreamId& upstream, int failures, Duration ejection_time);
std::string UpstreamReadmittedLine(const UpstreamId& upstream, ReadmissionReason reason);
std::string SheddingStartedLine(SheddingReason reason);
std::string SheddingStoppedLine();

}  // namespace lb
