// An upstream that keeps an attempt in flight for as long as a test needs it, without a sleep.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "tests/peers.h"

namespace lb::sidecar::testing {

// Holds its response to one request until the test releases it, and answers the others at once. Whatever is
// still held at the end of the test is released then, so that a failed assertion does not leave a thread
// behind.
class GatedUpstream {
 public:
  // Whether to hold this request; `number` counts the requests in their order of arrival, from 0. May select
  // one request only.
  using Selector = std::function<bool(const Request& request, int number)>;

  // Holds the first request. `respond` writes the responses, also the one that was held.
  explicit GatedUpstream(Upstream::Handler respond = RespondWithTarget, Selector is_held = IsFirst);
  ~GatedUpstream();
  GatedUpstream(const GatedUpstream&) = delete;
  GatedUpstream& operator=(const GatedUpstream&) = delete;

  std::string address() const { return upstream_.address(); }
  int connections() const { return upstream_.connections(); }
  std::vector<Request> requests() const { return upstream_.requests(); }

  void WaitForHeldRequest() const { arrived_.Pass(); }
  void Release();

  static bool IsFirst(const Request& request, int number);
  // A 200 whose body is the request's target.
  static void RespondWithTarget(Wire& wire, const Request& request, int number);

 private:
  Gate arrived_;
  Gate released_;
  bool is_released_ = false;
  Upstream upstream_;
};

}  // namespace lb::sidecar::testing
