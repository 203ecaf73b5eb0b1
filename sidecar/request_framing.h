// Finds where a client's requests begin and end (RFC 9112). Works on bytes only, without sockets and clocks.
// Stricter than the Beast parser that it uses wherever two parsers could disagree on the same bytes (request
// smuggling).
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sidecar/http.h"

namespace lb::sidecar {

// How much of a request's head has been received.
enum class HeadScan { kPartial, kComplete, kMalformed };

// Scans the head at the start of `bytes`. `scanned`: where the last scan of the same bytes ended; updated. A
// head is malformed if other parsers may read it differently than Beast does: bare CR or LF, zero bytes,
// folded headers, a method other than GET and POST, or no end within kMaxHeaderSize.
HeadScan ScanHead(boost::beast::string_view bytes, std::size_t& scanned);

// Returns how many bytes at the start belong to an empty line: 0, 1 or 2. 1 stands for a CR without an LF
// after it, which may not have been received yet.
std::size_t EmptyLineLength(boost::beast::string_view bytes);

// Returns the path and query of a target that may be in absolute form (RFC 9112, 3.2.2), as a view into
// `target`, or "/" if an absolute target has no path.
boost::beast::string_view OriginForm(boost::beast::string_view target);

// Why a request is rejected: the status of the response, and its human-readable reason.
struct RequestFault {
  http::status status = http::status::bad_request;
  std::string reason;
};

// Frames the successive requests of one connection.
class RequestFraming {
 public:
  // Memory that the caller provides, into which one piece of a body at a time is copied.
  using Piece = char[kBodyPieceSize];

  enum class Outcome {
    kNeedsBytes,       // more bytes have to be received first
    kProgress,         // some bytes were consumed; call Next() again
    kRequestComplete,  // the request's last byte was consumed; `body` may hold the end of its body
    kFault,            // described by `fault`; the bytes that follow can't be framed
  };
  struct Step {
    Outcome outcome = Outcome::kNeedsBytes;
    bool request_began = false;      // the first byte of a request was received
    bool head_complete = false;      // the head was parsed; it is valid unless the outcome is kFault
    boost::beast::string_view body;  // the next bytes of the body, a view into the caller's piece
    RequestFault fault{};
  };

  // `budget`: that the heads are charged to; may be null.
  explicit RequestFraming(std::shared_ptr<MemoryBudget> budget = nullptr) : budget_(std::move(budget)) {
    StartRequest();
  }

  // Resets the state for the next request of the connection.
  void StartRequest();

  // Consumes the next part of the request from `buffer`, which must not be empty. A chunk's line, and the
  // trailers, can be parsed only as a whole: one that fills `buffer` to its max_size() is a fault, as no more
  // bytes could be received. So kNeedsBytes is never returned for a full buffer.
  Step Next(boost::beast::flat_buffer& buffer, Piece& piece);

  // Checks a complete request: its head, which now includes the trailers, and `next_bytes`, the bytes
  // received after it. If these do not begin like a request, the length of the body was wrong.
  std::optional<RequestFault> CheckComplete(boost::beast::string_view next_bytes) const;

  // Empty until the head is complete; includes the trailers once the request is.
  const RequestHead& head() const { return head_; }
  RequestHead TakeHead() { return std::move(head_); }
  bool IsHeadComplete() const { return head_checked_; }
  boost::optional<std::uint64_t> content_length() const { return parser_->content_length(); }
  // Number of bytes of the body not consumed yet; nothing if the length is not known in advance.
  boost::optional<std::uint64_t> content_length_remaining() const {
    return parser_->content_length_remaining();
  }

  bool HasRequestBegun() const { return request_began_; }
  // Whether the first byte of any request has been received on this connection.
  bool HasAnyRequestBegun() const { return any_request_began_; }

 private:
  bool SkipEmptyLine(boost::beast::flat_buffer& buffer, Step& step);
  bool CheckHeadBytes(boost::beast::string_view bytes, Step& step);
  void Parse(boost::beast::flat_buffer& buffer, Piece& piece, Step& step);
  void StoreHead();
  std::optional<RequestFault> CheckParsedHead();

  // Created anew for each request: a Beast parser can't be reused.
  std::optional<http::request_parser<http::buffer_body>> parser_;
  // What the parser has read, in less memory.
  RequestHead head_;
  std::shared_ptr<MemoryBudget> budget_;
  std::size_t scanned_ = 0;  // number of bytes scanned of an incomplete head
  bool request_began_ = false;
  bool any_request_began_ = false;
  bool skipped_empty_line_ = false;
  bool head_checked_ = false;
};

}  // namespace lb::sidecar
