// Retry budget, as in gRPC and Finagle: retries and hedged requests are at most a share of the requests,
// saved up to a burst, so that they never feed an overload.
#pragma once

#include <algorithm>

namespace lb {

class RetryBudget {
 public:
  void OnRequest() { saved_ = std::min(kBurst, saved_ + kShare); }
  bool HasOne() const { return saved_ >= 1; }
  // HasOne() is true.
  void SpendOne() { saved_ -= 1; }

 private:
  // Retries and hedged requests for each request.
  static constexpr double kShare = 0.3;
  // Retries that are saved up at most, and that a sidecar begins with.
  static constexpr double kBurst = 10;
  double saved_ = kBurst;
};

}  // namespace lb
