// The HTTP message types that the parts of the sidecar exchange, and the limits on message sizes.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "sidecar/header_fields.h"
#include "sidecar/held_bytes.h"

namespace lb::sidecar {

namespace http = boost::beast::http;

using RequestHead = http::header<true, HeaderFields>;
using ResponseHead = http::header<false, HeaderFields>;
using HttpRequest = http::message<true, HeldBody, HeaderFields>;
using HttpResponse = http::message<false, HeldBody, HeaderFields>;

// In bytes. A body up to this size is held in memory, so that it can be sent again; a larger one is streamed.
constexpr std::uint64_t kMaxBufferedBody = std::uint64_t{64} * 1024;
// In bytes. While the memory budget is exhausted, only a body up to this size is held; a stream would take no
// less.
constexpr std::size_t kMinBufferedBody = std::size_t{4} * 1024;
// In bytes. While the memory budget is exhausted, a request with a larger head is refused.
constexpr std::size_t kMinBufferedHead = std::size_t{4} * 1024;
// The largest streamed body, in bytes.
constexpr std::uint64_t kMaxStreamedBody = std::uint64_t{32} * 1024 * 1024;
// How many bytes of a body are parsed at a time.
constexpr std::size_t kBodyPieceSize = std::size_t{8} * 1024;
constexpr std::uint32_t kMaxHeaderSize = 16 * 1024;
// How many bytes a connection reads ahead of its parser.
constexpr std::size_t kMaxReadAhead = std::size_t{32} * 1024;

// The memory of a connection's read buffer that is not charged to the budget, in bytes: each connection has
// it.
constexpr std::size_t kUnchargedReadBuffer = std::size_t{8} * 1024;

// Whether a body, of which `held` is what has arrived, has to be streamed instead of being held: it is over
// kMaxBufferedBody, or over kMinBufferedBody while the memory budget is exhausted.
bool IsTooLargeToHold(const HeldBytes& held);

// Makes room in `held` for a body of `length` bytes, as far as it may be held.
void ReserveForBody(HeldBytes& held, std::uint64_t length);

// A copy of a head that Beast's parser has read, in less memory. `budget`: that it is charged to; may be
// null.
RequestHead ToRequestHead(const http::request_header<>& parsed,
                          const std::shared_ptr<MemoryBudget>& budget = nullptr);
ResponseHead ToResponseHead(const http::response_header<>& parsed,
                            const std::shared_ptr<MemoryBudget>& budget = nullptr);

// Checks that the end of a request's body is unambiguous: bytes that one reader takes for the body may
// contain a request for another reader (request smuggling). Returns a description of the fault, or null if
// there is none.
const char* FramingFault(const RequestHead& header);

// Creates a response of the sidecar itself, whose body is one line of text.
HttpResponse PlainResponse(http::status status, const std::string& text);

// Removes the header fields that apply to a single connection only (RFC 9110, 7.6.1).
void RemoveHopByHop(HeaderFields& fields);

}  // namespace lb::sidecar
