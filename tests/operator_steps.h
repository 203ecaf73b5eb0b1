// Steps shared by the tests of operators' commands and of upgrades.
#pragma once

#include <string>
#include <utility>

#include "tests/peers.h"

namespace lb::sidecar::testing {

// Options for a sidecar with an admin interface whose configuration file names these upstreams.
SidecarProcess::Options WithAdmin(const json& known, const std::string& tmpdir = "");

// Sends `requests` requests, with ids that begin with `id_prefix`. Returns how many of them were served by
// upstream u1 and how many by other upstreams; failed requests are in neither number.
std::pair<int, int> RequestsServedBy(SidecarProcess& sidecar, const std::string& id_prefix, int requests);

// Sends requests until upstream u1 serves one; false if it does not in time.
bool FirstUpstreamServesAgain(SidecarProcess& sidecar);

// Polls /up until the response has this status; false if it does not in time.
bool HealthCheckBecomes(SidecarProcess& sidecar, unsigned status);

}  // namespace lb::sidecar::testing
