// Writes on a socket for the composed operations of Asio and Beast: the counterpart of SocketReader. Asio
// itself takes a short write for a full send buffer and waits for an edge of epoll, which never comes while
// there is capacity; and it reports a passing shortage of memory as if the connection were broken.
#pragma once

#include <sys/uio.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstddef>
#include <utility>

#include "sidecar/socket_io.h"

namespace lb::sidecar {

// An AsyncWriteStream on a socket that is open and not blocking. One write at a time; both have to live until
// it has ended.
class WriteStream {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using executor_type = Socket::executor_type;  // NOLINT(readability-identifier-naming): Asio's name

  explicit WriteStream(Socket& socket) : socket_(socket), pause_(socket.get_executor()) {}

  executor_type get_executor() { return socket_.get_executor(); }

  // Tries at once, and completes from the event loop, never from within. A socket that is closed meanwhile
  // ends it with an error.
  template <typename Buffers, typename Handler>
  auto async_write_some(const Buffers& buffers, Handler&& handler) {
    return boost::asio::async_compose<Handler, void(boost::system::error_code, std::size_t)>(
        Write(*this, buffers), handler, socket_);
  }

 private:
  // Buffers of one write; the rest is left for the next one.
  static constexpr std::size_t kMaxParts = 16;
  // After ENOBUFS or ENOMEM the socket is writable, so an immediate retry would only spin.
  static constexpr auto kShortagePause = std::chrono::milliseconds(5);

  class Write {
   public:
    template <typename Buffers>
    Write(WriteStream& stream, const Buffers& buffers) : stream_(&stream) {
      const auto end = boost::asio::buffer_sequence_end(buffers);
      for (auto it = boost::asio::buffer_sequence_begin(buffers); it != end && count_ < kMaxParts; ++it) {
        const boost::asio::const_buffer part(*it);
        if (part.size() > 0) parts_[count_++] = {const_cast<void*>(part.data()), part.size()};
      }
    }

    template <typename Operation>
    void operator()(Operation& operation, boost::system::error_code error = {}) {
      if (ended_ || error) return operation.complete(error ? error : result_.error, result_.size);
      result_ = count_ > 0 ? WriteParts(stream_->socket_.native_handle(), parts_.data(), count_)
                           : IoResult{IoStatus::kDone};
      WriteStream& stream = *stream_;  // this is moved away below
      // May come first, in each of the three: a close of the socket, which ends the wait with an error.
      if (result_.status == IoStatus::kWouldBlock) {
        stream.socket_.async_wait(Socket::wait_write, std::move(operation));
      } else if (result_.status == IoStatus::kShortage) {
        stream.pause_.expires_after(kShortagePause);
        stream.pause_.async_wait(std::move(operation));
      } else {
        ended_ = true;
        boost::asio::post(stream.get_executor(), std::move(operation));
      }
    }

   private:
    WriteStream* stream_;
    std::array<iovec, kMaxParts> parts_{};
    std::size_t count_ = 0;
    IoResult result_;
    bool ended_ = false;
  };

  Socket& socket_;
  boost::asio::steady_timer pause_;
};

}  // namespace lb::sidecar
