// The X-Request-IDs that were used lately, so that an id that comes again is not run again. The processes of
// a hot restart share one registry, a file that both map into memory: a client's requests may reach either of
// them, and the ids of a process outlive it.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "sidecar/clock.h"

namespace lb::sidecar {

// A hash table of fixed size, whose slots the processes change by compare-and-swap, so that none waits for
// another that is suspended or was killed. An id is kept as a hash of 39 bits besides its place: a new id is
// taken for a used one in about one of 10^11 cases.
class RequestIdRegistry {
 public:
  // How long an id stays reserved after the last Claim() or Renew(). If the registry is full, ids that have
  // been reserved for longer than kMinRetention give way.
  static constexpr Duration kRetention = std::chrono::seconds(30);
  static constexpr Duration kMinRetention = std::chrono::seconds(5);

  enum class ClaimResult {
    kClaimed,
    kRepeated,  // the id is reserved
    kFull,      // there is no room: as a later repeat could not be noticed, the id must not be used
  };

  // `slots`: how many ids there is room for, about a third more than are kept at a time; rounded up to a
  // power of two of at least kMinSlots. `path`: the file to share; empty: none. An existing file keeps its
  // size.
  // `seed`: of the hash, for a new table.
  RequestIdRegistry(std::size_t slots, const std::string& path, std::uint64_t seed);
  ~RequestIdRegistry();
  RequestIdRegistry(const RequestIdRegistry&) = delete;
  RequestIdRegistry& operator=(const RequestIdRegistry&) = delete;

  // False if there is no file, or it can't be used: the ids are this process's own then.
  bool is_shared() const { return is_shared_; }

  // Reserves the id.
  [[nodiscard]] ClaimResult Claim(std::string_view id, TimePoint now);
  // Starts the time of a claimed id anew. To be called at least each kMinRetention while the id is in use.
  void Renew(std::string_view id, TimePoint now);
  // Gives up a claimed id that was not used.
  void Release(std::string_view id, TimePoint now);

  static constexpr std::size_t kMinSlots = 64;

 private:
  using Slot = std::atomic<std::uint64_t>;
  static_assert(Slot::is_always_lock_free);
  // The start of the file; the slots follow it.
  struct Header {
    std::uint64_t magic;
    std::uint64_t slots;
    std::uint64_t seed;  // of the hash
  };
  // An id's hash, and the first of the slots in which it may stand.
  struct Position {
    std::uint64_t fingerprint;
    std::size_t first;
  };

  static std::size_t FileSize(std::size_t slots);
  bool CreateFile(const std::string& path, std::size_t slots);
  bool OpenFile(const std::string& path);
  // Maps the file or, for a negative `descriptor`, memory of this process alone. Returns false on an error.
  bool Map(int descriptor, std::size_t size);
  void Initialize(std::size_t slots);
  Position PositionOf(std::string_view id) const;
  Slot& SlotAt(const Position& position, std::size_t offset) const;
  Slot* Find(const Position& position, TimePoint now, const Slot* except = nullptr) const;

  const std::uint64_t seed_;  // of a new table
  bool is_shared_ = false;
  std::size_t mapped_size_ = 0;  // in bytes
  Header* header_ = nullptr;
  Slot* slots_ = nullptr;
};

}  // namespace lb::sidecar
