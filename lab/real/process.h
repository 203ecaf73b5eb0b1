// Starts, monitors and ends a child process. Signals are only ever sent to processes started here and to
// their process groups.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "balancer/balancer.h"

namespace lb::lab {

using lb::Duration;

struct ProcessOptions {
  std::string program;  // path of the executable
  std::vector<std::string> arguments;
  std::map<std::string, std::string> environment;  // added to the environment of the lab
  std::string folder;                              // working directory; empty: the lab's
  std::string log_file;  // receives standard output and standard error; empty: both are discarded
};

struct ExitStatus {
  int code = 0;    // exit code of a process that was not killed by a signal
  int signal = 0;  // signal that killed the process; 0 if none did
};

// Resource usage of a process, without its children.
struct ProcessUsage {
  double cpu_s = 0;  // processor time since the start, user and system
  // Proportional set size in MB, in which a page mapped by several processes is divided among them. If the
  // kernel does not report it, the resident set size.
  double memory_mb = 0;
  double peak_memory_mb = 0;    // peak resident set size in MB, including shared pages
  std::size_t descriptors = 0;  // open file descriptors
};

// A child process that leads its own process group and inherits no descriptors of the lab. The kernel kills
// it when the thread that started it ends, so that thread has to outlive it. Not thread-safe.
class Process {
 public:
  // Starts the process. Throws std::system_error if that fails.
  explicit Process(const ProcessOptions& options);
  // Kills the process group if the process still runs, and waits for the process.
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;

  pid_t pid() const { return pid_; }  // remains valid after the process ended
  bool Running() { return !Poll(); }
  // The exit status; nullopt while the process runs.
  std::optional<ExitStatus> Poll();
  // Sends a signal to the process, not to its group. Has no effect after the process ended.
  void Signal(int number);
  ExitStatus Wait();
  // Waits for the exit status; nullopt if the process still runs after `timeout`.
  std::optional<ExitStatus> WaitFor(Duration timeout);
  // Sends SIGTERM, and kills the process group if the process still runs after `timeout`.
  ExitStatus Stop(Duration timeout);
  ExitStatus Kill();
  // nullopt after the process ended.
  std::optional<ProcessUsage> Usage();
  // The content of the log file; empty without a log file.
  std::string Log() const;

 private:
  void EndGroup();  // throws std::logic_error if this object was moved from
  void KillGroupAndReap() noexcept;

  pid_t pid_ = -1;  // -1: moved from
  std::string log_file_;
  std::optional<ExitStatus> status_;
};

}  // namespace lb::lab
