#include "sidecar/neighbour_process.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

#include "sidecar/hot_restart_messages.h"

namespace lb::sidecar {
namespace {

using boost::system::error_code;

// Bounds what is held of a line that does not end, in bytes. An override's stored form and its sign are
// shorter.
constexpr std::size_t kMaxLineLength = std::size_t{128} * 1024;

}  // namespace

void NeighbourProcess::Watch(Handlers handlers) {
  handlers_ = std::move(handlers);
  Read();
}

void NeighbourProcess::Send(const std::string& text) {
  if (closed_ || unsent_.size() + text.size() > kMaxUnsent) return;
  unsent_ += text;
  if (sending_.empty()) Write();
}

void NeighbourProcess::Close() {
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
}

void NeighbourProcess::Read() {
  socket_.async_read_some(boost::asio::buffer(part_),
                          [self = shared_from_this()](error_code error, std::size_t size) {
                            if (self->closed_) return;
                            if (error) return self->handlers_.on_closed();
                            self->HandleBytes(size);
                            if (!self->closed_) self->Read();
                          });
}

void NeighbourProcess::HandleBytes(std::size_t size) {
  for (std::size_t i = 0; i < size && !closed_; ++i) {
    const char c = part_[i];
    if (line_.empty() && c == kServesByte) {
      handlers_.on_serves();
    } else if (c == '\n') {
      const std::string line = std::move(line_);
      line_.clear();
      handlers_.on_line(line);
    } else if (line_.size() < kMaxLineLength) {
      line_ += c;
    }
  }
}

void NeighbourProcess::Write() {
  sending_ = std::move(unsent_);
  unsent_.clear();
  boost::asio::async_write(socket_, boost::asio::buffer(sending_),
                           [self = shared_from_this()](error_code error, std::size_t) {
                             self->sending_.clear();
                             if (!error && !self->closed_ && !self->unsent_.empty()) self->Write();
                           });
}

}  // namespace lb::sidecar
