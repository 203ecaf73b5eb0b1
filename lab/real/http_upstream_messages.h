// The HTTP messages of the emulated upstreams: what they read of a request and how they answer.
#pragma once

#include <boost/beast/core/string_type.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "balancer/balancer.h"

namespace lb::lab {

// A request's work, in microseconds on a core of speed 1.
inline constexpr char kWorkHeader[] = "X-Work-Us";
// Of a response: how long after the request's arrival it was sent, in microseconds.
inline constexpr char kServiceHeader[] = "X-Service-Us";
// The index of the sidecar that a request was sent to.
inline constexpr char kSidecarHeader[] = "X-Sidecar-Index";

struct UpstreamResponse {
  unsigned status = 200;
  std::string headers;  // whole lines
  std::string body;
  bool close = false;
};

// A 503 that proves that nothing ran (X-Not-Processed).
UpstreamResponse NotProcessedResponse(bool close);
UpstreamResponse NotFoundResponse();

// The text on the wire.
std::string ToText(const UpstreamResponse& response);

// A load report: `inflight=7,queue=2,util=0.61`.
std::string ToText(const lb::LoadReport& load);

// The value of kWorkHeader; zero if it can't be read.
Duration ParseWork(boost::beast::string_view text);

// The value of kSidecarHeader; nothing if it can't be read.
std::optional<std::size_t> ParseSidecarIndex(boost::beast::string_view text);

}  // namespace lb::lab
