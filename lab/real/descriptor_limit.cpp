#include "lab/real/descriptor_limit.h"

#include <sys/resource.h>

#include <cerrno>
#include <stdexcept>
#include <string>
#include <system_error>

namespace lb::lab {

void EnsureDescriptorLimit(std::size_t needed) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    throw std::system_error(errno, std::generic_category(), "getrlimit");
  }
  if (limit.rlim_cur >= needed) return;
  if (limit.rlim_max < needed) {
    throw std::runtime_error("needs " + std::to_string(needed) + " descriptors, the hard limit is " +
                             std::to_string(limit.rlim_max));
  }
  limit.rlim_cur = needed;
  if (setrlimit(RLIMIT_NOFILE, &limit) != 0) {
    throw std::system_error(errno, std::generic_category(), "setrlimit");
  }
}

}  // namespace lb::lab
