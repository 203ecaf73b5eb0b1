// Adjusts this process's limit on open file descriptors (RLIMIT_NOFILE).
#pragma once

#include <cstddef>

namespace lb::lab {

// Raises the soft limit to `needed` descriptors if it is lower. Throws std::runtime_error if the hard limit
// is lower than `needed`, std::system_error if a system call fails.
void EnsureDescriptorLimit(std::size_t needed);

}  // namespace lb::lab
