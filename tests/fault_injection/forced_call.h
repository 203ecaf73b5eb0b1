// Part of the preloaded library: determines for each system call which faults apply to it. Tests set the
// faults through tests/fault_injection.h.
#pragma once

#include <dlfcn.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstddef>
#include <cstdint>

#include "tests/fault_injection.h"

namespace lb::fault_injection {

using sidecar::testing::SystemCall;

// Returns the C library's function that this library overrides. The first argument only gives the type.
template <typename Function>
Function* RealFunction(Function*, const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

// The target of a call: a descriptor or a path; for connect() the descriptor and the peer's address. A call
// without a target matches every fault of its group.
struct CallTarget {
  int descriptor = -1;
  const char* path = nullptr;
  const sockaddr* peer = nullptr;
};

// Records whether a descriptor was returned by accept(). Called by every function that creates a socket.
void MarkAccepted(int descriptor, bool is_accepted);
// Records that the monotonic clock was read, for Fault::first_after_clock.
void MarkClockRead();
// The offset of the wall clock in nanoseconds.
std::int64_t WallClockOffset();

// The faults of one call. The constructor applies delays; then the caller applies the error or the limit on
// the bytes; the destructor, after the call, kills the process if a fault requires it.
class ForcedCall {
 public:
  ForcedCall(SystemCall call, const CallTarget& target);
  ~ForcedCall();
  ForcedCall(const ForcedCall&) = delete;
  ForcedCall& operator=(const ForcedCall&) = delete;

  // True if the call must fail; also sets errno then.
  bool Fails() const {
    if (error_ != 0) errno = error_;
    return error_ != 0;
  }
  bool Interrupted() const { return error_ == EINTR; }
  // For accept(): remove the first connection from the backlog.
  bool drops_connection() const { return loses_connection_; }
  // The number of bytes to transfer when `requested` bytes were requested.
  std::size_t Bytes(std::size_t requested) const { return std::min(requested, at_most_); }

  // The buffers of a vectored read or write, truncated to the bytes that may be transferred.
  class Parts {
   public:
    Parts(const ForcedCall& forced, const iovec* parts, std::size_t count);
    iovec* data() { return parts_.data(); }
    std::size_t size() const { return count_; }

   private:
    static constexpr int kMaxParts = 64;  // further buffers are left for the next call
    std::array<iovec, kMaxParts> parts_{};
    std::size_t count_ = 0;
  };

 private:
  int error_ = 0;
  std::size_t at_most_ = SIZE_MAX;
  bool kills_ = false;
  bool loses_connection_ = false;
};

}  // namespace lb::fault_injection
