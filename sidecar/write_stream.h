// Asynchronous writes to a socket, for the composed operations of Asio and Beast; the counterpart of
// SocketReader. Replaces Asio's own writes for two reasons. Asio treats a short write as a full send buffer
// and waits for an edge-triggered epoll event, which never occurs while the buffer has space. And it reports
// a temporary shortage of memory as a broken connection.
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

// An AsyncWriteStream on a socket that is open and non-blocking. One write at a time. The socket and this
// object must live until the write has completed.
class WriteStream {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using executor_type = Socket::executor_type;  // NOLINT(readability-identifier-naming): Asio's name

  explicit WriteStream(Socket& socket) : socket_(socket), pause_(socket.get_executor()) {}

  executor_type get_executor() { return socket_.get_executor(); }

  // Writes at once as much as the system takes, and waits if it takes nothing. Completes from the event loop,
  // never from within the call. If the socket is closed while the operation waits, it completes with an
  // error.
  template <typename Buffers, typename Handler>
  auto async_write_some(const Buffers& buffers, Handler&& handler) {
    return boost::asio::async_compose<Handler, void(boost::system::error_code, std::size_t)>(
        Write(*this, buffers), handler, socket_);
  }

 private:
  // Maximum number of buffers in one write; any further ones are left for the next write.
  static constexpr std::size_t kMaxParts = 16;
  // Pause before a retry after ENOBUFS or ENOMEM. The socket is still writable, so an immediate retry would
  // only spin.
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
      WriteStream& stream = *stream_;  // `this` is moved from below
      // In each of the three cases the socket may be closed first, which ends the wait with an error.
      if (result_.status == IoStatus::kWouldBlock) {
        stream.socket_.async_wait(Socket::wait_write, std::move(operation));
      } else if (result_.status == IoStatus::kMemoryShortage) {
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
