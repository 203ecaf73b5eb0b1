// A program that the lab starts, watches and ends. Nothing here ever touches a process that it did not start.
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
  std::string program;  // a path
  std::vector<std::string> arguments;
  std::map<std::string, std::string> environment;  // on top of the lab's own
  std::string folder;                              // that it works in; empty: the lab's
  std::string log_file;  // takes its standard output and error, from the start on; empty: they are dropped
};

struct ExitStatus {
  int code = 0;    // of a process that ended by itself
  int signal = 0;  // that killed it; 0: it ended by itself
};

// What a process has used and holds. Its children are not included.
struct ProcessUsage {
  double cpu_s = 0;  // processor time since its start, user and system
  // MB of memory: the proportional set size, where pages that several processes map are shared out among
  // them; the resident set size where the system doesn't tell the former.
  double memory_mb = 0;
  double peak_memory_mb = 0;    // the most that was ever resident, pages of others included
  std::size_t descriptors = 0;  // open
};

// One started process, the leader of a group of its own. It gets none of the lab's descriptors. It is killed
// when the thread that started it ends, so that thread has to outlive it. For one thread at a time.
class Process {
 public:
  // Throws std::system_error where it can't be started.
  explicit Process(const ProcessOptions& options);
  // Kills what still runs of its group, and waits for it.
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&& other) noexcept;

  pid_t pid() const { return pid_; }  // also after its end
  bool Running() { return !Poll(); }
  // How it ended; nothing while it runs.
  std::optional<ExitStatus> Poll();
  // To the process alone, not its group. Nothing happens once it has ended.
  void Signal(int number);
  ExitStatus Wait();
  // Waits so long at most; nothing where it still runs then.
  std::optional<ExitStatus> WaitFor(Duration patience);
  // SIGTERM, then SIGKILL where it still runs after `patience`.
  ExitStatus Stop(Duration patience);
  ExitStatus Kill();
  // Nothing once it has ended.
  std::optional<ProcessUsage> Usage();
  // What it has written so far; empty where it has no log file.
  std::string Log() const;

 private:
  void EndGroup();  // throws std::logic_error where the process was moved away
  void KillGroupAndReap() noexcept;

  pid_t pid_ = -1;  // -1: moved from
  std::string log_file_;
  std::optional<ExitStatus> status_;
};

}  // namespace lb::lab
