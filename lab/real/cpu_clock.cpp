#include "lab/real/cpu_clock.h"

#include <unistd.h>

#include <cctype>
#include <cstdint>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

namespace lb::lab {
namespace {

constexpr double kNanosecondsPerSecond = 1e9;
constexpr double kBytesPerMegabyte = 1024 * 1024;

double ReadClockSeconds(clockid_t clock) {
  timespec time{};
  ::clock_gettime(clock, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / kNanosecondsPerSecond;
}

double PagesToMb(double pages) {
  return pages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / kBytesPerMegabyte;
}

// Reads the parent's process id: field 4 of /proc/PID/stat (proc(5)). Returns 0 if the process has ended.
// Field 2, the name in brackets, may contain spaces and brackets, so parsing starts after the last closing
// bracket.
pid_t ReadParentId(const std::filesystem::path& process) {
  std::ifstream stream(process / "stat");
  std::string text;
  std::getline(stream, text);
  const auto name_end = text.rfind(')');
  if (name_end == std::string::npos) return 0;
  std::istringstream fields(text.substr(name_end + 1));
  std::string state;
  pid_t parent = 0;
  fields >> state >> parent;
  return parent;
}

}  // namespace

double ThreadCpuSeconds() { return ReadClockSeconds(CLOCK_THREAD_CPUTIME_ID); }

double ProcessCpuSeconds() { return ReadClockSeconds(CLOCK_PROCESS_CPUTIME_ID); }

double ResidentMemoryMb() {
  std::ifstream stream("/proc/self/statm");
  std::uint64_t size = 0, resident = 0;
  stream >> size >> resident;
  return PagesToMb(static_cast<double>(resident));
}

double MachineMemoryMb() { return PagesToMb(static_cast<double>(::sysconf(_SC_PHYS_PAGES))); }

std::size_t ChildProcesses() {
  std::size_t count = 0;
  std::error_code error;
  std::filesystem::directory_iterator entries("/proc", error);
  for (const std::filesystem::directory_iterator end; !error && entries != end; entries.increment(error)) {
    const std::string name = entries->path().filename().string();
    const bool is_process = std::isdigit(static_cast<unsigned char>(name.front())) != 0;
    if (is_process && ReadParentId(entries->path()) == ::getpid()) ++count;
  }
  return count;
}

}  // namespace lb::lab
