#include "sidecar/request_id_registry.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <bit>
#include <new>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

// Identifies the file's format, which later releases must keep or replace by another file name.
constexpr std::uint64_t kMagic = 0x31736469'7165726c;  // "lreqids1"
// An id stands in one of so many slots that follow each other.
constexpr std::size_t kProbedSlots = 32;
// A slot holds a fingerprint above the time at which its reservation ends, which is counted modulo
// kTimeMask + 1. Zero: never used.
constexpr unsigned kTimeBits = 24;
constexpr std::uint64_t kTimeMask = (std::uint64_t{1} << kTimeBits) - 1;
constexpr Duration kTimeUnit = milliseconds(100);

std::uint64_t Units(Duration duration) { return static_cast<std::uint64_t>(duration / kTimeUnit); }

std::uint64_t EndOfReservation(TimePoint now) {
  return Units(now.time_since_epoch() + RequestIdRegistry::kRetention) & kTimeMask;
}

std::uint64_t Entry(std::uint64_t fingerprint, TimePoint now) {
  return (fingerprint << kTimeBits) | EndOfReservation(now);
}

// The time left of a slot's reservation; zero if it is over. Any other value than a possible one is left from
// long ago.
Duration TimeLeft(std::uint64_t entry, TimePoint now) {
  const std::uint64_t units = (entry - Units(now.time_since_epoch())) & kTimeMask;
  const bool is_reserved = entry != 0 && units <= Units(RequestIdRegistry::kRetention);
  return is_reserved ? static_cast<Duration::rep>(units) * kTimeUnit : Duration::zero();
}

bool Holds(std::uint64_t entry, std::uint64_t fingerprint, TimePoint now) {
  return entry >> kTimeBits == fingerprint && TimeLeft(entry, now) > Duration::zero();
}

}  // namespace

RequestIdRegistry::RequestIdRegistry(std::size_t slots, const std::string& path, std::uint64_t seed)
    : seed_(seed) {
  const std::size_t rounded = std::bit_ceil(std::max(slots, kMinSlots));
  is_shared_ = !path.empty() && (OpenFile(path) || CreateFile(path, rounded) || OpenFile(path));
  if (is_shared_) return;
  if (!Map(-1, FileSize(rounded))) throw std::bad_alloc();
  Initialize(rounded);
}

RequestIdRegistry::~RequestIdRegistry() { ::munmap(header_, mapped_size_); }

// ---- Memory ----

std::size_t RequestIdRegistry::FileSize(std::size_t slots) { return sizeof(Header) + slots * sizeof(Slot); }

bool RequestIdRegistry::OpenFile(const std::string& path) {
  const int descriptor = ::open(path.c_str(), O_RDWR | O_CLOEXEC);
  if (descriptor < 0) return false;
  Header header{};
  struct stat status {};
  const bool is_read =
      ::pread(descriptor, &header, sizeof header, 0) == sizeof header && ::fstat(descriptor, &status) == 0;
  const bool is_valid = is_read && header.magic == kMagic && header.slots >= kMinSlots &&
                        std::has_single_bit(header.slots) &&
                        static_cast<std::size_t>(status.st_size) == FileSize(header.slots);
  const bool is_mapped = is_valid && Map(descriptor, FileSize(header.slots));
  ::close(descriptor);
  if (!is_valid) ::unlink(path.c_str());
  return is_mapped;
}

// Creates the file under another name first, so that no process finds it incomplete.
bool RequestIdRegistry::CreateFile(const std::string& path, std::size_t slots) {
  const std::string temporary = path + "." + std::to_string(::getpid());
  const int descriptor = ::open(temporary.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, S_IRUSR | S_IWUSR);
  if (descriptor < 0) return false;
  // Reserves the space: a write to memory that the file system has no room for would end the process.
  const bool has_space = ::posix_fallocate(descriptor, 0, static_cast<off_t>(FileSize(slots))) == 0;
  const bool is_mapped = has_space && Map(descriptor, FileSize(slots));
  ::close(descriptor);
  if (is_mapped) Initialize(slots);
  // Another process may have created the file meanwhile; its file counts.
  const bool is_first = is_mapped && ::link(temporary.c_str(), path.c_str()) == 0;
  ::unlink(temporary.c_str());
  if (is_mapped && !is_first) ::munmap(header_, mapped_size_);
  return is_first;
}

bool RequestIdRegistry::Map(int descriptor, std::size_t size) {
  const int kind = descriptor >= 0 ? MAP_SHARED : MAP_PRIVATE | MAP_ANONYMOUS;
  void* const memory = ::mmap(nullptr, size, PROT_READ | PROT_WRITE, kind, descriptor, 0);
  if (memory == MAP_FAILED) return false;
  header_ = static_cast<Header*>(memory);
  slots_ = static_cast<Slot*>(static_cast<void*>(header_ + 1));
  mapped_size_ = size;
  return true;
}

void RequestIdRegistry::Initialize(std::size_t slots) { *header_ = {kMagic, slots, seed_}; }

// ---- Ids ----

RequestIdRegistry::Position RequestIdRegistry::PositionOf(std::string_view id) const {
  const std::uint64_t hash = XXH3_64bits_withSeed(id.data(), id.size(), header_->seed);
  // Never zero, so that an entry differs from an unused slot.
  const std::uint64_t fingerprint = (hash >> kTimeBits) | 1U;
  return {fingerprint, static_cast<std::size_t>(hash)};
}

RequestIdRegistry::Slot& RequestIdRegistry::SlotAt(const Position& position, std::size_t offset) const {
  return slots_[(position.first + offset) & (header_->slots - 1)];
}

RequestIdRegistry::Slot* RequestIdRegistry::Find(const Position& position, TimePoint now,
                                                 const Slot* except) const {
  for (std::size_t i = 0; i < kProbedSlots; ++i) {
    Slot& slot = SlotAt(position, i);
    if (&slot != except && Holds(slot.load(), position.fingerprint, now)) return &slot;
  }
  return nullptr;
}

RequestIdRegistry::ClaimResult RequestIdRegistry::Claim(std::string_view id, TimePoint now) {
  const Position position = PositionOf(id);
  const std::uint64_t entry = Entry(position.fingerprint, now);
  while (true) {
    if (Find(position, now) != nullptr) return ClaimResult::kRepeated;
    Slot* oldest = nullptr;
    std::uint64_t oldest_entry = 0;
    Duration least_left = kRetention - kMinRetention;
    for (std::size_t i = 0; i < kProbedSlots && least_left > Duration::zero(); ++i) {
      Slot& slot = SlotAt(position, i);
      const std::uint64_t current = slot.load();
      const Duration left = TimeLeft(current, now);
      if (left >= least_left) continue;
      oldest = &slot;
      oldest_entry = current;
      least_left = left;
    }
    if (oldest == nullptr) return ClaimResult::kFull;
    if (!oldest->compare_exchange_strong(oldest_entry, entry)) continue;
    // The other process may have claimed the same id in another slot meanwhile. Then at least one of both
    // gives way.
    if (Find(position, now, oldest) == nullptr) return ClaimResult::kClaimed;
    oldest->store(0);
    return ClaimResult::kRepeated;
  }
}

void RequestIdRegistry::Renew(std::string_view id, TimePoint now) {
  const Position position = PositionOf(id);
  Slot* const slot = Find(position, now);
  if (slot != nullptr) slot->store(Entry(position.fingerprint, now));
}

void RequestIdRegistry::Release(std::string_view id, TimePoint now) {
  Slot* const slot = Find(PositionOf(id), now);
  if (slot != nullptr) slot->store(0);
}

}  // namespace lb::sidecar
