// Which requests conform to the client protocol, tested without a connection.
#include "sidecar/request_validation.h"

#include <chrono>
#include <string>
#include <variant>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

Settings ThreeClasses() {
  Settings settings;
  settings.classes.resize(3);
  settings.classes[0].name = "read";
  settings.classes[0].idempotency = Idempotency::kIdempotent;
  settings.classes[1].name = "pay";
  settings.classes[1].idempotency = Idempotency::kIdempotencyKey;
  settings.classes[2].name = "send";
  settings.classes[2].idempotency = Idempotency::kNotIdempotent;
  for (auto& request_class : settings.classes) request_class.deadline = milliseconds(500);
  settings.tenants.resize(1);
  settings.tenants[0].name = "acme";
  return settings;
}

HttpRequest Get(const std::string& target) {
  HttpRequest request(http::verb::get, target, 11);
  request.set("X-Request-ID", "r1");
  request.set("X-Timeout-Ms", "200");
  return request;
}

HttpRequest Post(const std::string& target) {
  HttpRequest request = Get(target);
  request.method(http::verb::post);
  return request;
}

class RequestValidation : public ::testing::Test {
 protected:
  // Returns the text of the error; empty for a valid request.
  std::string Error(const HttpRequest& request, BodyDelivery body = BodyDelivery::kComplete) const {
    const auto result = validator_.Validate(request, body);
    const auto* error = std::get_if<RequestError>(&result);
    return error ? std::string(ToString(*error)) : "";
  }

  const Settings settings_ = ThreeClasses();
  const RequestValidator validator_{settings_};
};

TEST_F(RequestValidation, ReadsTheHeaders) {
  HttpRequest request = Get("/read/a?b=c");
  request.set("X-Tenant-Id", "acme");
  request.set("X-Cost", "1500");
  request.set("X-Retried", "1");

  const auto result = validator_.Validate(request, BodyDelivery::kComplete);

  ASSERT_TRUE(std::holds_alternative<ValidRequest>(result));
  const auto& valid = std::get<ValidRequest>(result);
  EXPECT_EQ(valid.request_class, ClassId{0});
  EXPECT_EQ(valid.wire_id, "r1");
  EXPECT_EQ(valid.timeout, milliseconds(200));
  EXPECT_EQ(valid.tenant, TenantId{0});
  EXPECT_EQ(valid.work, Duration(1500));
  EXPECT_TRUE(valid.client_retry);
}

TEST_F(RequestValidation, IgnoresUnknownOrUnreadableValues) {
  HttpRequest request = Get("/read");
  request.set("X-Tenant-Id", "nobody");
  request.set("X-Cost", "much");

  const auto result = validator_.Validate(request, BodyDelivery::kComplete);

  const auto& valid = std::get<ValidRequest>(result);
  EXPECT_FALSE(valid.tenant);
  EXPECT_FALSE(valid.work);
  EXPECT_FALSE(valid.client_retry);
}

TEST_F(RequestValidation, RejectsTargetsThatAreNotVisibleAscii) {
  EXPECT_EQ(Error(Get("/read/a b")), "bad target");
  EXPECT_EQ(Error(Get("/read/\x7f")), "bad target");
}

TEST_F(RequestValidation, RejectsUnknownClasses) {
  EXPECT_EQ(Error(Get("/")), "unknown class");
  EXPECT_EQ(Error(Get("read")), "unknown class");
  EXPECT_EQ(Error(Get("/reads/a")), "unknown class");
}

TEST_F(RequestValidation, RequiresTheMethodOfTheClass) {
  const std::string mismatch = "method or Idempotency-Key does not fit the class";
  HttpRequest get_with_body = Get("/read");
  get_with_body.body() = "x";

  EXPECT_EQ(Error(Post("/read")), mismatch);
  EXPECT_EQ(Error(get_with_body), mismatch);
  EXPECT_EQ(Error(Get("/read"), BodyDelivery::kStreamed), mismatch);
  EXPECT_EQ(Error(Get("/send")), mismatch);
  EXPECT_EQ(Error(Post("/send"), BodyDelivery::kStreamed), "");
}

TEST_F(RequestValidation, RequiresAnIdempotencyKeyOnlyIfTheClassHasOne) {
  const std::string mismatch = "method or Idempotency-Key does not fit the class";
  const auto with_key = [](const std::string& target, const std::string& key) {
    HttpRequest request = Post(target);
    request.set("Idempotency-Key", key);
    return request;
  };

  EXPECT_EQ(Error(Post("/pay")), mismatch);
  EXPECT_EQ(Error(with_key("/pay", "k1")), "");
  EXPECT_EQ(Error(with_key("/pay", std::string(129, 'k'))), mismatch);
  EXPECT_EQ(Error(with_key("/send", "k1")), mismatch);
}

TEST_F(RequestValidation, RequiresOneVisibleRequestId) {
  HttpRequest missing = Get("/read");
  missing.erase("X-Request-ID");
  HttpRequest twice = Get("/read");
  twice.insert("X-Request-ID", "r2");
  HttpRequest too_long = Get("/read");
  too_long.set("X-Request-ID", std::string(129, 'r'));

  for (const auto* request : {&missing, &twice, &too_long}) {
    EXPECT_EQ(Error(*request), "missing or bad X-Request-ID");
  }
}

TEST_F(RequestValidation, RequiresATimeoutOfAtMostTwoDeadlines) {
  const auto with_timeout = [](const std::string& text) {
    HttpRequest request = Get("/read");
    request.set("X-Timeout-Ms", text);
    return request;
  };

  EXPECT_EQ(Error(with_timeout("1000")), "");
  for (const char* text : {"1001", "0", "-5", "2e2", "200 ms", ""}) {
    EXPECT_EQ(Error(with_timeout(text)), "missing or bad X-Timeout-Ms") << text;
  }
}

}  // namespace
}  // namespace lb::sidecar
