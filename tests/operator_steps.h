// Steps that the tests of operators' commands and of upgrades have in common.
#pragma once

#include <string>
#include <utility>

#include "tests/peers.h"

namespace lb::sidecar::testing {

// Options for a sidecar with an admin interface whose configuration file names these upstreams.
SidecarProcess::Options WithAdmin(const json& known, const std::string& tmpdir = "");

// Sends so many requests, with ids that begin with `id_prefix`, and returns how many of them upstream u1 and
// another one served.
std::pair<int, int> RequestsServedBy(SidecarProcess& sidecar, const std::string& id_prefix, int requests);

// Sends requests until upstream u1 serves one; false where none is in time.
bool FirstIsUsedAgain(SidecarProcess& sidecar);

// Polls /up until it has this status; false where it does not in time.
bool HealthCheckBecomes(SidecarProcess& sidecar, unsigned status);

}  // namespace lb::sidecar::testing
