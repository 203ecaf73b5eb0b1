// Includes everything that a test of the sidecar program with scripted peers needs.
#pragma once

#include "tests/discovery_stand_in.h"
#include "tests/scripted_peers.h"
#include "tests/sidecar_process.h"
