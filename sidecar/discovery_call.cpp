#include "sidecar/discovery_call.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdint>

namespace lb::sidecar {
namespace {

using boost::system::error_code;

// A larger response is treated as corrupt.
constexpr std::uint64_t kMaxListBytes = std::uint64_t{4} * 1024 * 1024;

}  // namespace

void DiscoveryCall::Start(const std::string& target, Duration timeout) {
  request_ = {http::verb::get, target, 11};
  request_.set(http::field::host, "discovery");
  parser_.reset();
  stream_.expires_after(timeout);
  if (connected_) return Write();
  stream_.async_connect(endpoint_, [self = shared_from_this()](error_code error) {
    if (self->observer_ == nullptr) return;
    if (error) return self->Fail(error);
    self->connected_ = true;
    self->Write();
  });
}

std::size_t DiscoveryCall::Progress() {
  error_code ignored;
  const std::size_t unread = connected_ ? stream_.socket().available(ignored) : 0;
  const std::size_t parsed = parser_ && parser_->got_some() ? 1 + parser_->get().body().size() : 0;
  return unread + buffer_.size() + parsed;
}

void DiscoveryCall::Drop() {
  observer_ = nullptr;
  stream_.close();
}

void DiscoveryCall::Fail(error_code error) {
  observer_->HandleFailure(*this, {DiscoveryFailure::Kind::kBroken, error.message()});
}

void DiscoveryCall::Write() {
  http::async_write(stream_, request_, [self = shared_from_this()](error_code error, std::size_t) {
    if (self->observer_ == nullptr) return;
    if (error) return self->Fail(error);
    self->ReadHeader();
  });
}

// The header is read separately because the parser applies the limit on the body size only to data read after
// the header.
void DiscoveryCall::ReadHeader() {
  parser_.emplace();
  parser_->body_limit(kMaxListBytes);
  http::async_read_header(stream_, buffer_, *parser_,
                          [self = shared_from_this()](error_code error, std::size_t) {
                            if (self->observer_ == nullptr) return;
                            if (error) return self->Fail(error);
                            self->ReadBody();
                          });
}

void DiscoveryCall::ReadBody() {
  http::async_read(stream_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
    if (self->observer_ == nullptr) return;
    if (error) return self->Fail(error);
    const auto response = self->parser_->release();
    if (!response.keep_alive()) self->connected_ = false;
    self->stream_.expires_never();
    if (response.result() == http::status::ok) {
      return self->observer_->HandleResponse(*self, response.body());
    }
    self->observer_->HandleFailure(
        *self, {DiscoveryFailure::Kind::kRefused, "status " + std::to_string(response.result_int())});
  });
}

}  // namespace lb::sidecar
