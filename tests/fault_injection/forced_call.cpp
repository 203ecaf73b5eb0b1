#include "tests/fault_injection/forced_call.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <string>
#include <string_view>

namespace lb::fault_injection {
namespace {

using sidecar::testing::Descriptor;
using sidecar::testing::kFaultsVariable;
using sidecar::testing::SharedFaults;

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
constexpr int kMaxDescriptors = 65536;

SharedFaults* shared = nullptr;
std::atomic<bool> clock_was_read{false};
std::array<std::atomic<bool>, kMaxDescriptors> accepted{};

__attribute__((constructor)) void MapSharedFaults() {
  const char* const path = std::getenv(kFaultsVariable);
  if (path == nullptr) return;
  static const auto kRealOpen = RealFunction(&::open, "open");
  const int file = kRealOpen(path, O_RDWR | O_CLOEXEC);
  if (file < 0) std::abort();
  void* const mapping = ::mmap(nullptr, sizeof(SharedFaults), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  static const auto kRealClose = RealFunction(&::close, "close");
  kRealClose(file);
  if (mapping == MAP_FAILED) std::abort();
  shared = static_cast<SharedFaults*>(mapping);
}

std::int64_t Monotonic() {
  static const auto kNext = RealFunction(&::clock_gettime, "clock_gettime");
  timespec now{};
  kNext(CLOCK_MONOTONIC, &now);
  return now.tv_sec * kNanosecondsPerSecond + now.tv_nsec;
}

int Option(int descriptor, int name) {
  static const auto kNext = RealFunction(&::getsockopt, "getsockopt");
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

std::uint16_t PortOf(const CallTarget& target, Descriptor kind) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  auto* const plain = reinterpret_cast<sockaddr*>(&address);
  if (target.peer != nullptr) {
    std::memcpy(&address, target.peer, sizeof address);
  } else if (kind == Descriptor::kOutgoing) {
    ::getpeername(target.descriptor, plain, &size);
  } else {
    ::getsockname(target.descriptor, plain, &size);
  }
  return ntohs(address.sin_port);
}

// Matches by the path of the file. For a descriptor, the path comes from /proc: that of a file starts with a
// slash, unlike that of pipes, timers and the like. Standard streams never match.
bool FileMatches(const SharedFaults::Slot& slot, const CallTarget& target) {
  std::array<char, 4096> name{};
  const char* path = target.path;
  if (path == nullptr) {
    if (target.descriptor <= STDERR_FILENO) return false;
    const std::string link = "/proc/self/fd/" + std::to_string(target.descriptor);
    const auto size = ::readlink(link.c_str(), name.data(), name.size() - 1);
    if (size <= 0 || name[0] != '/') return false;
    path = name.data();
  }
  return std::string_view(path).starts_with(slot.path.data());
}

bool Matches(const SharedFaults::Slot& slot, const CallTarget& target) {
  if (target.descriptor < 0 && target.path == nullptr) return true;
  const Descriptor kind = target.path != nullptr ? Descriptor::kFile : KindOf(target.descriptor);
  if (slot.on != Descriptor::kAny && slot.on != kind) return false;
  if (kind == Descriptor::kFile) return FileMatches(slot, target);
  if (slot.path[0] != '\0') return false;
  if (kind == Descriptor::kLocal || slot.port == 0) return slot.port == 0;
  return PortOf(target, kind) == slot.port;
}

// Counts a matching call, and returns true if the fault is to be injected into it.
bool ShouldForce(SharedFaults::Slot& slot) {
  if (slot.ends_ns != 0 && Monotonic() >= slot.ends_ns) return false;
  if (slot.first_after_clock && !clock_was_read.exchange(false)) return false;
  if (slot.matched++ < slot.skip) return false;
  auto forced = slot.forced.load();
  do {
    if (slot.times >= 0 && forced >= slot.times) return false;
  } while (!slot.forced.compare_exchange_weak(forced, forced + 1));
  return true;
}

void Sleep(std::int64_t microseconds) {
  timespec remaining{microseconds / 1'000'000, microseconds % 1'000'000 * 1000};
  while (::nanosleep(&remaining, &remaining) != 0 && errno == EINTR) {
  }
}

}  // namespace

void MarkAccepted(int descriptor, bool is_accepted) {
  if (descriptor >= 0 && descriptor < kMaxDescriptors)
    accepted[static_cast<std::size_t>(descriptor)] = is_accepted;
}

void MarkClockRead() { clock_was_read = true; }

std::int64_t WallClockOffset() { return shared != nullptr ? shared->wall_offset_ns.load() : 0; }

ForcedCall::ForcedCall(SystemCall call, const CallTarget& target) {
  if (shared == nullptr) return;
  const int saved_errno = errno;
  for (auto& slot : shared->slots) {
    if (slot.active.load(std::memory_order_acquire) == 0 || slot.call != call) continue;
    if (!Matches(slot, target) || !ShouldForce(slot)) continue;
    if (slot.delay_us > 0) Sleep(slot.delay_us);
    if (slot.error != 0) error_ = slot.error;
    if (slot.at_most != 0) at_most_ = std::min<std::size_t>(at_most_, slot.at_most);
    kills_ = kills_ || slot.kills_process;
    loses_connection_ = loses_connection_ || slot.drops_connection;
  }
  errno = saved_errno;
}

ForcedCall::~ForcedCall() {
  if (kills_) ::kill(::getpid(), SIGKILL);
}

ForcedCall::Parts::Parts(const ForcedCall& forced, const iovec* parts, std::size_t count) {
  std::size_t remaining = forced.at_most_;
  for (std::size_t i = 0; i < count && count_ < kMaxParts && remaining > 0; ++i) {
    parts_[count_] = parts[i];
    parts_[count_].iov_len = std::min(parts[i].iov_len, remaining);
    remaining -= parts_[count_++].iov_len;
  }
}

}  // namespace lb::fault_injection
