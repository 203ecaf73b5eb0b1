// Counts how requests and attempts ended since the process started, and writes the counts in Prometheus's
// text format (version 0.0.4) for the admin interface.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include "sidecar/exchange.h"
#include "sidecar/memory_budget.h"

namespace lb::sidecar {

// How a request that the sidecar has read ended for its client.
enum class RequestEnd {
  kServed,              // the response of an upstream, or its start if it is streamed
  kRejected,            // 503 by the decision module: nothing ran, or a repeat is harmless
  kUpstreamFailed,      // 502
  kDeadlineExceeded,    // 504
  kInvalid,             // 400, but for a repeated id
  kRepeatedId,          // 400: its id was in use, or lately
  kNoRoomForId,         // 503: a repeat of its id could not be noticed
  kClientDisconnected,  // no response
};

class RequestCounters {
 public:
  void Count(RequestEnd end) { ++requests_[static_cast<std::size_t>(end)]; }
  void CountFailedAttempt(ExchangeProgress progress) { ++attempts_[static_cast<std::size_t>(progress)]; }
  void CountForwardedHead() { ++forwarded_heads_; }

  // `in_flight`: the number of requests.
  std::string ToText(std::size_t in_flight, const MemoryBudget& budget) const;

 private:
  static constexpr std::size_t kRequestEnds = static_cast<std::size_t>(RequestEnd::kClientDisconnected) + 1;
  static constexpr std::size_t kProgresses = static_cast<std::size_t>(ExchangeProgress::kReceivingBody) + 1;

  std::array<std::uint64_t, kRequestEnds> requests_{};
  std::array<std::uint64_t, kProgresses> attempts_{};
  std::uint64_t forwarded_heads_ = 0;
};

}  // namespace lb::sidecar
