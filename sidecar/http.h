// The HTTP message types that the parts of the sidecar exchange, and the limits on message sizes.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "sidecar/held_bytes.h"

namespace lb::sidecar {

namespace http = boost::beast::http;

using HttpRequest = http::request<HeldBody>;
using HttpResponse = http::response<HeldBody>;

// In bytes. A body up to this size is held in memory, so that it can be sent again; a larger one is streamed.
constexpr std::uint64_t kMaxBufferedBody = std::uint64_t{64} * 1024;
// In bytes. While the memory budget is exhausted, only a body up to this size is held; a stream would take no
// less.
constexpr std::size_t kMinBufferedBody = std::size_t{4} * 1024;
// The largest streamed body, in bytes.
constexpr std::uint64_t kMaxStreamedBody = std::uint64_t{32} * 1024 * 1024;
// How many bytes of a body are parsed at a time.
constexpr std::size_t kBodyPieceSize = std::size_t{8} * 1024;
constexpr std::uint32_t kMaxHeaderSize = 16 * 1024;
// How many bytes a connection reads ahead of its parser.
constexpr std::size_t kMaxReadAhead = std::size_t{32} * 1024;

// Whether a body, of which `held` is what has arrived, has to be streamed instead of being held: it is over
// kMaxBufferedBody, or over kMinBufferedBody while the memory budget is exhausted.
bool IsTooLargeToHold(const HeldBytes& held);

// Makes room in `held` for a body of `length` bytes, as far as it may be held.
void ReserveForBody(HeldBytes& held, std::uint64_t length);

// Checks that the end of a request's body is unambiguous: bytes that one reader takes for the body may
// contain a request for another reader (request smuggling). Returns a description of the fault, or null if
// there is none.
const char* FramingFault(const http::request_header<>& header);

// Creates a response of the sidecar itself, whose body is one line of text.
HttpResponse PlainResponse(http::status status, const std::string& text);

// Removes the header fields that apply to a single connection only (RFC 9110, 7.6.1).
void RemoveHopByHop(http::fields& fields);

}  // namespace lb::sidecar
