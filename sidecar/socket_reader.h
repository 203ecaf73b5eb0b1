// Asynchronous reads from a socket; the counterpart of WriteStream. Handles interrupted calls, spurious
// wake-ups and temporary shortages of memory, so that its owner only gets bytes, the end of the input, or a
// broken connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <functional>

#include "sidecar/socket_io.h"

namespace lb::sidecar {

// One read at a time, on a socket that is open and non-blocking. The socket and the reader must live until
// the read has completed, so the handler should own the object that contains them.
class SocketReader {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using Handler = std::function<void(const IoResult&)>;

  explicit SocketReader(Socket& socket) : socket_(socket), shortage_pause_(socket.get_executor()) {}

  // Waits for input and appends it to `buffer`: at most `limit` bytes, and no more than fit into the buffer's
  // max_size(); neither bound may be 0. Space in the buffer is allocated only when there is input, because
  // most connections of a sidecar are idle.
  //
  // Calls `handler` once, from the event loop, with kDone and the number of bytes, kEnd if the peer has ended
  // its output, or kBroken. Until then the owner may close the socket, which completes the read as kBroken,
  // and may consume from `buffer`, but must not add to it.
  void Read(boost::beast::flat_buffer& buffer, std::size_t limit, Handler handler);

  // A read has started and its handler has not been called yet.
  bool IsReading() const { return reading_; }

 private:
  void WaitUntilReadable(boost::beast::flat_buffer& buffer, std::size_t limit, Handler handler);
  void ReadOnce(boost::beast::flat_buffer& buffer, std::size_t limit, Handler handler);
  void PauseAfterShortage(boost::beast::flat_buffer& buffer, std::size_t limit, Handler handler);
  void Complete(const IoResult& result, const Handler& handler);

  Socket& socket_;
  boost::asio::steady_timer shortage_pause_;
  bool reading_ = false;
};

}  // namespace lb::sidecar
