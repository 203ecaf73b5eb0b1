// Framing of an upstream's responses (RFC 9112): where a head and a body end, what is done with the body, and
// which outcome a status means. Works on bytes; has no socket and no clock.
#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "balancer/balancer.h"
#include "sidecar/http.h"

namespace lb::sidecar {

// kServed for 200. kRejected for 503 and 504 with X-Not-Processed: 1; only that header proves that nothing
// ran, as a bare 503 may come from behind the work. kError for all others.
lb::Outcome ClassifyResponse(const http::response_header<>& head);

// The responses to one request after another on one connection. Bytes come in through Beast's parser, into
// which the connection reads.
class ResponseFraming {
 public:
  using Parser = http::response_parser<http::buffer_body>;

  // Whether all of the request has been written. No honest upstream serves a request before that.
  enum class RequestProgress { kIncomplete, kComplete };

  // What a head that was read asks for.
  enum class HeadAction {
    kReadNextHead,  // an interim response (1xx): the final one follows
    kFail,          // no response that can be passed on
    kCollectBody,   // of known length up to kMaxBufferedBody, or of an unsuccessful response
    kHoldBackBody,  // of unknown length: perhaps short enough to be collected
    kStreamBody,    // known to be over kMaxBufferedBody
  };

  // Begins with the responses to a new request.
  void StartExchange() { interim_responses_ = 0; }
  // A new parser, for the next head and, unless that is an interim one, its body. The head is to be read on
  // its own: Beast 1.74 forgets that the body is over the limit where its first bytes come with the head.
  Parser& ExpectHead();
  // Once the head is whole.
  HeadAction ExamineHead(RequestProgress progress);

  Parser& parser() { return *parser_; }
  // Valid while a body is read.
  const http::response_header<>& head() const { return parser_->get().base(); }
  // Of the body; none where it is chunked or ends with its connection.
  boost::optional<std::uint64_t> content_length() const { return parser_->content_length(); }
  // Only a served response may be larger than kMaxBufferedBody.
  bool IsServed() const { return parser_->get().result() == http::status::ok; }

  // The parser puts the next part of the body into these bytes, which have to live until it has.
  void SetBodyBuffer(char* bytes, std::size_t size);
  // How much of that buffer is not filled.
  std::size_t body_buffer_left() const { return parser_->get().body().size; }
  bool IsComplete() const { return parser_->is_done(); }

  // Once complete: whether another request may follow on the connection.
  bool KeepsConnection() const { return parser_->get().keep_alive() && !parser_->need_eof(); }
  // Moves the head out, as of a response without its body.
  HttpResponse TakeHead();

  // Frees what the last exchange needed.
  void Clear() { parser_.reset(); }

 private:
  std::optional<Parser> parser_;
  int interim_responses_ = 0;  // to this request
};

}  // namespace lb::sidecar
