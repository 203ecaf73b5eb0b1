// HTTP messages of the emulated upstreams: the request headers that they read, and their responses.
#pragma once

#include <boost/beast/core/string_type.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "balancer/balancer.h"

namespace lb::lab {

// Request header: the service time in microseconds on a core of speed 1.
inline constexpr char kWorkHeader[] = "X-Work-Us";
// Response header: microseconds from the request's arrival to the response.
inline constexpr char kServiceHeader[] = "X-Service-Us";
// Request header: the index of the sidecar that the client sent the request to.
inline constexpr char kSidecarHeader[] = "X-Sidecar-Index";

struct UpstreamResponse {
  unsigned status = 200;
  std::string headers;  // complete header lines, each with its CRLF
  std::string body;
  bool close = false;
};

// A 503 whose header X-Not-Processed declares that the request was not processed.
UpstreamResponse NotProcessedResponse(bool close);
UpstreamResponse NotFoundResponse();

// The response as an HTTP/1.1 message.
std::string ToText(const UpstreamResponse& response);

// A load report: `inflight=7,queue=2,util=0.61`.
std::string ToText(const lb::LoadReport& load);

// Parses the value of kWorkHeader; zero if it is not a number or is negative.
Duration ParseWork(boost::beast::string_view text);

// Parses the value of kSidecarHeader; nullopt if it is not a valid index.
std::optional<std::size_t> ParseSidecarIndex(boost::beast::string_view text);

}  // namespace lb::lab
