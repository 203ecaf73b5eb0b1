// The HTTP messages that the parts of the sidecar hand each other, and the limits on them.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lb::sidecar {

namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

// Bytes up to which a body is held whole, so that it can be sent again; a larger one is streamed.
constexpr std::uint64_t kMaxBufferedBody = std::uint64_t{64} * 1024;
// Bytes of a streamed body.
constexpr std::uint64_t kMaxStreamedBody = std::uint64_t{32} * 1024 * 1024;
// Bytes of a body that are parsed at a time.
constexpr std::size_t kBodyPieceSize = std::size_t{8} * 1024;
constexpr std::uint32_t kMaxHeaderSize = 16 * 1024;
// Bytes that a connection reads ahead of its parser.
constexpr std::size_t kMaxReadAhead = std::size_t{32} * 1024;

// Whether the end of a request's body is unambiguous: what one reader takes for a body may hold a request for
// the next (request smuggling). Names the fault; null where there is none.
const char* FramingFault(const http::request_header<>& header);

// A response of the sidecar's own: one line of text.
HttpResponse PlainResponse(http::status status, const std::string& text);

// Removes the header fields that concern one connection only (RFC 9110, 7.6.1).
void RemoveHopByHop(http::fields& fields);

}  // namespace lb::sidecar
