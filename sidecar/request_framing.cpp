#include "sidecar/request_framing.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace lb::sidecar {
namespace {

using boost::beast::string_view;
using boost::system::error_code;

bool MayBeginWith(string_view bytes, string_view method) {
  const auto size = std::min(bytes.size(), method.size());
  return bytes.substr(0, size) == method.substr(0, size);
}

string_view Bytes(const boost::beast::flat_buffer& buffer) {
  return {static_cast<const char*>(buffer.data().data()), buffer.data().size()};
}

}  // namespace

HeadScan ScanHead(string_view bytes, std::size_t& scanned) {
  if (!MayBeginWith(bytes, "GET ") && !MayBeginWith(bytes, "POST ")) return HeadScan::kMalformed;
  // A line end is checked together with the byte after it, so the last byte is left for the next scan.
  for (; scanned + 1 < bytes.size(); ++scanned) {
    const char byte = bytes[scanned];
    const char next = bytes[scanned + 1];
    if (byte == '\0' || (byte == '\r') != (next == '\n')) return HeadScan::kMalformed;
    if (byte != '\n') continue;
    const bool folded = next == ' ' || next == '\t';
    if (folded) return HeadScan::kMalformed;
    if (next != '\r') continue;
    if (scanned + 2 >= bytes.size()) return HeadScan::kPartial;
    return bytes[scanned + 2] == '\n' ? HeadScan::kComplete : HeadScan::kMalformed;
  }
  return bytes.size() < kMaxHeaderSize ? HeadScan::kPartial : HeadScan::kMalformed;
}

std::size_t EmptyLineLength(string_view bytes) {
  if (bytes.empty() || bytes[0] != '\r') return 0;
  return bytes.size() > 1 && bytes[1] == '\n' ? 2 : 1;
}

string_view OriginForm(string_view target) {
  static constexpr string_view kScheme = "http://";
  if (!boost::beast::iequals(target.substr(0, kScheme.size()), kScheme)) return target;
  const auto path = target.find('/', kScheme.size());
  return path == string_view::npos ? "/" : target.substr(path);
}

void RequestFraming::StartRequest() {
  parser_.emplace();
  parser_->body_limit(kMaxStreamedBody);
  parser_->header_limit(kMaxHeaderSize);
  head_ = {};
  scanned_ = 0;
  request_began_ = false;
  skipped_empty_line_ = false;
  head_checked_ = false;
}

RequestFraming::Step RequestFraming::Next(boost::beast::flat_buffer& buffer, Piece& piece) {
  Step step;
  if (!parser_->is_header_done()) {
    if (SkipEmptyLine(buffer, step)) return step;
    step.request_began = !request_began_;
    request_began_ = true;
    any_request_began_ = true;
    if (!CheckHeadBytes(Bytes(buffer), step)) return step;
  }
  Parse(buffer, piece, step);
  return step;
}

// Skips one empty line before a request (RFC 9112, 2.2). An empty line alone does not begin a request: the
// connection stays idle.
bool RequestFraming::SkipEmptyLine(boost::beast::flat_buffer& buffer, Step& step) {
  if (scanned_ > 0 || skipped_empty_line_) return false;
  const std::size_t length = EmptyLineLength(Bytes(buffer));
  const bool partial = length == 1 && buffer.size() == 1;
  if (partial) return true;
  if (length < 2) return false;
  skipped_empty_line_ = true;
  buffer.consume(length);
  step.outcome = Outcome::kProgress;
  return true;
}

bool RequestFraming::CheckHeadBytes(string_view bytes, Step& step) {
  const HeadScan scan = ScanHead(bytes, scanned_);
  if (scan == HeadScan::kMalformed) {
    step.outcome = Outcome::kFault;
    step.fault = {http::status::bad_request, "bad request head"};
  }
  return scan == HeadScan::kComplete;
}

void RequestFraming::Parse(boost::beast::flat_buffer& buffer, Piece& piece, Step& step) {
  // The head is parsed in a call of its own: Beast 1.74 does not report that a body exceeds the limit if the
  // start of the body is parsed together with the head.
  parser_->eager(parser_->is_header_done());
  parser_->get().body() = {piece, sizeof piece, true};
  error_code error;
  const std::size_t used = parser_->put(buffer.data(), error);
  buffer.consume(used);
  if (error == http::error::need_more || error == http::error::need_buffer) error = {};
  std::optional<RequestFault> fault;
  if (error == http::error::body_limit) {
    fault = RequestFault{http::status::payload_too_large, "body too large"};
  } else if (error) {
    fault = RequestFault{http::status::bad_request, error.message()};
  } else if (parser_->is_header_done() && !head_checked_) {
    head_checked_ = true;
    step.head_complete = true;
    StoreHead();
    fault = CheckParsedHead();
  }
  if (fault) {
    step.outcome = Outcome::kFault;
    step.fault = *fault;
    return;
  }
  step.body = {piece, sizeof piece - parser_->get().body().size};
  if (parser_->is_done()) {
    head_.Append(parser_->get());
    step.outcome = Outcome::kRequestComplete;
  } else if (used > 0) {
    step.outcome = Outcome::kProgress;
  } else if (buffer.size() == buffer.max_size()) {
    step.outcome = Outcome::kFault;
    step.fault = {http::status::bad_request, "chunk line or trailers too long"};
  }
}

// Afterwards the parser has no fields; it adds those of the trailers.
void RequestFraming::StoreHead() {
  http::request_header<>& parsed = parser_->get().base();
  head_ = ToRequestHead(parsed, budget_);
  parsed.clear();
  parsed.target({});
}

std::optional<RequestFault> RequestFraming::CheckParsedHead() {
  if (const char* reason = FramingFault(head())) return RequestFault{http::status::bad_request, reason};
  if (parser_->content_length().value_or(0) > kMaxStreamedBody) {
    return RequestFault{http::status::payload_too_large, "body too large"};
  }
  return std::nullopt;
}

std::optional<RequestFault> RequestFraming::CheckComplete(string_view next_bytes) const {
  if (const char* reason = FramingFault(head())) return RequestFault{http::status::bad_request, reason};
  const string_view next = next_bytes.substr(EmptyLineLength(next_bytes));
  std::size_t scanned = 0;
  if (!next.empty() && ScanHead(next, scanned) == HeadScan::kMalformed) {
    return RequestFault{http::status::bad_request, "no request behind the body"};
  }
  return std::nullopt;
}

}  // namespace lb::sidecar
