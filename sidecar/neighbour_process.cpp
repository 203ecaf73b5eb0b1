#include "sidecar/neighbour_process.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

#include "sidecar/hot_restart_messages.h"

namespace lb::sidecar {
namespace {

using boost::system::error_code;

// Limits the bytes that are kept of a line without a newline; the rest of the line is dropped. An override's
// stored form with its sign is shorter.
constexpr std::size_t kMaxLineBytes = std::size_t{128} * 1024;
// A piece of SendInPieces() has about this many bytes.
constexpr std::size_t kPieceBytes = std::size_t{64} * 1024;

}  // namespace

void NeighbourProcess::Watch(Handlers handlers) {
  handlers_ = std::move(handlers);
  Read();
}

void NeighbourProcess::Send(const std::string& text) {
  if (closed_ || unsent_.size() + text.size() > kMaxUnsentBytes) return;
  unsent_ += text;
  if (sending_.empty()) Write();
}

void NeighbourProcess::SendInPieces(std::string lines) {
  if (closed_) return;
  pieces_ = std::move(lines);
  pieces_sent_ = 0;
  if (sending_.empty()) Write();
}

std::string NeighbourProcess::TakePiece() {
  const std::size_t end = pieces_.find('\n', pieces_sent_ + kPieceBytes);
  const std::size_t size = end == std::string::npos ? std::string::npos : end + 1 - pieces_sent_;
  std::string piece = pieces_.substr(pieces_sent_, size);
  pieces_sent_ += piece.size();
  if (pieces_sent_ < pieces_.size()) return piece;
  pieces_ = std::string();
  pieces_sent_ = 0;
  return piece;
}

void NeighbourProcess::Close() {
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
}

void NeighbourProcess::Read() {
  socket_.async_read_some(boost::asio::buffer(read_buffer_),
                          [self = shared_from_this()](error_code error, std::size_t size) {
                            if (self->closed_) return;
                            if (error) return self->handlers_.on_closed();
                            self->HandleBytes(size);
                            if (!self->closed_) self->Read();
                          });
}

void NeighbourProcess::HandleBytes(std::size_t size) {
  for (std::size_t i = 0; i < size && !closed_; ++i) {
    const char c = read_buffer_[i];
    if (partial_line_.empty() && c == kServesByte) {
      handlers_.on_serves();
    } else if (c == '\n') {
      const std::string line = std::move(partial_line_);
      partial_line_.clear();
      handlers_.on_line(line);
    } else if (partial_line_.size() < kMaxLineBytes) {
      partial_line_ += c;
    }
  }
}

void NeighbourProcess::Write() {
  sending_ = std::move(unsent_);
  unsent_.clear();
  if (sending_.empty()) sending_ = TakePiece();
  if (sending_.empty()) return;
  boost::asio::async_write(socket_, boost::asio::buffer(sending_),
                           [self = shared_from_this()](error_code error, std::size_t) {
                             self->sending_.clear();
                             if (!error && !self->closed_) self->Write();
                           });
}

}  // namespace lb::sidecar
