// Framing of an upstream's responses (RFC 9112): finds the end of heads and bodies, decides whether a body is
// collected or streamed, and maps a status to an outcome. Uses no socket and no clock.
#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "balancer/balancer.h"
#include "sidecar/http.h"

namespace lb::sidecar {

// Returns kServed for 200, kRejected for 503 and 504 with X-Not-Processed: 1, and kError for all others. Only
// that header proves that the request was not processed: a 503 without it may have been sent after processing
// had begun.
lb::Outcome ClassifyResponse(const ResponseHead& head);

// Frames the responses on one connection, one exchange after another. The connection reads into Beast's
// parser, which this class owns.
class ResponseFraming {
 public:
  using Parser = http::response_parser<http::buffer_body>;

  // Whether all of the request has been written. A response with status 200 before that is invalid.
  enum class RequestProgress { kIncomplete, kComplete };

  // The next step after a head has been read.
  enum class HeadAction {
    kReadNextHead,  // interim response (1xx): the final one follows
    kFail,          // invalid response, which can't be forwarded
    kCollectBody,   // length up to kMaxBufferedBody, or a status other than 200
    kHoldBackBody,  // unknown length: the body may turn out short enough to be collected
    kStreamBody,    // length above kMaxBufferedBody
  };

  // `budget`: that the heads are charged to; may be null.
  explicit ResponseFraming(std::shared_ptr<MemoryBudget> budget = nullptr) : budget_(std::move(budget)) {}

  // Prepares for the responses to a new request.
  void StartExchange() { interim_responses_ = 0; }
  // Returns a new parser for the next head and, unless the response is an interim one, its body. The caller
  // must read the head in an operation of its own: Beast 1.74 does not report a body over the limit if its
  // first bytes are parsed together with the head.
  Parser& ExpectHead();
  // Validates a head that has been read completely, and returns the next step.
  HeadAction ExamineHead(RequestProgress progress);

  Parser& parser() { return *parser_; }
  // Valid from ExamineHead() to TakeHead().
  const ResponseHead& head() const { return head_; }
  // Length of the body in bytes; none if it is chunked or ends with the close of the connection.
  boost::optional<std::uint64_t> content_length() const { return parser_->content_length(); }
  // Only a served response may be larger than kMaxBufferedBody.
  bool IsServed() const { return parser_->get().result() == http::status::ok; }

  // Sets the buffer that the parser fills with the next part of the body. It must live until the read has
  // completed.
  void SetBodyBuffer(char* bytes, std::size_t size);
  // Number of unfilled bytes in that buffer.
  std::size_t body_buffer_left() const { return parser_->get().body().size; }
  bool IsComplete() const { return parser_->is_done(); }

  // Whether the connection may carry another request after this response. Valid when IsComplete().
  bool KeepsConnection() const { return parser_->keep_alive(); }
  // Moves the head out into a response without a body. Its trailers are among the fields.
  HttpResponse TakeHead();
  // Moves the head out when the body begins to be streamed; TakeHead() returns only its status and load
  // report then.
  HttpResponse TakeHeadForStream();

  // Frees the memory of the last exchange.
  void Clear() {
    parser_.reset();
    head_ = {};
  }

 private:
  void StoreHead();

  std::optional<Parser> parser_;
  ResponseHead head_;  // what the parser has read, in less memory
  std::shared_ptr<MemoryBudget> budget_;
  int interim_responses_ = 0;  // to the current request
};

}  // namespace lb::sidecar
