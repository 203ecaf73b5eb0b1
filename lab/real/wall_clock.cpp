#include "lab/real/wall_clock.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

namespace lb::lab {

WallClock::WallClock(std::string file) : file_(std::move(file)) {
  const int descriptor = ::open(file_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  void* memory = MAP_FAILED;
  if (descriptor >= 0 && ::ftruncate(descriptor, sizeof(std::int64_t)) == 0) {
    memory = ::mmap(nullptr, sizeof(std::int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
  }
  const int error = errno;
  if (descriptor >= 0) ::close(descriptor);
  if (memory == MAP_FAILED) throw std::system_error(error, std::generic_category(), "cannot map " + file_);
  shift_ns_ = static_cast<volatile std::int64_t*>(memory);
}

WallClock::~WallClock() {
  if (shift_ns_ != nullptr) ::munmap(const_cast<std::int64_t*>(shift_ns_), sizeof(std::int64_t));
}

WallClock::WallClock(WallClock&& other) noexcept
    : file_(std::move(other.file_)), shift_ns_(std::exchange(other.shift_ns_, nullptr)) {}

void WallClock::Step(Duration by) {
  *shift_ns_ = *shift_ns_ + std::chrono::duration_cast<std::chrono::nanoseconds>(by).count();
}

std::map<std::string, std::string> WallClock::Environment() const {
  return {{"LD_PRELOAD", LB_WALL_CLOCK_LIBRARY}, {"LB_WALL_CLOCK_FILE", file_}};
}

}  // namespace lb::lab
