#include "sidecar/response_framing.h"

#include <utility>

namespace lb::sidecar {
namespace {

constexpr boost::beast::string_view kLoadReportField = "X-Server-Load";

// Limit on interim responses before the final one. More than these indicate a faulty upstream.
constexpr int kMaxInterimResponses = 8;

// Whether the end of the body is unambiguous: at most one of Content-Length and chunked coding, and only
// once. With neither, the body ends with the connection.
bool HasUnambiguousFraming(const ResponseHead& head) {
  const auto codings = head.count(http::field::transfer_encoding);
  const auto lengths = head.count(http::field::content_length);
  if (codings == 0) return lengths <= 1;
  return codings == 1 && lengths == 0 &&
         boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
}

}  // namespace

lb::Outcome ClassifyResponse(const ResponseHead& head) {
  const unsigned status = head.result_int();
  if (status == 200) return lb::Outcome::kServed;
  if ((status == 503 || status == 504) && head["X-Not-Processed"] == "1") return lb::Outcome::kRejected;
  return lb::Outcome::kError;
}

ResponseFraming::Parser& ResponseFraming::ExpectHead() {
  parser_.emplace();
  parser_->body_limit(kMaxStreamedBody);
  parser_->header_limit(kMaxHeaderSize);
  return *parser_;
}

// Afterwards the parser has no fields; it adds those of the trailers.
void ResponseFraming::StoreHead() {
  http::response_header<>& parsed = parser_->get().base();
  head_ = ToResponseHead(parsed, budget_);
  parsed.clear();
}

ResponseFraming::HeadAction ResponseFraming::ExamineHead(RequestProgress progress) {
  StoreHead();
  const unsigned status = parser_->get().result_int();
  if (status / 100 == 1) {
    // The sidecar never requests a protocol upgrade.
    if (status == static_cast<unsigned>(http::status::switching_protocols)) return HeadAction::kFail;
    ++interim_responses_;
    return interim_responses_ > kMaxInterimResponses ? HeadAction::kFail : HeadAction::kReadNextHead;
  }
  if (status != 200) return HeadAction::kCollectBody;
  if (progress == RequestProgress::kIncomplete || !HasUnambiguousFraming(head())) return HeadAction::kFail;
  if (!content_length()) return HeadAction::kHoldBackBody;
  return *content_length() > kMaxBufferedBody ? HeadAction::kStreamBody : HeadAction::kCollectBody;
}

void ResponseFraming::SetBodyBuffer(char* bytes, std::size_t size) {
  parser_->get().body() = {bytes, size, true};
}

HttpResponse ResponseFraming::TakeHead() {
  HttpResponse response;
  head_.Append(parser_->get());
  response.base() = std::move(head_);
  return response;
}

HttpResponse ResponseFraming::TakeHeadForStream() {
  ResponseHead rest;
  rest.version(head_.version());
  rest.result(head_.result_int());
  rest.set(kLoadReportField, head_[kLoadReportField]);
  HttpResponse response;
  response.base() = std::exchange(head_, std::move(rest));
  return response;
}

}  // namespace lb::sidecar
