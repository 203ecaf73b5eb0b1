// A library that is preloaded into a sidecar under test and shifts the wall clock of its process. The file
// named by LB_WALL_CLOCK_FILE holds the shift, a signed number of nanoseconds (8 bytes, native byte
// order). A change of the file while the process runs steps the clock. Monotonic clocks are not shifted.
// Without the variable or the file, the wall clock is not shifted either.
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <ctime>

namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

const volatile std::int64_t* MapShift() {
  const char* const path = std::getenv("LB_WALL_CLOCK_FILE");
  if (path == nullptr) return nullptr;
  const int file = ::open(path, O_RDONLY | O_CLOEXEC);
  if (file < 0) return nullptr;
  void* const memory = ::mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, file, 0);
  ::close(file);
  return memory == MAP_FAILED ? nullptr : static_cast<const volatile std::int64_t*>(memory);
}

std::int64_t Shift() {
  static const volatile std::int64_t* const kShift = MapShift();
  return kShift == nullptr ? 0 : *kShift;
}

bool IsWallClock(clockid_t clock) { return clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE; }

}  // namespace

extern "C" {

__attribute__((visibility("default"))) int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const long result = ::syscall(SYS_clock_gettime, clock, time);
  if (result != 0 || !IsWallClock(clock)) return static_cast<int>(result);
  const std::int64_t shifted = time->tv_sec * kNanosecondsPerSecond + time->tv_nsec + Shift();
  time->tv_sec = shifted / kNanosecondsPerSecond;
  time->tv_nsec = shifted % kNanosecondsPerSecond;
  return 0;
}

__attribute__((visibility("default"))) int gettimeofday(timeval* time, void*) noexcept {
  timespec now{};
  if (clock_gettime(CLOCK_REALTIME, &now) != 0) return -1;
  time->tv_sec = now.tv_sec;
  time->tv_usec = now.tv_nsec / 1000;
  return 0;
}

__attribute__((visibility("default"))) time_t time(time_t* seconds) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (seconds != nullptr) *seconds = now.tv_sec;
  return now.tv_sec;
}

}  // extern "C"
