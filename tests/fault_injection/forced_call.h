// The part of the preloaded library that decides, for each system call, whether and how it is made to fail.
// See tests/fault_injection.h for how a test says so.
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

// The function that this library stands ahead of.
template <typename Function>
Function* Next(Function*, const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

// What a call is about: a descriptor, a path, or the peer that it connects to. None of them: any fault of
// that call applies.
struct CallTarget {
  int descriptor = -1;
  const char* path = nullptr;
  const sockaddr* peer = nullptr;
};

// Notes whether a descriptor came from accept(). Each way to make a socket says so.
void MarkAccepted(int descriptor, bool is_accepted);
// Notes that the monotonic clock was read, for faults that come first after that.
void MarkClockRead();
// By how much the wall clock is shifted, in nanoseconds.
std::int64_t WallClockOffset();

// What is forced at one call: delays in the constructor, an error or a bound on the bytes in between, and the
// end of the process in the destructor, once the call is done.
class ForcedCall {
 public:
  ForcedCall(SystemCall call, const CallTarget& target);
  ~ForcedCall();
  ForcedCall(const ForcedCall&) = delete;
  ForcedCall& operator=(const ForcedCall&) = delete;

  // True if the call is to fail; sets errno then.
  bool Fails() const {
    if (error_ != 0) errno = error_;
    return error_ != 0;
  }
  bool Interrupted() const { return error_ == EINTR; }
  // Of accept(): the connection that waits is lost.
  bool loses_connection() const { return loses_connection_; }
  // The bytes that may move of those asked for.
  std::size_t Bytes(std::size_t asked) const { return std::min(asked, at_most_); }

  // The parts of a message, cut to the bytes that may move.
  class Parts {
   public:
    Parts(const ForcedCall& forced, const iovec* parts, std::size_t count);
    iovec* data() { return parts_.data(); }
    std::size_t size() const { return count_; }

   private:
    static constexpr int kMaxParts = 64;  // the rest of a readv or writev is left for the next call
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
