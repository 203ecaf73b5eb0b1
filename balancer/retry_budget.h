// Retry budget, as in gRPC and Finagle: a token bucket that bounds retries and hedged requests to a share of
// the requests plus a burst, so that they never feed an overload.
#pragma once

#include <algorithm>

namespace lb {

class RetryBudget {
 public:
  void OnRequest() { tokens_ = std::min(kMaxTokens, tokens_ + kTokensPerRequest); }
  bool HasToken() const { return tokens_ >= 1; }
  // Requires HasToken().
  void SpendToken() { tokens_ -= 1; }

 private:
  // Tokens per request.
  static constexpr double kTokensPerRequest = 0.3;
  // Maximum number of tokens, which is also the initial number.
  static constexpr double kMaxTokens = 10;
  double tokens_ = kMaxTokens;
};

}  // namespace lb
