// Faults of system calls, forced in the real program from a test. A library that the program is started with
// (fault_injection.cpp, LD_PRELOAD) stands ahead of the C library's calls; test and library share a small
// mapped file, so that faults are forced and counted while the program runs:
//
//   FaultInjector faults;
//   SidecarProcess::Options options;
//   options.environment = faults.environment();
//   SidecarProcess sidecar(options);
//   const auto aborted = faults.Force({.call = SystemCall::kAccept, .error = ECONNABORTED, .times = 1});
//   ... a client connects ...
//   ASSERT_TRUE(faults.WaitUntilForced(aborted));
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace lb::sidecar::testing {

// A group of calls that fail alike.
enum class SystemCall : std::uint32_t {
  kAccept,        // accept, accept4
  kSocket,        // socket
  kConnect,       // connect
  kRead,          // recv (with MSG_PEEK, too), recvfrom, recvmsg, read, readv
  kWrite,         // send, sendto, sendmsg, write, writev
  kPoll,          // poll
  kEpollWait,     // epoll_wait
  kEpollControl,  // epoll_ctl with EPOLL_CTL_ADD
  kGetOption,     // getsockopt
  kOpen,          // open, openat, creat, fopen
  kSync,          // fsync, fdatasync
  kClose,         // close, fclose
  kRename,        // rename, renameat; the path is the new one
  kRemove,        // unlink, unlinkat, rmdir, remove
  kMakeFolder,    // mkdir, mkdirat
  kOpenFolder,    // opendir, and open or openat with O_DIRECTORY
  kReadFolder,    // readdir
};

// On what a call works.
enum class Descriptor : std::uint32_t {
  kAny,        // any of these; never standard error, pipes, timers, nor the event loop's own
  kListening,  // a TCP socket that listens
  kAccepted,   // from a client
  kOutgoing,   // to an upstream or to discovery; also before it is connected
  kLocal,      // a Unix socket of whatever kind
  kFile,       // a file or a folder
};

// What happens at a call. Nothing forces more than one of `error` and `at_most`.
struct Fault {
  SystemCall call = SystemCall::kAccept;
  int error = 0;                         // the errno it fails with, nothing done; 0: it doesn't fail
  std::size_t at_most = 0;               // bytes that a read or write moves; 0: as many as it is asked to
  std::chrono::milliseconds delay{0};    // the process is held up for so long ahead of the call
  bool first_after_clock = false;        // only the first such call after each reading of the monotonic clock
  bool kills = false;                    // SIGKILL right after the call, be it failed, short or whole
  bool loses_connection = false;         // an accept that fails takes the connection from the backlog
  int skip = 0;                          // matching calls that go through first
  int times = -1;                        // how often; -1: without end
  std::chrono::milliseconds lasting{0};  // from Force() on; 0: without end
  Descriptor on = Descriptor::kAny;
  std::uint16_t port =
      0;  // of a TCP socket: its own where it listens or was accepted, else the peer's; 0: any
  std::string path = {};  // of files: how it begins, as the program names it; empty: any
};

// What test and library share.
struct SharedFaults {
  struct Slot {
    std::atomic<std::uint32_t> active{0};
    SystemCall call{};
    int error = 0;
    std::uint64_t at_most = 0;
    std::int64_t delay_us = 0;
    bool first_after_clock = false;
    bool kills = false;
    bool loses_connection = false;
    std::int64_t skip = 0;
    std::int64_t times = -1;
    std::int64_t ends_ns = 0;  // on the monotonic clock; 0: never
    Descriptor on{};
    std::uint16_t port = 0;
    std::array<char, 256> path{};
    std::atomic<std::int64_t> seen{0};
    std::atomic<std::int64_t> forced{0};
  };
  static constexpr std::size_t kSlots = 32;
  std::array<Slot, kSlots> slots{};
  std::atomic<std::int64_t> wall_offset_ns{0};
};

// The name of the environment variable that tells the library the shared file.
inline constexpr char kFaultsVariable[] = "LB_SIDECAR_FAULTS";

// The test's side. It may force faults before the program is started, and while it runs. One injector may
// serve several processes: they share the faults and their counts.
class FaultInjector {
 public:
  enum class Id : std::size_t {};

  FaultInjector();
  ~FaultInjector();
  FaultInjector(const FaultInjector&) = delete;
  FaultInjector& operator=(const FaultInjector&) = delete;

  // For SidecarProcess::Options.
  std::map<std::string, std::string> environment() const;

  // From now on. Throws std::runtime_error where more than SharedFaults::kSlots were ever forced.
  Id Force(const Fault& fault);
  void Stop(Id id);
  int forced(Id id) const;
  // Waits for the event; false where it does not come in 20 s.
  bool WaitUntilForced(Id id, int times = 1) const;
  // What the program's wall clock (CLOCK_REALTIME) is ahead of the machine's from now on.
  void StepWallClock(std::chrono::milliseconds ahead);

 private:
  std::string path_;
  SharedFaults* shared_ = nullptr;
  std::size_t used_ = 0;
};

}  // namespace lb::sidecar::testing
