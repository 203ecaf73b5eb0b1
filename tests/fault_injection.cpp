// The preloaded library: stands ahead of the C library's system calls and makes them fail as the shared file
// says. What it is not told to force goes through. It knows nothing of the program. It runs in a program that
// may be built with the sanitizers, but is built without them.
//
// Calls that the C library makes for itself are not seen: fopen() and remove() have entries of their own here
// for that reason, and std::ofstream is met at fopen() and at its write()s.
#include "tests/fault_injection.h"

#include <dirent.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <optional>
#include <string_view>

using lb::sidecar::testing::Descriptor;
using lb::sidecar::testing::kFaultsVariable;
using lb::sidecar::testing::SharedFaults;
using lb::sidecar::testing::SystemCall;

namespace {

constexpr std::int64_t kNanoseconds = 1'000'000'000;
constexpr int kMaxDescriptors = 65536;
constexpr int kMaxParts = 64;  // of a readv or writev; the rest is left for the next

SharedFaults* shared = nullptr;
std::atomic<bool> clock_was_read{false};
// Which descriptors came from accept(). Each way to make a socket sets it anew.
std::array<std::atomic<bool>, kMaxDescriptors> accepted{};

// The call that this library stands ahead of.
template <typename Function>
Function* Next(Function*, const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

__attribute__((constructor)) void Map() {
  const char* const path = std::getenv(kFaultsVariable);
  if (path == nullptr) return;
  static const auto kOpenNext = Next(&::open, "open");
  const int file = kOpenNext(path, O_RDWR | O_CLOEXEC);
  if (file < 0) std::abort();
  void* const memory = ::mmap(nullptr, sizeof(SharedFaults), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  static const auto kCloseNext = Next(&::close, "close");
  kCloseNext(file);
  if (memory == MAP_FAILED) std::abort();
  shared = static_cast<SharedFaults*>(memory);
}

std::int64_t Monotonic() {
  static const auto kNext = Next(&::clock_gettime, "clock_gettime");
  timespec now{};
  kNext(CLOCK_MONOTONIC, &now);
  return now.tv_sec * kNanoseconds + now.tv_nsec;
}

void MarkAccepted(int descriptor, bool yes) {
  if (descriptor >= 0 && descriptor < kMaxDescriptors) accepted[static_cast<std::size_t>(descriptor)] = yes;
}

// What a call is about: a descriptor, a path, or the peer that it connects to.
struct Object {
  int descriptor = -1;
  const char* path = nullptr;
  const sockaddr* peer = nullptr;
};

int Option(int descriptor, int name) {
  static const auto kNext = Next(&::getsockopt, "getsockopt");
  int value = -1;
  socklen_t size = sizeof value;
  return kNext(descriptor, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
}

Descriptor KindOf(int descriptor) {
  const int domain = Option(descriptor, SO_DOMAIN);
  if (domain < 0) return Descriptor::kFile;
  if (domain == AF_UNIX) return Descriptor::kLocal;
  if (Option(descriptor, SO_ACCEPTCONN) == 1) return Descriptor::kListening;
  const bool from_client =
      descriptor < kMaxDescriptors && accepted[static_cast<std::size_t>(descriptor)].load();
  return from_client ? Descriptor::kAccepted : Descriptor::kOutgoing;
}

std::uint16_t PortOf(const Object& object, Descriptor kind) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  auto* const plain = reinterpret_cast<sockaddr*>(&address);
  if (object.peer != nullptr) {
    std::memcpy(&address, object.peer, sizeof address);
  } else if (kind == Descriptor::kOutgoing) {
    ::getpeername(object.descriptor, plain, &size);
  } else {
    ::getsockname(object.descriptor, plain, &size);
  }
  return ntohs(address.sin_port);
}

// A descriptor's file begins with a slash; pipes, timers and the like don't, and standard streams are spared.
bool FileMatches(const SharedFaults::Slot& slot, const Object& object) {
  std::array<char, 4096> name{};
  const char* path = object.path;
  if (path == nullptr) {
    if (object.descriptor <= STDERR_FILENO) return false;
    const std::string link = "/proc/self/fd/" + std::to_string(object.descriptor);
    const auto size = ::readlink(link.c_str(), name.data(), name.size() - 1);
    if (size <= 0 || name[0] != '/') return false;
    path = name.data();
  }
  return std::string_view(path).starts_with(slot.path.data());
}

bool Matches(const SharedFaults::Slot& slot, const Object& object) {
  if (object.descriptor < 0 && object.path == nullptr) return true;  // about nothing of its own
  const Descriptor kind = object.path != nullptr ? Descriptor::kFile : KindOf(object.descriptor);
  if (slot.on != Descriptor::kAny && slot.on != kind) return false;
  if (kind == Descriptor::kFile) return FileMatches(slot, object);
  if (slot.path[0] != '\0') return false;
  if (kind == Descriptor::kLocal || slot.port == 0) return slot.port == 0;
  return PortOf(object, kind) == slot.port;
}

// Is it this call's turn? Counts it.
bool Due(SharedFaults::Slot& slot) {
  if (slot.ends_ns != 0 && Monotonic() >= slot.ends_ns) return false;
  if (slot.first_after_clock && !clock_was_read.exchange(false)) return false;
  if (slot.seen++ < slot.skip) return false;
  auto forced = slot.forced.load();
  do {
    if (slot.times >= 0 && forced >= slot.times) return false;
  } while (!slot.forced.compare_exchange_weak(forced, forced + 1));
  return true;
}

void HoldUp(std::int64_t microseconds) {
  timespec left{microseconds / 1'000'000, microseconds % 1'000'000 * 1000};
  while (::nanosleep(&left, &left) != 0 && errno == EINTR) {
  }
}

// What is forced at one call; the destructor's part comes once the call is done.
class Forced {
 public:
  Forced(SystemCall call, const Object& object) {
    if (shared == nullptr) return;
    const int before = errno;
    for (auto& slot : shared->slots) {
      if (slot.active.load(std::memory_order_acquire) == 0 || slot.call != call) continue;
      if (!Matches(slot, object) || !Due(slot)) continue;
      if (slot.delay_us > 0) HoldUp(slot.delay_us);
      if (slot.error != 0) error_ = slot.error;
      if (slot.at_most != 0) at_most_ = std::min<std::size_t>(at_most_, slot.at_most);
      kills_ = kills_ || slot.kills;
      loses_ = loses_ || slot.loses_connection;
    }
    errno = before;
  }
  ~Forced() {
    if (kills_) ::kill(::getpid(), SIGKILL);
  }
  Forced(const Forced&) = delete;
  Forced& operator=(const Forced&) = delete;

  // Sets errno where the call is to fail.
  bool Fails() const {
    if (error_ != 0) errno = error_;
    return error_ != 0;
  }
  bool Interrupted() const { return error_ == EINTR; }
  bool loses_connection() const { return loses_; }
  std::size_t Bytes(std::size_t asked) const { return std::min(asked, at_most_); }

  // The parts of a message, cut to the bytes that may move.
  class Parts {
   public:
    Parts(const Forced& forced, const iovec* parts, std::size_t count) {
      std::size_t left = forced.at_most_;
      for (std::size_t i = 0; i < count && count_ < kMaxParts && left > 0; ++i) {
        parts_[count_] = parts[i];
        parts_[count_].iov_len = std::min(parts[i].iov_len, left);
        left -= parts_[count_++].iov_len;
      }
    }
    iovec* data() { return parts_.data(); }
    std::size_t size() const { return count_; }

   private:
    std::array<iovec, kMaxParts> parts_{};
    std::size_t count_ = 0;
  };

 private:
  int error_ = 0;
  std::size_t at_most_ = SIZE_MAX;
  bool kills_ = false;
  bool loses_ = false;
};

template <typename Real>
int Accepted(Real accept, int descriptor) {
  const Forced forced(SystemCall::kAccept, {descriptor});
  if (forced.loses_connection()) {
    static const auto kCloseNext = Next(&::close, "close");
    if (const int lost = accept(); lost >= 0) {
      kCloseNext(lost);
    } else {
      return lost;
    }
  }
  if (forced.Fails()) return -1;
  const int taken = accept();
  MarkAccepted(taken, true);
  return taken;
}

SystemCall Opening(int flags) {
  return (flags & O_DIRECTORY) != 0 ? SystemCall::kOpenFolder : SystemCall::kOpen;
}

// The third argument of open(), which is there with some flags only.
mode_t Mode(int flags, va_list arguments) {
  return (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(arguments, mode_t) : 0;
}

std::int64_t WallOffset() { return shared != nullptr ? shared->wall_offset_ns.load() : 0; }

}  // namespace

extern "C" {

int accept(int descriptor, sockaddr* address, socklen_t* size) {
  static const auto kNext = Next(&::accept, "accept");
  return Accepted([&] { return kNext(descriptor, address, size); }, descriptor);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  static const auto kNext = Next(&::accept4, "accept4");
  return Accepted([&] { return kNext(descriptor, address, size, flags); }, descriptor);
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto kNext = Next(&::socket, "socket");
  if (Forced(SystemCall::kSocket, {}).Fails()) return -1;
  const int made = kNext(domain, type, protocol);
  MarkAccepted(made, false);
  return made;
}

int connect(int descriptor, const sockaddr* peer, socklen_t size) {
  static const auto kNext = Next(&::connect, "connect");
  const Forced forced(SystemCall::kConnect, {descriptor, nullptr, peer});
  if (forced.Interrupted()) kNext(descriptor, peer, size);  // it goes on all the same
  if (forced.Fails()) return -1;
  return kNext(descriptor, peer, size);
}

ssize_t recv(int descriptor, void* bytes, size_t size, int flags) {
  static const auto kNext = Next(&::recv, "recv");
  const Forced forced(SystemCall::kRead, {descriptor});
  return forced.Fails() ? -1 : kNext(descriptor, bytes, forced.Bytes(size), flags);
}

ssize_t recvfrom(int descriptor, void* bytes, size_t size, int flags, sockaddr* from, socklen_t* from_size) {
  static const auto kNext = Next(&::recvfrom, "recvfrom");
  const Forced forced(SystemCall::kRead, {descriptor});
  return forced.Fails() ? -1 : kNext(descriptor, bytes, forced.Bytes(size), flags, from, from_size);
}

ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  static const auto kNext = Next(&::recvmsg, "recvmsg");
  const Forced forced(SystemCall::kRead, {descriptor});
  if (forced.Fails()) return -1;
  Forced::Parts parts(forced, message->msg_iov, message->msg_iovlen);
  msghdr cut = *message;
  cut.msg_iov = parts.data();
  cut.msg_iovlen = parts.size();
  const ssize_t done = kNext(descriptor, &cut, flags);
  message->msg_namelen = cut.msg_namelen;
  message->msg_controllen = cut.msg_controllen;
  message->msg_flags = cut.msg_flags;
  return done;
}

ssize_t read(int descriptor, void* bytes, size_t size) {
  static const auto kNext = Next(&::read, "read");
  const Forced forced(SystemCall::kRead, {descriptor});
  return forced.Fails() ? -1 : kNext(descriptor, bytes, forced.Bytes(size));
}

ssize_t readv(int descriptor, const iovec* parts, int count) {
  static const auto kNext = Next(&::readv, "readv");
  const Forced forced(SystemCall::kRead, {descriptor});
  if (forced.Fails()) return -1;
  Forced::Parts cut(forced, parts, static_cast<std::size_t>(count));
  return kNext(descriptor, cut.data(), static_cast<int>(cut.size()));
}

ssize_t send(int descriptor, const void* bytes, size_t size, int flags) {
  static const auto kNext = Next(&::send, "send");
  const Forced forced(SystemCall::kWrite, {descriptor});
  return forced.Fails() ? -1 : kNext(descriptor, bytes, forced.Bytes(size), flags);
}

ssize_t sendto(int descriptor, const void* bytes, size_t size, int flags, const sockaddr* to,
               socklen_t to_size) {
  static const auto kNext = Next(&::sendto, "sendto");
  const Forced forced(SystemCall::kWrite, {descriptor});
  return forced.Fails() ? -1 : kNext(descriptor, bytes, forced.Bytes(size), flags, to, to_size);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static const auto kNext = Next(&::sendmsg, "sendmsg");
  const Forced forced(SystemCall::kWrite, {descriptor});
  if (forced.Fails()) return -1;
  Forced::Parts parts(forced, message->msg_iov, message->msg_iovlen);
  msghdr cut = *message;
  cut.msg_iov = parts.data();
  cut.msg_iovlen = parts.size();
  return kNext(descriptor, &cut, flags);
}

ssize_t write(int descriptor, const void* bytes, size_t size) {
  static const auto kNext = Next(&::write, "write");
  const Forced forced(SystemCall::kWrite, {descriptor});
  return forced.Fails() ? -1 : kNext(descriptor, bytes, forced.Bytes(size));
}

ssize_t writev(int descriptor, const iovec* parts, int count) {
  static const auto kNext = Next(&::writev, "writev");
  const Forced forced(SystemCall::kWrite, {descriptor});
  if (forced.Fails()) return -1;
  Forced::Parts cut(forced, parts, static_cast<std::size_t>(count));
  return kNext(descriptor, cut.data(), static_cast<int>(cut.size()));
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static const auto kNext = Next(&::poll, "poll");
  if (Forced(SystemCall::kPoll, {count > 0 ? descriptors[0].fd : -1}).Fails()) return -1;
  return kNext(descriptors, count, timeout);
}

int epoll_wait(int loop, epoll_event* events, int most, int timeout) {
  static const auto kNext = Next(&::epoll_wait, "epoll_wait");
  if (Forced(SystemCall::kEpollWait, {}).Fails()) return -1;
  return kNext(loop, events, most, timeout);
}

int epoll_ctl(int loop, int operation, int descriptor, epoll_event* event) noexcept {
  static const auto kNext = Next(&::epoll_ctl, "epoll_ctl");
  if (operation == EPOLL_CTL_ADD && Forced(SystemCall::kEpollControl, {descriptor}).Fails()) return -1;
  return kNext(loop, operation, descriptor, event);
}

int getsockopt(int descriptor, int level, int name, void* value, socklen_t* size) noexcept {
  static const auto kNext = Next(&::getsockopt, "getsockopt");
  if (Forced(SystemCall::kGetOption, {descriptor}).Fails()) return -1;
  return kNext(descriptor, level, name, value, size);
}

int open(const char* path, int flags, ...) {
  static const auto kNext = Next(&::open, "open");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = Mode(flags, arguments);
  va_end(arguments);
  return Forced(Opening(flags), {-1, path}).Fails() ? -1 : kNext(path, flags, mode);
}

int open64(const char* path, int flags, ...) {
  static const auto kNext = Next(&::open64, "open64");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = Mode(flags, arguments);
  va_end(arguments);
  return Forced(Opening(flags), {-1, path}).Fails() ? -1 : kNext(path, flags, mode);
}

int openat(int folder, const char* path, int flags, ...) {
  static const auto kNext = Next(&::openat, "openat");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = Mode(flags, arguments);
  va_end(arguments);
  return Forced(Opening(flags), {-1, path}).Fails() ? -1 : kNext(folder, path, flags, mode);
}

int openat64(int folder, const char* path, int flags, ...) {
  static const auto kNext = Next(&::openat64, "openat64");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = Mode(flags, arguments);
  va_end(arguments);
  return Forced(Opening(flags), {-1, path}).Fails() ? -1 : kNext(folder, path, flags, mode);
}

int creat(const char* path, mode_t mode) {
  static const auto kNext = Next(&::creat, "creat");
  return Forced(SystemCall::kOpen, {-1, path}).Fails() ? -1 : kNext(path, mode);
}

FILE* fopen(const char* path, const char* mode) {
  static const auto kNext = Next(&::fopen, "fopen");
  return Forced(SystemCall::kOpen, {-1, path}).Fails() ? nullptr : kNext(path, mode);
}

FILE* fopen64(const char* path, const char* mode) {
  static const auto kNext = Next(&::fopen64, "fopen64");
  return Forced(SystemCall::kOpen, {-1, path}).Fails() ? nullptr : kNext(path, mode);
}

// Linux has closed the descriptor also where close() fails.
int close(int descriptor) {
  static const auto kNext = Next(&::close, "close");
  const Forced forced(SystemCall::kClose, {descriptor});
  const int done = kNext(descriptor);
  return forced.Fails() ? -1 : done;
}

int fclose(FILE* file) {
  static const auto kNext = Next(&::fclose, "fclose");
  const Forced forced(SystemCall::kClose, {::fileno(file)});
  const int done = kNext(file);
  return forced.Fails() ? EOF : done;
}

int fsync(int descriptor) {
  static const auto kNext = Next(&::fsync, "fsync");
  return Forced(SystemCall::kSync, {descriptor}).Fails() ? -1 : kNext(descriptor);
}

int fdatasync(int descriptor) {
  static const auto kNext = Next(&::fdatasync, "fdatasync");
  return Forced(SystemCall::kSync, {descriptor}).Fails() ? -1 : kNext(descriptor);
}

int rename(const char* from, const char* to) noexcept {
  static const auto kNext = Next(&::rename, "rename");
  const Forced forced(SystemCall::kRename, {-1, to});
  return forced.Fails() ? -1 : kNext(from, to);
}

int renameat(int from_folder, const char* from, int to_folder, const char* to) noexcept {
  static const auto kNext = Next(&::renameat, "renameat");
  const Forced forced(SystemCall::kRename, {-1, to});
  return forced.Fails() ? -1 : kNext(from_folder, from, to_folder, to);
}

int unlink(const char* path) noexcept {
  static const auto kNext = Next(&::unlink, "unlink");
  const Forced forced(SystemCall::kRemove, {-1, path});
  return forced.Fails() ? -1 : kNext(path);
}

int unlinkat(int folder, const char* path, int flags) noexcept {
  static const auto kNext = Next(&::unlinkat, "unlinkat");
  const Forced forced(SystemCall::kRemove, {-1, path});
  return forced.Fails() ? -1 : kNext(folder, path, flags);
}

int rmdir(const char* path) noexcept {
  static const auto kNext = Next(&::rmdir, "rmdir");
  const Forced forced(SystemCall::kRemove, {-1, path});
  return forced.Fails() ? -1 : kNext(path);
}

int remove(const char* path) noexcept {
  static const auto kNext = Next(&::remove, "remove");
  const Forced forced(SystemCall::kRemove, {-1, path});
  return forced.Fails() ? -1 : kNext(path);
}

int mkdir(const char* path, mode_t mode) noexcept {
  static const auto kNext = Next(&::mkdir, "mkdir");
  const Forced forced(SystemCall::kMakeFolder, {-1, path});
  return forced.Fails() ? -1 : kNext(path, mode);
}

int mkdirat(int folder, const char* path, mode_t mode) noexcept {
  static const auto kNext = Next(&::mkdirat, "mkdirat");
  const Forced forced(SystemCall::kMakeFolder, {-1, path});
  return forced.Fails() ? -1 : kNext(folder, path, mode);
}

DIR* opendir(const char* path) {
  static const auto kNext = Next(&::opendir, "opendir");
  return Forced(SystemCall::kOpenFolder, {-1, path}).Fails() ? nullptr : kNext(path);
}

dirent* readdir(DIR* folder) {
  static const auto kNext = Next(&::readdir, "readdir");
  return Forced(SystemCall::kReadFolder, {::dirfd(folder)}).Fails() ? nullptr : kNext(folder);
}

dirent64* readdir64(DIR* folder) {
  static const auto kNext = Next(&::readdir64, "readdir64");
  return Forced(SystemCall::kReadFolder, {::dirfd(folder)}).Fails() ? nullptr : kNext(folder);
}

int clock_gettime(clockid_t clock, timespec* now) noexcept {
  static const auto kNext = Next(&::clock_gettime, "clock_gettime");
  const int done = kNext(clock, now);
  if (clock == CLOCK_MONOTONIC) clock_was_read = true;
  if (done == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
    const std::int64_t moved = now->tv_sec * kNanoseconds + now->tv_nsec + WallOffset();
    now->tv_sec = moved / kNanoseconds;
    now->tv_nsec = moved % kNanoseconds;
  }
  return done;
}

int gettimeofday(timeval* now, void* zone) noexcept {
  static const auto kNext = Next(&::gettimeofday, "gettimeofday");
  const int done = kNext(now, zone);
  if (done == 0) {
    const std::int64_t moved = now->tv_sec * kNanoseconds + now->tv_usec * 1000 + WallOffset();
    now->tv_sec = moved / kNanoseconds;
    now->tv_usec = moved % kNanoseconds / 1000;
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
