// Reads what a peer sends: the counterpart of WriteStream. Interruptions, spurious wake-ups and passing
// shortages of memory are dealt with here, so that a reader's owner sees bytes, the end of them, or a
// broken connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>
#include <functional>

#include "sidecar/socket_io.h"

namespace lb::sidecar {

// One read at a time, on a socket that is open and not blocking. The socket and the reader have to live until
// the read has ended: the handler should own the object that holds them.
class SocketReader {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using Handler = std::function<void(const IoResult&)>;

  explicit SocketReader(Socket& socket) : socket_(socket), shortage_pause_(socket.get_executor()) {}

  // Waits until bytes have come and appends them to `buffer`: at most `limit` (bytes), and no more than the
  // buffer's max_size() leaves; neither may be 0. Memory is taken from the buffer only once there is
  // something to read: most of the connections of a sidecar are idle.
  //
  // Calls `handler` once, from the event loop: kDone with the number of bytes, kEnd where the peer has ended
  // its sending, or kBroken. Before that the owner may close the socket, which ends the read as kBroken, and
  // may consume from `buffer`, but must not add to it.
  void Read(boost::beast::flat_buffer& buffer, std::size_t limit, Handler handler);

  // A read was begun and its handler has not been called.
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
