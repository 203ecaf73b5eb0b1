// Checks the state of a connection without consuming data from it, and resets connections.
#pragma once

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <cerrno>

namespace lb::lab {

enum class SocketState {
  kNoData,  // open, no data to read
  kData,    // data to read
  kEnded,   // the peer has closed its sending side, or the connection failed
};

inline SocketState PeekSocketState(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t size = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) return SocketState::kData;
  const bool quiet = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return quiet ? SocketState::kNoData : SocketState::kEnded;
}

// Closes the connection with a TCP reset instead of an orderly shutdown.
inline void ResetConnection(boost::asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace lb::lab
