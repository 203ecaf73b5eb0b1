// The requests that have no final answer yet or a pending attempt, and the timers set for them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "balancer/request.h"

namespace lb {

// The maps are used for lookups and never iterated, because the order of their entries is not deterministic.
class RequestTable {
 public:
  // Adds a request. Returns null if the id is known already. The pointer is valid until EraseIfDone().
  Request* Insert(RequestId id);
  // Returns null if the id is not known.
  Request* Find(RequestId id);
  // Erases the request and its timers if it has its final answer and no pending attempt.
  void EraseIfDone(RequestId id);
  std::size_t size() const { return requests_.size(); }

  // Returns a token for a new timer of request `id`, which is in the table; tokens are unique and positive.
  std::uint64_t AddTimer(RequestId id);
  // Returns the request that a fired timer was set for, and removes the timer; nothing if the token is not
  // known.
  std::optional<RequestId> TakeTimer(std::uint64_t token);
  std::size_t pending_timers() const { return timers_.size(); }
  bool IsTimerPending(std::uint64_t token) const { return timers_.contains(token); }

 private:
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<std::uint64_t, RequestId> timers_;
  std::uint64_t last_token_ = 0;
};

}  // namespace lb
