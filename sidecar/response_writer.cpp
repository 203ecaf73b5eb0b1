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
// The start of every response to an HTTP/1.0 client.
constexpr string_view kStatusLineStart = "HTTP/1.0 ";
// The size of the kernel's send buffer, in bytes. With the default, several megabytes of a response to a
// stalled reader would count as delivered.
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
  pending_interim_ = std::string(kContinue.substr(written));
}

bool ResponseWriter::WriteProbe() {
  const bool has_interim = version_ >= 11;
  const string_view probe = has_interim ? kProcessing : kStatusLineStart.substr(status_line_bytes_sent_, 1);
  const auto written = WriteNow(probe);
  if (!written) return false;
  if (!has_interim) {
    status_line_bytes_sent_ += *written;
  } else if (*written > 0) {
    pending_interim_ = std::string(probe.substr(*written));
  }
  return true;
}

bool ResponseWriter::CanWriteProbe() const {
  return version_ >= 11 ? pending_interim_.empty() : status_line_bytes_sent_ < kStatusLineStart.size();
}

bool ResponseWriter::IsDelimited(const BodyStream& body) const { return body.length() || version_ >= 11; }

void ResponseWriter::WriteWhole(HttpResponse response, bool keep_alive) {
  response_ = std::move(response);
  response_.version(version_);
  response_.keep_alive(keep_alive);
  response_.prepare_payload();
  serializer_.emplace(response_);
  // A close of the connection before the write completes abandons the response.
  WriteAfterInterim([this] {
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
  // Called at any time while there is a body: also during a write, whose completion then continues with the
  // new data, and after the connection was closed, when `body_` is null.
  body_->on_data = [this, weak = owner_] {
    const auto owner = weak.lock();
    if (owner && body_ && !writing_piece_) WritePiece();
  };
  serializer_.emplace(response_);
  serializer_->split(true);
  writing_piece_ = true;
  piece_began_at_ = Now();
  // While the head is being written, more of the body, its end or its abort may arrive; they are handled when
  // the write completes. The connection may also be closed.
  WriteAfterInterim([this] {
    http::async_write_header(stream_, *serializer_,
                             [this, owner = owner_.lock()](error_code error, std::size_t) {
                               // The stream may last long, and its head is not needed any more.
                               serializer_.reset();
                               response_ = {};
                               ContinueStream(error);
                             });
  });
}

void ResponseWriter::Abandon() {
  abandoned_ = true;
  if (!body_) return;
  body_->on_data = nullptr;
  const Body abandoned_body = std::move(body_);
  body_ = nullptr;
  abandoned_body->AbandonByReader();
}

// Calls `write` after the rest of a pending interim response was sent. Bytes of the response that were
// already sent as probes are skipped.
void ResponseWriter::WriteAfterInterim(std::function<void()> write) {
  SkipSentStatusLineBytes();
  if (pending_interim_.empty()) return write();
  // Before the write completes, the connection may be closed, and events of the body may arrive; these are
  // handled after the response's head was written.
  boost::asio::async_write(
      stream_, boost::asio::buffer(pending_interim_),
      [this, owner = owner_.lock(), write = std::move(write)](error_code error, std::size_t) {
        if (abandoned_) return;
        if (error) return Finish(Outcome::kConnectionBroken);
        pending_interim_.clear();
        write();
      });
}

void ResponseWriter::SkipSentStatusLineBytes() {
  if (status_line_bytes_sent_ == 0) return;
  error_code ignored;
  serializer_->next(ignored, [](error_code&, const auto&) {});
  serializer_->consume(status_line_bytes_sent_);
  status_line_bytes_sent_ = 0;
}

void ResponseWriter::ContinueStream(error_code error) {
  if (abandoned_) return;
  if (error) return Finish(Outcome::kConnectionBroken);
  WritePiece();
}

void ResponseWriter::WritePiece() {
  writing_piece_ = false;
  if (body_->aborted()) return Finish(Outcome::kBodyAborted);
  if (body_->fully_read()) return WriteEnd();
  piece_ = body_->Read();
  if (piece_.empty()) return;  // on_data is called when there is more
  writing_piece_ = true;
  piece_began_at_ = Now();
  // While this piece is being written, more of the body, its end or its abort may arrive; they are handled
  // when the write completes. The connection may also be closed.
  const auto written = [this, owner = owner_.lock()](error_code error, std::size_t) {
    ContinueStream(error);
  };
  const auto bytes = boost::asio::buffer(piece_.data(), piece_.size());
  if (IsChunked()) return boost::asio::async_write(stream_, http::make_chunk(bytes), written);
  boost::asio::async_write(stream_, bytes, written);
}

void ResponseWriter::WriteEnd() {
  if (!IsChunked()) return Finish(Outcome::kWritten);
  writing_piece_ = true;
  piece_began_at_ = Now();
  // The connection may be closed before the write completes.
  boost::asio::async_write(
      stream_, http::make_chunk_last(),
      [this, owner = owner_.lock()](error_code error, std::size_t) { HandleWritten(error); });
}

void ResponseWriter::HandleWritten(error_code error) {
  if (abandoned_) return;
  Finish(error ? Outcome::kConnectionBroken : Outcome::kWritten);
}

// On a failure the body is kept: the close of the connection calls Abandon(), which abandons it.
void ResponseWriter::Finish(Outcome outcome) {
  if (outcome == Outcome::kWritten) {
    if (body_) body_->on_data = nullptr;
    body_ = nullptr;
    serializer_.reset();
    piece_.Clear();
    writing_piece_ = false;
    response_ = {};
  }
  on_finished_(outcome);
}

}  // namespace lb::sidecar
