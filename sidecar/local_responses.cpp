#include "sidecar/local_responses.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <string>

namespace lb::sidecar {

HttpResponse BadRequestResponse(RequestError error) {
  auto response = PlainResponse(http::status::bad_request, std::string(ToString(error)));
  response.keep_alive(false);
  return response;
}

HttpResponse RejectedResponse(Duration retry_after) {
  auto response = PlainResponse(http::status::service_unavailable, "refused: trying again is harmless");
  if (retry_after > Duration::zero()) {
    std::array<char, 32> seconds{};
    std::snprintf(seconds.data(), seconds.size(), "%.3f", std::chrono::duration<double>(retry_after).count());
    response.set(http::field::retry_after, seconds.data());
  }
  return response;
}

HttpResponse DeadlineExceededResponse() {
  return PlainResponse(http::status::gateway_timeout, "no answer in time");
}

HttpResponse UpstreamFailedResponse() { return PlainResponse(http::status::bad_gateway, "upstream failed"); }

}  // namespace lb::sidecar
