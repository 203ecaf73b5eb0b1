#include "sidecar/request_writer.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace lb::sidecar {

using boost::system::error_code;

void RequestWriter::Compose(const HttpRequest& request, Body body, Duration timeout) {
  body_ = std::move(body);
  is_complete_ = false;
  message_.emplace(request.method(), request.target(), 11);
  message_->base() = request.base();
  message_->version(11);
  const auto timeout_ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  message_->set("X-Timeout-Ms", std::to_string(std::max<std::int64_t>(timeout_ms, 1)));
  if (!body_) {
    message_->body() = {request.body().data(), request.body().size()};
    message_->prepare_payload();
  } else if (body_->length()) {
    message_->content_length(body_->length());
  } else {
    message_->chunked(true);
  }
  serializer_.emplace(*message_);
}

std::function<void(error_code, std::size_t)> RequestWriter::BeginWrite(OnWritten on_written, LastByte last) {
  is_writing_ = true;
  pending_end_ = last;
  return [this, last, on_written = std::move(on_written)](error_code error, std::size_t) {
    is_writing_ = false;
    is_complete_ = body_ ? last == LastByte::kIncluded && !error : serializer_->is_done();
    FreeHead();
    on_written(error);
  };
}

// The head, once written, is not needed any more, and the response may take long.
void RequestWriter::FreeHead() {
  serializer_.reset();
  message_.reset();
}

void RequestWriter::WriteHead(OnWritten on_written) {
  auto on_completed = BeginWrite(std::move(on_written), body_ ? LastByte::kFollows : LastByte::kIncluded);
  if (body_) {
    http::async_write_header(stream_, *serializer_, std::move(on_completed));
  } else {
    http::async_write(stream_, *serializer_, std::move(on_completed));
  }
}

RequestWriter::NextPiece RequestWriter::TakeNextPiece() {
  if (body_->aborted()) return NextPiece::kAbandoned;
  piece_ = body_->Read();
  const bool is_chunked = !body_->length();
  const bool is_last = body_->fully_read() && (piece_.empty() || !is_chunked);
  piece_end_ = is_last ? LastByte::kIncluded : LastByte::kFollows;
  if (!piece_.empty()) return NextPiece::kTaken;
  if (!is_last) return NextPiece::kAwaited;
  if (is_chunked) return NextPiece::kTaken;
  is_complete_ = true;
  return NextPiece::kNone;
}

void RequestWriter::WritePiece(OnWritten on_written) {
  auto on_completed = BeginWrite(std::move(on_written), piece_end_);
  const bool is_chunked = !body_->length();
  const auto bytes = boost::asio::buffer(piece_.data(), piece_.size());
  if (!is_chunked) {
    boost::asio::async_write(stream_, bytes, std::move(on_completed));
  } else if (piece_.empty()) {
    boost::asio::async_write(stream_, http::make_chunk_last(), std::move(on_completed));
  } else {
    boost::asio::async_write(stream_, http::make_chunk(bytes), std::move(on_completed));
  }
}

void RequestWriter::Clear() {
  FreeHead();
  body_ = nullptr;
  piece_.Clear();
  is_complete_ = false;
}

}  // namespace lb::sidecar
