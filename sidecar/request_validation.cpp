#include "sidecar/request_validation.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace lb::sidecar {
namespace {

using boost::beast::string_view;
using std::chrono::milliseconds;

// Returns the value of a header; nothing if the header is missing or repeated.
std::optional<string_view> SingleValue(const HttpRequest& request, string_view name) {
  const auto values = request.Values(name);
  if (values.size() != 1) return std::nullopt;
  return values.front();
}

bool IsVisibleAscii(string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

bool IsValidId(string_view id) {
  return !id.empty() && id.size() <= RequestValidator::kMaxRequestIdLength && IsVisibleAscii(id);
}

// Whether the method, the body and Idempotency-Key match the idempotency of the class. If they did not, a
// request could be repeated although its class forbids that.
bool MatchesIdempotency(const HttpRequest& request, BodyDelivery body, Idempotency idempotency) {
  if (idempotency == Idempotency::kIdempotent) {
    return request.method() == http::verb::get && request.body().empty() && body == BodyDelivery::kComplete;
  }
  if (request.method() != http::verb::post) return false;
  if (idempotency == Idempotency::kNotIdempotent) return request.count("Idempotency-Key") == 0;
  const auto key = SingleValue(request, "Idempotency-Key");
  return key && IsValidId(*key);
}

std::optional<std::uint32_t> ParseNumber(string_view text) {
  std::uint32_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

string_view FirstPathSegment(string_view target) {
  if (target.empty() || target.front() != '/') return {};
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

}  // namespace

std::string_view ToString(RequestError error) {
  switch (error) {
    case RequestError::kBadTarget:
      return "bad target";
    case RequestError::kUnknownClass:
      return "unknown class";
    case RequestError::kMethodMismatch:
      return "method or Idempotency-Key does not fit the class";
    case RequestError::kBadRequestId:
      return "missing or bad X-Request-ID";
    case RequestError::kBadTimeout:
      return "missing or bad X-Timeout-Ms";
    case RequestError::kDuplicateRequestId:
      return "X-Request-ID is taken";
  }
  return "";
}

RequestValidator::RequestValidator(const Settings& settings) : settings_(settings) {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    classes_.emplace(settings_.classes[i].name, ClassId{i});
  }
  for (std::size_t i = 0; i < settings_.tenants.size(); ++i) {
    tenants_.emplace(settings_.tenants[i].name, TenantId{i});
  }
}

std::variant<ValidRequest, RequestError> RequestValidator::Validate(const HttpRequest& request,
                                                                    BodyDelivery body) const {
  if (!IsVisibleAscii(request.target())) return RequestError::kBadTarget;
  const auto request_class = classes_.find(std::string(FirstPathSegment(request.target())));
  if (request_class == classes_.end()) return RequestError::kUnknownClass;
  const auto& class_settings = settings_.classes[static_cast<std::size_t>(request_class->second)];
  if (!MatchesIdempotency(request, body, class_settings.idempotency)) return RequestError::kMethodMismatch;
  const auto wire_id = SingleValue(request, "X-Request-ID");
  if (!wire_id || !IsValidId(*wire_id)) return RequestError::kBadRequestId;
  const auto timeout_text = SingleValue(request, "X-Timeout-Ms");
  const auto timeout_ms = timeout_text ? ParseNumber(*timeout_text) : std::nullopt;
  if (!timeout_ms || *timeout_ms == 0 ||
      milliseconds(*timeout_ms) > kMaxTimeoutInDeadlines * class_settings.deadline) {
    return RequestError::kBadTimeout;
  }

  ValidRequest valid;
  valid.request_class = request_class->second;
  valid.wire_id = std::string(*wire_id);
  valid.timeout = milliseconds(*timeout_ms);
  const auto tenant = tenants_.find(std::string(request["X-Tenant-Id"]));
  if (tenant != tenants_.end()) valid.tenant = tenant->second;
  if (const auto cost = ParseNumber(request["X-Cost"])) valid.work = Duration(*cost);
  valid.client_retry = request["X-Retried"] == "1";
  return valid;
}

}  // namespace lb::sidecar
