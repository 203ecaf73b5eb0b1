#include "sidecar/http.h"

#include <algorithm>
#include <boost/beast/http/rfc7230.hpp>
#include <iterator>
#include <set>
#include <string>

namespace lb::sidecar {
namespace {

constexpr boost::beast::string_view kHopByHopFields[] = {"Connection", "Keep-Alive", "Proxy-Connection",
                                                         "TE",         "Trailer",    "Transfer-Encoding",
                                                         "Upgrade",    "Expect",     "Content-Length"};

}  // namespace

bool IsTooLargeToHold(const HeldBytes& held) {
  return held.size() > (held.IsBudgetExhausted() ? kMinBufferedBody : kMaxBufferedBody);
}

void ReserveForBody(HeldBytes& held, std::uint64_t length) {
  if (!held.IsBudgetExhausted()) held.Reserve(std::min(length, kMaxBufferedBody));
}

RequestHead ToRequestHead(const http::request_header<>& parsed, const std::shared_ptr<MemoryBudget>& budget) {
  RequestHead head;
  head.version(parsed.version());
  head.method_string(parsed.method_string());
  head.target(parsed.target());
  head.Assign(parsed, budget);
  return head;
}

ResponseHead ToResponseHead(const http::response_header<>& parsed,
                            const std::shared_ptr<MemoryBudget>& budget) {
  ResponseHead head;
  head.version(parsed.version());
  head.result(parsed.result_int());
  head.reason(parsed.reason());
  head.Assign(parsed, budget);
  return head;
}

const char* FramingFault(const RequestHead& header) {
  if (header.version() != 10 && header.version() != 11) return "unknown version";
  const auto codings = header.count(http::field::transfer_encoding);
  const auto lengths = header.count(http::field::content_length);
  if (codings > 0 && lengths > 0) return "both Content-Length and Transfer-Encoding";
  if (codings > 1 || lengths > 1) return "body framed more than once";
  if (codings > 0 && header.version() == 10) return "Transfer-Encoding in HTTP/1.0";
  if (codings > 0 && !boost::beast::iequals(header[http::field::transfer_encoding], "chunked")) {
    return "unknown Transfer-Encoding";
  }
  const auto length = header[http::field::content_length];
  const auto digit = [](char c) { return c >= '0' && c <= '9'; };
  if (lengths > 0 && (length.empty() || !std::all_of(length.begin(), length.end(), digit))) {
    return "bad Content-Length";
  }
  return nullptr;
}

HttpResponse PlainResponse(http::status status, const std::string& text) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, "text/plain");
  response.body() = text + "\n";
  return response;
}

void RemoveHopByHop(HeaderFields& fields) {
  std::set<std::string, boost::beast::iless> named;
  for (const auto value : fields.Values("Connection")) {
    for (const auto& token : http::token_list(value)) named.emplace(token);
  }
  fields.RemoveIf([&named](const HeaderFields::Field& field) {
    const auto is_same = [&field](boost::beast::string_view name) {
      return boost::beast::iequals(name, field.name);
    };
    if (std::any_of(std::begin(kHopByHopFields), std::end(kHopByHopFields), is_same)) return true;
    return !named.empty() && named.count(std::string(field.name)) > 0;
  });
}

}  // namespace lb::sidecar
