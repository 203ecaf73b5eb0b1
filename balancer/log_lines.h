// The texts of LogLine.
#pragma once

#include <string>

#include "balancer/types.h"

namespace lb {

enum class ReadmissionReason { kEjectionExpired, kProbesSucceeded };
enum class SheddingReason { kLateResponses, kOverloadedUpstreams, kNoUpstream };

std::string UpstreamEjectedLine(const UpstreamId& upstream, int failures, Duration ejection_time);
std::string UpstreamReadmittedLine(const UpstreamId& upstream, ReadmissionReason reason);
std::string SheddingStartedLine(SheddingReason reason);
std::string SheddingStoppedLine();

}  // namespace lb
