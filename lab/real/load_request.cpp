#include "lab/real/load_request.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <string_view>

#include "lab/real/http_upstream_messages.h"
#include "lab/spec/deployment.h"

namespace lb::lab {
namespace {

constexpr char kBody[] = "an order of two items";  // body of every request that is not idempotent
constexpr double kMinVariance = 1e-12;             // keeps the logarithm finite for a class without variation

std::string ToHexadecimal(std::uint64_t number) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (std::size_t place = text.size(); place-- > 0;) {
    text[place] = kDigits[number & 15];
    number >>= 4;
  }
  return text;
}

void AddHeader(std::string& text, std::string_view name, std::string_view value) {
  text += name;
  text += ": ";
  text += value;
  text += "\r\n";
}

// The lognormal distribution of service times in microseconds, from the mean and the coefficient of
// variation.
std::lognormal_distribution<double> WorkDistribution(const ClassSpec& spec) {
  const double variance = std::log1p(spec.work_variation * spec.work_variation);
  const double mean = static_cast<double>(std::max<std::int64_t>(spec.mean_work.count(), 1));
  return std::lognormal_distribution<double>(std::log(mean) - variance / 2,
                                             std::sqrt(std::max(variance, kMinVariance)));
}

}  // namespace

LoadRequestGenerator::LoadRequestGenerator(const ClientSpec& clients, const std::vector<ClassSpec>& classes,
                                           std::uint64_t seed)
    : clients_(clients), classes_(classes), ids_(DeriveSeed(seed, "http load ids")) {
  std::vector<double> shares;
  for (const ClassSpec& spec : classes_) {
    shares.push_back(spec.share);
    work_us_.push_back(WorkDistribution(spec));
  }
  class_index_ = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
}

LoadRequest LoadRequestGenerator::Draw(std::mt19937_64& random, TimePoint now) {
  const std::size_t drawn = class_index_(random);
  LoadRequest request;
  request.spec = &classes_[drawn];
  request.target = "/" + request.spec->name + "/" + ToHexadecimal(random());
  if (request.spec->idempotency == lb::Idempotency::kIdempotencyKey) {
    request.idempotency_key = ToHexadecimal(random());
    request.idempotency_key += ToHexadecimal(random());
  }
  request.work_us = std::llround(work_us_[drawn](random));
  request.honors_retry_after = std::bernoulli_distribution(clients_.honors_retry_after)(random);
  request.started = now;
  request.deadline = now + request.spec->deadline;
  return request;
}

std::string LoadRequestGenerator::ToText(const LoadRequest& request, Duration timeout, std::size_t sidecar) {
  const bool is_idempotent = request.spec->idempotency == lb::Idempotency::kIdempotent;
  const auto timeout_ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  std::string text = is_idempotent ? "GET " : "POST ";
  text += request.target + " HTTP/1.1\r\n";
  AddHeader(text, "Host", "api.internal");
  AddHeader(text, "X-Request-ID", ToHexadecimal(ids_()));
  AddHeader(text, "X-Timeout-Ms", std::to_string(timeout_ms));
  AddHeader(text, kWorkHeader, std::to_string(request.work_us));
  AddHeader(text, kSidecarHeader, std::to_string(sidecar));
  if (request.tries > 1) AddHeader(text, "X-Retried", "1");
  if (!request.idempotency_key.empty()) AddHeader(text, "Idempotency-Key", request.idempotency_key);
  if (!is_idempotent) AddHeader(text, "Content-Length", std::to_string(sizeof kBody - 1));
  text += "\r\n";
  if (!is_idempotent) text += kBody;
  return text;
}

}  // namespace lb::lab
