// Injects faults into the system calls of the real program from a test. The program is started with a library
// (fault_injection/, LD_PRELOAD) that overrides functions of the C library. The test and the library share a
// small mapped file, so that faults can be set and counted while the program runs:
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

// Groups of system calls. A fault applies to all calls of a group.
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
  kRename,        // rename, renameat; matched by the new path
  kRemove,        // unlink, unlinkat, rmdir, remove
  kMakeFolder,    // mkdir, mkdirat
  kOpenFolder,    // opendir, and open or openat with O_DIRECTORY
  kReadFolder,    // readdir
};

// The kind of descriptor that a call operates on.
enum class Descriptor : std::uint32_t {
  kAny,        // any of these, but no standard stream, pipe, timer or epoll descriptor
  kListening,  // a listening TCP socket
  kAccepted,   // a TCP connection from a client
  kOutgoing,   // a TCP socket to an upstream or to discovery, connected or not
  kLocal,      // any Unix domain socket
  kFile,       // a file or folder
};

// A fault, and the calls that it applies to. At most one of `error` and `at_most` may be set. A call that is
// made to fail has no effect, except that close() closes and an interrupted connect() continues.
struct Fault {
  SystemCall call = SystemCall::kAccept;
  int error = 0;                          // errno of the failed call; 0: no failure
  std::size_t at_most = 0;                // limit on the bytes of a read or write; 0: no limit
  std::chrono::milliseconds delay{0};     // suspends the process for this long before the call
  bool first_after_clock = false;         // only the first call after each reading of the monotonic clock
  bool kills_process = false;             // SIGKILL to the process after the call, failed or not
  bool drops_connection = false;          // a failing accept also removes the connection from the backlog
  int skip = 0;                           // number of matching calls to let through before the first fault
  int times = -1;                         // number of faults; -1: no limit
  std::chrono::milliseconds duration{0};  // duration from Force() on; 0: no limit
  Descriptor on = Descriptor::kAny;
  // Port of a TCP socket; 0: any. The local port of a listening or accepted socket, the peer's of any other.
  std::uint16_t port = 0;
  // Prefix of a file's path as the program passes it; empty: any.
  std::string path = {};
};

// The contents of the mapped file that the test and the library share.
struct SharedFaults {
  struct Slot {
    std::atomic<std::uint32_t> active{0};
    SystemCall call{};
    int error = 0;
    std::uint64_t at_most = 0;
    std::int64_t delay_us = 0;
    bool first_after_clock = false;
    bool kills_process = false;
    bool drops_connection = false;
    std::int64_t skip = 0;
    std::int64_t times = -1;
    std::int64_t ends_ns = 0;  // on the monotonic clock; 0: no end
    Descriptor on{};
    std::uint16_t port = 0;
    std::array<char, 256> path{};
    std::atomic<std::int64_t> matched{0};  // matching calls
    std::atomic<std::int64_t> forced{0};   // injected faults
  };
  static constexpr std::size_t kSlots = 32;
  std::array<Slot, kSlots> slots{};
  std::atomic<std::int64_t> wall_offset_ns{0};
};

// The environment variable with the path of the shared file.
inline constexpr char kFaultsVariable[] = "LB_SIDECAR_FAULTS";

// The test's side of fault injection. Faults may be set before the program starts and while it runs. One
// injector may serve several processes, which share the faults and their counts.
class FaultInjector {
 public:
  enum class Id : std::size_t {};

  FaultInjector();
  ~FaultInjector();
  FaultInjector(const FaultInjector&) = delete;
  FaultInjector& operator=(const FaultInjector&) = delete;

  // The variables to set in SidecarProcess::Options::environment.
  std::map<std::string, std::string> environment() const;

  // Injects the fault from now on. Throws std::runtime_error after SharedFaults::kSlots faults, or if the
  // path is too long.
  Id Force(const Fault& fault);
  void Stop(Id id);
  // How often the fault has been injected.
  int forced(Id id) const;
  // Waits until the fault has been injected `times` times. Returns false if that takes longer than 20 s.
  bool WaitUntilForced(Id id, int times = 1) const;
  // Sets how far the program's wall clock (CLOCK_REALTIME) is ahead of the machine's from now on.
  void StepWallClock(std::chrono::milliseconds ahead);

 private:
  std::string path_;
  SharedFaults* shared_ = nullptr;
  std::size_t used_ = 0;
};

}  // namespace lb::sidecar::testing
