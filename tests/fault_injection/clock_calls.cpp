// Overrides of clock functions in the preloaded library: shift the wall clock by the offset that the test
// sets.
#include <sys/time.h>

#include <cstdint>
#include <ctime>

#include "tests/fault_injection/forced_call.h"

using lb::fault_injection::MarkClockRead;
using lb::fault_injection::RealFunction;
using lb::fault_injection::WallClockOffset;

namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* now) noexcept {
  static const auto kReal = RealFunction(&::clock_gettime, "clock_gettime");
  const int result = kReal(clock, now);
  if (clock == CLOCK_MONOTONIC) MarkClockRead();
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
    const std::int64_t shifted = now->tv_sec * kNanosecondsPerSecond + now->tv_nsec + WallClockOffset();
    now->tv_sec = shifted / kNanosecondsPerSecond;
    now->tv_nsec = shifted % kNanosecondsPerSecond;
  }
  return result;
}

int gettimeofday(timeval* now, void* zone) noexcept {
  static const auto kReal = RealFunction(&::gettimeofday, "gettimeofday");
  const int result = kReal(now, zone);
  if (result == 0) {
    const std::int64_t shifted =
        now->tv_sec * kNanosecondsPerSecond + now->tv_usec * 1000 + WallClockOffset();
    now->tv_sec = shifted / kNanosecondsPerSecond;
    now->tv_usec = shifted % kNanosecondsPerSecond / 1000;
  }
  return result;
}

time_t time(time_t* now) noexcept {
  timespec wall{};
  clock_gettime(CLOCK_REALTIME, &wall);
  if (now != nullptr) *now = wall.tv_sec;
  return wall.tv_sec;
}

}  // extern "C"
