// What makes a request of this protocol (PROTOCOL): its class, method, Idempotency-Key, X-Request-ID and
// X-Timeout-Ms. No sockets and no state: the same request and settings give the same verdict.
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
  kBadTarget,           // characters that are not visible ASCII
  kUnknownClass,        // the first part of the path names no class of the settings
  kMethodMismatch,      // method, body or Idempotency-Key contradict the class
  kBadRequestId,        // X-Request-ID is missing, given twice, too long or not visible ASCII
  kBadTimeout,          // X-Timeout-Ms likewise, or no whole number of milliseconds within bounds
  kDuplicateRequestId,  // another request has this X-Request-ID
};

// The text of the 400 that the client gets.
std::string_view ToString(RequestError error);

// Whether all of the request's body is in the message, or the rest of it is streamed.
enum class BodyDelivery { kComplete, kStreamed };

// What the headers of a request of this protocol say.
struct ValidRequest {
  ClassId request_class{};
  std::string wire_id;                  // X-Request-ID
  std::chrono::milliseconds timeout{};  // X-Timeout-Ms, as the client gives it
  std::optional<TenantId> tenant;       // X-Tenant-Id, of a tenant that the settings name
  std::optional<Duration> work;         // X-Cost
  bool client_retry = false;            // X-Retried
};

class RequestValidator {
 public:
  // A client that says it waits for longer than this many deadlines of its class is in error.
  static constexpr int kMaxDeadlines = 2;
  // Bounds X-Request-ID and Idempotency-Key, in bytes.
  static constexpr std::size_t kMaxRequestIdLength = 128;

  // `settings` has to outlive the validator.
  explicit RequestValidator(const Settings& settings);

  // `request`: without its hop-by-hop headers, as `Connection` may name one that is checked here.
  std::variant<ValidRequest, RequestError> Validate(const HttpRequest& request, BodyDelivery body) const;

 private:
  const Settings& settings_;
  std::map<std::string, ClassId, std::less<>> classes_;
  std::map<std::string, TenantId, std::less<>> tenants_;
};

}  // namespace lb::sidecar
