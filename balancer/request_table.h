// The requests that have no final answer yet, or an attempt still out, and the timers set for them.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "balancer/request.h"

namespace lb {

// Both maps are looked up and never walked: the order of their entries is not deterministic.
class RequestTable {
 public:
  // A new request with this id; null where it is known already. Valid until EraseIfDone().
  Request* Insert(RequestId id);
  // Null where it is not known.
  Request* Find(RequestId id);
  // Drops a request that has its final answer and no attempt out.
  void EraseIfDone(RequestId id);

  // A token for a timer of `id`, unique and positive.
  std::uint64_t AddTimer(RequestId id);
  // The request that a fired timer was set for; nothing where the token is not known.
  std::optional<RequestId> TakeTimer(std::uint64_t token);

 private:
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<std::uint64_t, RequestId> timers_;
  std::uint64_t last_token_ = 0;
};

}  // namespace lb
