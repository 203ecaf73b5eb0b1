// Finds where a client's requests begin and end (RFC 9112), in bytes alone: no socket, no clock. Stricter
// than its parser wherever two readers of the same bytes could disagree (request smuggling).
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "sidecar/http.h"

namespace lb::sidecar {

// What has come of a request's head.
enum class HeadScan { kPartial, kWhole, kMalformed };

// Scans the head at the start of `bytes`; `scanned` is where the last scan of the same bytes ended. Malformed
// is what other readers may take for something else than the parser does: bare line ends, folded headers, and
// all that begins with no method that is served here.
HeadScan ScanHead(boost::beast::string_view bytes, std::size_t& scanned);

// Bytes at the start that belong to an empty line, 0 to 2; 1 is a CR whose LF has not come, or never will.
std::size_t EmptyLineLength(boost::beast::string_view bytes);

// The path and query of a target that may be in absolute form (RFC 9112, 3.2.2). A view into `target`.
boost::beast::string_view OriginForm(boost::beast::string_view target);

// Why a request is rejected: the status to answer with, and a reason for people.
struct RequestFault {
  http::status status = http::status::bad_request;
  std::string reason;
};

// Frames the requests of one connection, one after the other.
class RequestFraming {
 public:
  // A piece of a body at a time is copied out of the buffer; the caller lends the memory.
  using Piece = char[kBodyPieceSize];

  enum class Outcome {
    kNeedsBytes,       // nothing more to be had from these bytes
    kMoved,            // call again
    kRequestComplete,  // the last byte of the request was consumed; `body` may hold the last of it
    kFault,            // `fault` says why; nothing that follows can be framed
  };
  struct Step {
    Outcome outcome = Outcome::kNeedsBytes;
    bool request_began = false;      // the first byte of a request has come
    bool head_complete = false;      // head() is valid and well framed
    boost::beast::string_view body;  // the next bytes of the body, in the caller's piece
    RequestFault fault{};
  };

  RequestFraming() { StartRequest(); }

  // Makes ready for the next request of the connection.
  void StartRequest();

  // Consumes the next part of the request from `buffer`, which must not be empty.
  Step Next(boost::beast::flat_buffer& buffer, Piece& piece);

  // Checks a complete request: trailers have joined its head, and what follows it, `next_bytes`, must begin
  // like a request, or its length was wrong.
  std::optional<RequestFault> CheckComplete(boost::beast::string_view next_bytes) const;

  const http::request_header<>& head() const { return parser_->get().base(); }
  http::request_header<> TakeHead() { return std::move(parser_->get().base()); }
  boost::optional<std::uint64_t> content_length() const { return parser_->content_length(); }
  // Bytes of the body that were not consumed; none where the length is not known ahead.
  boost::optional<std::uint64_t> content_length_remaining() const {
    return parser_->content_length_remaining();
  }

  bool HasRequestBegun() const { return request_began_; }
  // Some of a first request has come on this connection.
  bool HasAnyRequestBegun() const { return any_request_began_; }

 private:
  bool SkipsEmptyLine(boost::beast::flat_buffer& buffer, Step& step);
  bool CheckHeadBytes(boost::beast::string_view bytes, Step& step);
  void Parse(boost::beast::flat_buffer& buffer, Piece& piece, Step& step);
  std::optional<RequestFault> CheckParsedHead();

  // Replaced for each request: a Beast parser can't be used twice.
  std::optional<http::request_parser<http::buffer_body>> parser_;
  std::size_t scanned_ = 0;  // of a head that is not whole
  bool request_began_ = false;
  bool any_request_began_ = false;
  bool skipped_empty_line_ = false;
  bool head_checked_ = false;
};

}  // namespace lb::sidecar
