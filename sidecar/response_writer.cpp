#include "sidecar/response_writer.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "sidecar/socket_io.h"

namespace lb::sidecar {
namespace {

using boost::beast::string_view;
using boost::system::error_code;

constexpr string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr string_view kProcessing = "HTTP/1.1 102 Processing\r\n\r\n";
// What each response to an HTTP/1.0 client begins with.
constexpr string_view kStatusLineStart = "HTTP/1.0 ";
// Bounds the kernel's send buffer, in bytes. With the default, several megabytes to a stalled reader look
// delivered.
constexpr int kStreamSendBuffer = 64 * 1024;

}  // namespace

ResponseWriter::ResponseWriter(Socket& socket, OnFinished on_finished)
    : socket_(socket), stream_(socket), on_finished_(std::move(on_finished)) {}

std::optional<std::size_t> ResponseWriter::WriteNow(string_view text) {
  std::size_t written = 0;
  while (written < text.size()) {
    const auto rest = text.substr(written);
    const IoResult result = WriteSome(socket_.native_handle(), rest.data(), rest.size());
    if (result.status == IoStatus::kBroken) return std::nullopt;
    if (result.status != IoStatus::kDone) break;
    written += result.size;
  }
  return written;
}

void ResponseWriter::WriteContinue() {
  const std::size_t written = WriteNow(kContinue).value_or(kContinue.size());
  owed_interim_ = std::string(kContinue.substr(written));
}

bool ResponseWriter::WriteProbe() {
  const bool has_interim = version_ >= 11;
  const string_view probe = has_interim ? kProcessing : kStatusLineStart.substr(sent_ahead_, 1);
  const auto written = WriteNow(probe);
  if (!written) return false;
  if (!has_interim) {
    sent_ahead_ += *written;
  } else if (*written > 0) {
    owed_interim_ = std::string(probe.substr(*written));
  }
  return true;
}

bool ResponseWriter::CanWriteProbe() const {
  return version_ >= 11 ? owed_interim_.empty() : sent_ahead_ < kStatusLineStart.size();
}

bool ResponseWriter::IsDelimited(const BodyStream& body) const { return body.length() || version_ >= 11; }

void ResponseWriter::WriteWhole(HttpResponse response, bool keep_alive) {
  response_ = std::move(response);
  response_.version(version_);
  response_.keep_alive(keep_alive);
  response_.prepare_payload();
  serializer_.emplace(response_);
  // May come first: a close of the connection, which abandons the response.
  AfterInterim([this] {
    http::async_write(stream_, *serializer_,
                      [this, owner = owner_.lock()](error_code error, std::size_t) { HandleWritten(error); });
  });
}

void ResponseWriter::WriteStreamed(HttpResponse head, Body body, bool keep_alive) {
  body_ = std::move(body);
  response_ = std::move(head);
  response_.version(version_);
  response_.keep_alive(keep_alive);
  if (IsChunked()) response_.chunked(true);
  if (body_->length()) response_.content_length(body_->length());
  error_code ignored;
  socket_.set_option(boost::asio::socket_base::send_buffer_size(kStreamSendBuffer), ignored);
  // May come at any time while there is a body: during a write, which then goes on by itself, and after the
  // connection was closed, which has taken the body away.
  body_->on_data = [this, weak = owner_] {
    const auto owner = weak.lock();
    if (owner && body_ && !writing_piece_) WritePiece();
  };
  serializer_.emplace(response_);
  serializer_->split(true);
  writing_piece_ = true;
  piece_began_at_ = Now();
  // May come first: more of the body, its end or its abort, which are seen once the head is written; a close.
  AfterInterim([this] {
    http::async_write_header(
        stream_, *serializer_,
        [this, owner = owner_.lock()](error_code error, std::size_t) { ContinueStream(error); });
  });
}

void ResponseWriter::Abandon() {
  abandoned_ = true;
  if (!body_) return;
  body_->on_data = nullptr;
  const Body left = std::move(body_);
  body_ = nullptr;
  left->AbandonByReader();
}

// The rest of an interim response goes ahead of the response, and the response's own first bytes may have
// gone out as probes.
void ResponseWriter::AfterInterim(std::function<void()> write) {
  SkipBytesSentAhead();
  if (owed_interim_.empty()) return write();
  // May come first: a close of the connection, or events of the body, which wait for the response's head.
  boost::asio::async_write(
      stream_, boost::asio::buffer(owed_interim_),
      [this, owner = owner_.lock(), write = std::move(write)](error_code error, std::size_t) {
        if (abandoned_) return;
        if (error) return Finish(Outcome::kConnectionBroken);
        owed_interim_.clear();
        write();
      });
}

void ResponseWriter::SkipBytesSentAhead() {
  if (sent_ahead_ == 0) return;
  error_code ignored;
  serializer_->next(ignored, [](error_code&, const auto&) {});
  serializer_->consume(sent_ahead_);
  sent_ahead_ = 0;
}

void ResponseWriter::ContinueStream(error_code error) {
  if (abandoned_) return;
  if (error) return Finish(Outcome::kConnectionBroken);
  WritePiece();
}

void ResponseWriter::WritePiece() {
  writing_piece_ = false;
  if (body_->broken()) return Finish(Outcome::kBodyAborted);
  if (body_->ended()) return WriteEnd();
  piece_ = body_->Read();
  if (piece_.empty()) return;  // on_data tells of more
  writing_piece_ = true;
  piece_began_at_ = Now();
  // May come first: more of the body, its end or its abort, which are seen once this piece is written; a
  // close.
  const auto written = [this, owner = owner_.lock()](error_code error, std::size_t) {
    ContinueStream(error);
  };
  const auto bytes = boost::asio::buffer(piece_);
  if (IsChunked()) return boost::asio::async_write(stream_, http::make_chunk(bytes), written);
  boost::asio::async_write(stream_, bytes, written);
}

void ResponseWriter::WriteEnd() {
  if (!IsChunked()) return Finish(Outcome::kWritten);
  writing_piece_ = true;
  piece_began_at_ = Now();
  // May come first: a close of the connection.
  boost::asio::async_write(
      stream_, http::make_chunk_last(),
      [this, owner = owner_.lock()](error_code error, std::size_t) { HandleWritten(error); });
}

void ResponseWriter::HandleWritten(error_code error) {
  if (abandoned_) return;
  Finish(error ? Outcome::kConnectionBroken : Outcome::kWritten);
}

// Whatever broke leaves the body to Abandon(), which the close of the connection calls.
void ResponseWriter::Finish(Outcome outcome) {
  if (outcome == Outcome::kWritten) {
    if (body_) body_->on_data = nullptr;
    body_ = nullptr;
    serializer_.reset();
    piece_ = {};
    writing_piece_ = false;
    response_ = {};
  }
  on_finished_(outcome);
}

}  // namespace lb::sidecar
