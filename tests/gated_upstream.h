// An upstream that keeps an attempt in flight until the test releases it, so that tests need no sleeps.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "tests/peers.h"

namespace lb::sidecar::testing {

// Holds the response to one request until the test calls Release(), and answers all other requests
// immediately. The destructor releases a response that is still held, so that a failed assertion does not
// leave a blocked thread behind.
class GatedUpstream {
 public:
  // Returns whether to hold this request. `number` counts the requests from 0 in their order of arrival. Must
  // return true for one request only.
  using Selector = std::function<bool(const Request& request, int number)>;

  // Holds the request that `is_held` selects, by default the first. `respond` writes all responses, including
  // the held one after its release.
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
  // Responds with status 200 and the request's target as the body.
  static void RespondWithTarget(Wire& wire, const Request& request, int number);

 private:
  Gate arrived_;
  Gate released_;
  bool is_released_ = false;
  Upstream upstream_;
};

}  // namespace lb::sidecar::testing
