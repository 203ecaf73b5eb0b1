// The wall clock of a sidecar's machine: a process that is started with its environment sees it, and sees it
// stepped while it runs. Its monotonic clock is the machine's.
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
  // As the machine's own at first. `file`: where its shift is kept; it is made. Throws std::system_error
  // where that can't be.
  explicit WallClock(std::string file);
  ~WallClock();
  WallClock(WallClock&& other) noexcept;
  WallClock& operator=(WallClock&&) = delete;

  // It goes on from a time that is so much later; negative: earlier.
  void Step(Duration by);
  // That a process has to be started with: the library that shifts its clock, and the file.
  std::map<std::string, std::string> Environment() const;

 private:
  std::string file_;
  volatile std::int64_t* shift_ns_ = nullptr;  // mapped; null: moved from
};

}  // namespace lb::lab
