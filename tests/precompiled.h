// The precompiled header of the tests that start the sidecar or the lab. Each file still includes the headers
// that it uses.
#pragma once

#include "gtest/gtest.h"
#include "sidecar/precompiled.h"
