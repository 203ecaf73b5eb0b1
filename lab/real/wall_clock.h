// An emulated wall clock for a sidecar's process: processes that are started with Environment() read a wall
// clock that can be stepped while they run. Their monotonic clock is that of the machine.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "balancer/balancer.h"

namespace lb::lab {

using lb::Duration;

// Not thread-safe.
class WallClock {
 public:
  // The initial shift from the machine's clock is 0. Creates `file`, which stores the shift. Throws
  // std::system_error if it cannot be created or mapped.
  explicit WallClock(std::string file);
  ~WallClock();
  WallClock(WallClock&& other) noexcept;
  WallClock& operator=(WallClock&&) = delete;

  // Steps the clock forward by `by`, or backward if negative.
  void Step(Duration by);
  // Environment variables that a process must be started with: the preloaded library and the file of the
  // shift.
  std::map<std::string, std::string> Environment() const;

 private:
  std::string file_;
  volatile std::int64_t* shift_ns_ = nullptr;  // mapped from file_; null if moved from
};

}  // namespace lb::lab
