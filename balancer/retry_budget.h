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
  static constexpr double kShare =
      0.3;  // retries for each request: the loss of a quarter of the fleet is repaired
  static constexpr double kBurst = 10;  // retries: the requests in flight at one upstream that dies
  double saved_ = kBurst;
};

}  // namespace lb
