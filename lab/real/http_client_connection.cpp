#include "lab/real/http_client_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <chrono>
#include <utility>

#include "lab/real/socket_state.h"
#include "sidecar/clock.h"

namespace lb::lab {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

// If a reused connection ends within this time after a request was written, the sidecar's close may have
// crossed the request on the wire, and the sidecar may not have read the request.
constexpr Duration kCloseCrossingTime = std::chrono::milliseconds(200);

}  // namespace

HttpClientConnection::HttpClientConnection(boost::asio::io_context& io, const tcp::endpoint& sidecar,
                                           std::function<void()> on_idle_end)
    : socket_(io), sidecar_(sidecar), on_idle_end_(std::move(on_idle_end)) {}

void HttpClientConnection::Send(std::string message, OnEnd on_end) {
  message_ = std::move(message);
  on_end_ = std::move(on_end);
  if (is_connected_) return Write();
  // Close() may be called before the handler runs.
  socket_.async_connect(sidecar_, [self = shared_from_this()](error_code error) {
    if (self->is_closed_) return;
    if (error) return self->Finish(End::kNotConnected);
    self->is_connected_ = true;
    error_code ignored;
    self->socket_.set_option(tcp::no_delay(true), ignored);
    self->Write();
  });
}

void HttpClientConnection::Close() {
  if (is_closed_) return;
  is_closed_ = true;
  on_end_ = nullptr;
  on_idle_end_ = nullptr;
  error_code ignored;
  socket_.close(ignored);
}

bool HttpClientConnection::IsUsable() {
  return !is_closed_ && is_connected_ && PeekSocketState(socket_) == SocketState::kNoData;
}

void HttpClientConnection::Write() {
  // Close() may be called before the handler runs.
  boost::asio::async_write(socket_, boost::asio::buffer(message_),
                           [self = shared_from_this()](error_code error, std::size_t) {
                             if (self->is_closed_) return;
                             if (error) return self->HandleConnectionError(false);
                             self->written_at_ = sidecar::Now();
                             self->Read();
                           });
}

void HttpClientConnection::Read() {
  parser_.emplace();
  // Close() may be called before the handler runs.
  http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
    if (self->is_closed_) return;
    if (error) return self->HandleConnectionError(true);
    self->Finish(End::kAnswered);
  });
}

void HttpClientConnection::HandleConnectionError(bool is_written) {
  const bool has_begun = parser_ && parser_->got_some();
  if (has_begun) return Finish(End::kBroken);
  const bool has_crossed_close =
      exchanges_ > 0 && (!is_written || sidecar::Now() - written_at_ < kCloseCrossingTime);
  if (has_crossed_close) return Finish(End::kUnread);
  Finish(is_written ? End::kDropped : End::kBroken);
}

void HttpClientConnection::Finish(End end) {
  ++exchanges_;
  const auto on_end = std::exchange(on_end_, nullptr);
  Response response;
  bool is_kept = false;
  if (end == End::kAnswered) {
    is_kept = parser_->get().keep_alive() && !parser_->need_eof();
    response = parser_->release();
  }
  parser_.reset();
  const auto self = shared_from_this();
  if (is_kept) {
    WatchWhileIdle();
  } else {
    Close();
  }
  on_end(end, response);
}

void HttpClientConnection::WatchWhileIdle() {
  if (is_watching_) return;
  is_watching_ = true;
  // Close() may be called, or the next request sent, before the handler runs.
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    self->is_watching_ = false;
    if (error || self->is_closed_ || self->on_end_) return;
    const SocketState seen = PeekSocketState(self->socket_);
    if (seen == SocketState::kNoData) return self->WatchWhileIdle();
    const auto on_idle_end = self->on_idle_end_;
    self->Close();
    on_idle_end();
  });
}

}  // namespace lb::lab
