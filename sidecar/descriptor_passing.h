// Passes a descriptor over a Unix socket (SCM_RIGHTS), with one byte beside it.
#pragma once

#include <optional>

#include "sidecar/clock.h"

namespace lb::sidecar {

// True for an error of a system call that may succeed soon: interrupted, or short of something.
bool IsTransientError(int error);

// Does not block. False: `errno` has the error.
bool SendDescriptor(int socket, int descriptor);

// Blocks up to `until`; signals don't end the wait. Nothing where none came, or what came is not one byte and
// one descriptor. The descriptor is the caller's to close.
std::optional<int> ReceiveDescriptor(int socket, TimePoint until);

}  // namespace lb::sidecar
