// The calls to discovery that no data has arrived for in time, kept open because discovery may only be slow.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "sidecar/clock.h"
#include "sidecar/discovery_call.h"

namespace lb::sidecar {

// A call in progress and what it requests.
struct PendingCall {
  std::shared_ptr<DiscoveryCall> connection;
  std::optional<std::uint64_t> base;  // the changes since this revision; absent: the whole list
  Duration wait{};                    // of a watch: how long discovery may wait for a change
  TimePoint started_at;
  bool is_beside_silent_call = false;

  bool IsForWholeList() const { return !base.has_value(); }
  bool IsWatch() const { return !IsForWholeList() && !is_beside_silent_call; }
};

class SilentCalls {
 public:
  // The most calls that are kept, and so the most connections.
  static constexpr std::size_t kMaxCalls = 4;

  // `interval`: of two calls started within this time only the first is kept.
  explicit SilentCalls(Duration interval) : interval_(interval) {}
  ~SilentCalls() { DropAll(); }
  SilentCalls(const SilentCalls&) = delete;
  SilentCalls& operator=(const SilentCalls&) = delete;

  // Keeps the call open, or drops it.
  void Keep(PendingCall call, TimePoint now);
  // Removes the call on this connection and returns it; nullopt if it is not kept.
  std::optional<PendingCall> Take(const DiscoveryCall& connection);
  // Drops the calls that have made no progress for kNotificationLimit since the end of their wait.
  void DropStalled(TimePoint now);
  // Drops all calls but one for the whole list.
  void DropCallsForChanges();
  void DropAll();

  bool empty() const { return calls_.empty(); }
  bool HasCallForWholeList() const;

 private:
  struct Kept {
    PendingCall call;
    std::size_t progress = 0;  // of the response, as DiscoveryCall::Progress()
    TimePoint progress_at;     // when it last changed
  };

  template <typename Condition>
  void DropIf(Condition condition);

  const Duration interval_;
  std::vector<Kept> calls_;  // the oldest first
};

}  // namespace lb::sidecar
