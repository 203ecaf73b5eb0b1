// Checks whether a request conforms to the client protocol (PROTOCOL): its class, method, Idempotency-Key,
// X-Request-ID and X-Timeout-Ms. Stateless: the result depends on the request and the settings only.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "balancer/balancer.h"
#include "sidecar/clock.h"
#include "sidecar/http.h"

namespace lb::sidecar {

enum class RequestError {
  kBadTarget,       // contains characters that are not visible ASCII
  kUnknownClass,    // the first segment of the path is not a class of the settings
  kMethodMismatch,  // method, body or Idempotency-Key do not match the class
  kBadRequestId,    // X-Request-ID is missing, repeated, too long or not visible ASCII
  kBadTimeout,      // X-Timeout-Ms is missing, repeated, or not a whole number of milliseconds within bounds
  kDuplicateRequestId,  // another request uses this X-Request-ID
};

// The body of the 400 response.
std::string_view ToString(RequestError error);

// Whether the message contains the whole body of the request, or the body is streamed.
enum class BodyDelivery { kComplete, kStreamed };

// The values of a valid request's target and headers.
struct ValidRequest {
  ClassId request_class{};
  std::string wire_id;                  // X-Request-ID
  std::chrono::milliseconds timeout{};  // X-Timeout-Ms, unchanged
  std::optional<TenantId> tenant;       // X-Tenant-Id; empty if missing or not a tenant of the settings
  std::optional<Duration> work;         // X-Cost; empty if missing or not a number
  bool client_retry = false;            // X-Retried is "1"
};

class RequestValidator {
 public:
  // The largest X-Timeout-Ms that is accepted, as a multiple of the deadline of the request's class.
  static constexpr int kMaxTimeoutInDeadlines = 2;
  // The largest length of X-Request-ID and Idempotency-Key, in bytes.
  static constexpr std::size_t kMaxRequestIdLength = 128;

  // `settings` has to outlive the validator.
  explicit RequestValidator(const Settings& settings);

  // Returns the values of a valid request, or the first error found. The hop-by-hop headers of `request` have
  // to be removed before, as `Connection` may name a header that is checked here.
  std::variant<ValidRequest, RequestError> Validate(const HttpRequest& request, BodyDelivery body) const;

 private:
  const Settings& settings_;
  std::map<std::string, ClassId, std::less<>> classes_;
  std::map<std::string, TenantId, std::less<>> tenants_;
};

}  // namespace lb::sidecar
