// Sends and receives a file descriptor over a Unix socket (SCM_RIGHTS), together with one byte of data.
#pragma once

#include <optional>

#include "sidecar/clock.h"

namespace lb::sidecar {

// True for values of `errno` after which a system call may succeed when it is repeated: it was interrupted,
// would have blocked, or the system is short of memory or descriptors.
bool IsTransientError(int error);

// Sends a duplicate of `descriptor` without blocking. Returns false on failure, with the error in `errno`.
bool SendDescriptor(int socket, int descriptor);

// Waits for a descriptor until `until`, also if signals interrupt the wait. Returns nullopt if none was
// received by then or the message is not one byte with one descriptor. The caller has to close the
// descriptor.
std::optional<int> ReceiveDescriptor(int socket, TimePoint until);

}  // namespace lb::sidecar
