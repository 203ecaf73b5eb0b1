// Precompiled for the tests that start the sidecar or the lab. Each file still includes what it uses.
#pragma once

#include "gtest/gtest.h"
#include "sidecar/precompiled.h"
