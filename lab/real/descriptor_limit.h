// This process's limit on open descriptors.
#pragma once

#include <cstddef>

namespace lb::lab {

// Raises the soft limit to `needed` descriptors if it is lower. Throws std::runtime_error if the hard limit
// does not allow it, std::system_error if the system refuses.
void EnsureDescriptorLimit(std::size_t needed);

}  // namespace lb::lab
