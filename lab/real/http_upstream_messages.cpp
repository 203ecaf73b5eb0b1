#include "lab/real/http_upstream_messages.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <cstdint>
#include <sstream>
#include <system_error>

namespace lb::lab {

namespace http = boost::beast::http;
using boost::beast::string_view;

std::string ToText(const UpstreamResponse& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
  const auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
  text.append(reason.data(), reason.size());
  text += "\r\n" + response.headers;
  if (response.close) text += "Connection: close\r\n";
  return text + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
}

UpstreamResponse NotProcessedResponse(bool close) {
  return {503, "X-Not-Processed: 1\r\n", "turned away\n", close};
}

UpstreamResponse NotFoundResponse() { return {404, "", "not found\n", false}; }

std::string ToText(const lb::LoadReport& load) {
  std::ostringstream text;
  const auto add = [&text](const char* name, const std::optional<double>& value) {
    if (value) text << (text.tellp() > 0 ? "," : "") << name << '=' << *value;
  };
  add("inflight", load.in_flight);
  add("queue", load.queued);
  add("util", load.utilization);
  add("qps", load.rate);
  return text.str();
}

Duration ParseWork(string_view text) {
  std::int64_t microseconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), microseconds);
  return Duration(std::max<std::int64_t>(microseconds, 0));
}

std::optional<std::size_t> ParseSidecarIndex(string_view text) {
  std::size_t index = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), index);
  const bool is_whole = error == std::errc() && end == text.data() + text.size();
  return is_whole ? std::optional(index) : std::nullopt;
}

}  // namespace lb::lab
