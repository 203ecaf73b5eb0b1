// Single reads and writes on sockets that are not blocking, with interruptions handled and errors told apart.
// Asio's synchronous calls hand EINTR to the caller as an error like any other.
#pragma once

#include <sys/uio.h>

#include <boost/system/error_code.hpp>
#include <cstddef>

namespace lb::sidecar {

enum class IoStatus {
  kDone,        // `size` bytes, one at least; perhaps fewer than asked for
  kWouldBlock,  // nothing can be moved now
  kEnd,         // reads only: the peer has ended its sending
  kShortage,    // the machine is short of memory (ENOBUFS, ENOMEM): the connection stands, it may work soon
  kBroken,      // the connection is over, as `error` says
};

struct IoResult {
  IoStatus status = IoStatus::kBroken;
  std::size_t size = 0;
  boost::system::error_code error{};
};

// True for a shortage of memory of this machine: it passes, and says nothing about the connection.
bool IsShortage(const boost::system::error_code& error);

IoResult ReadSome(int socket, void* bytes, std::size_t size);
// Whether there is something to read; takes nothing.
IoResult Peek(int socket);
IoResult WriteSome(int socket, const void* bytes, std::size_t size);
// Some of `count` parts, at least one of which is not empty.
IoResult WriteParts(int socket, iovec* parts, std::size_t count);

// Which of `events` (as for poll(2)) hold now, POLLERR and POLLHUP always among them.
short PollNow(int socket, short events);

}  // namespace lb::sidecar
