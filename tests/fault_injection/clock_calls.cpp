// The preloaded library's calls on clocks: the wall clock is shifted as the test says.
#include <sys/time.h>

#include <cstdint>
#include <ctime>

#include "tests/fault_injection/forced_call.h"

using lb::fault_injection::MarkClockRead;
using lb::fault_injection::Next;
using lb::fault_injection::WallClockOffset;

namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* now) noexcept {
  static const auto kNext = Next(&::clock_gettime, "clock_gettime");
  const int done = kNext(clock, now);
  if (clock == CLOCK_MONOTONIC) MarkClockRead();
  if (done == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
    const std::int64_t moved = now->tv_sec * kNanosecondsPerSecond + now->tv_nsec + WallClockOffset();
    now->tv_sec = moved / kNanosecondsPerSecond;
    now->tv_nsec = moved % kNanosecondsPerSecond;
  }
  return done;
}

int gettimeofday(timeval* now, void* zone) noexcept {
  static const auto kNext = Next(&::gettimeofday, "gettimeofday");
  const int done = kNext(now, zone);
  if (done == 0) {
    const std::int64_t moved = now->tv_sec * kNanosecondsPerSecond + now->tv_usec * 1000 + WallClockOffset();
    now->tv_sec = moved / kNanosecondsPerSecond;
    now->tv_usec = moved % kNanosecondsPerSecond / 1000;
  }
  return done;
}

time_t time(time_t* now) noexcept {
  timespec wall{};
  clock_gettime(CLOCK_REALTIME, &wall);
  if (now != nullptr) *now = wall.tv_sec;
  return wall.tv_sec;
}

}  // extern "C"
