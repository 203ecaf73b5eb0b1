// Single read and write calls on non-blocking sockets, which retry interrupted calls and classify errors.
// Asio's synchronous calls do not retry: they return EINTR to the caller like any other error.
#pragma once

#include <sys/uio.h>

#include <boost/system/error_code.hpp>
#include <cstddef>

namespace lb::sidecar {

enum class IoStatus {
  kDone,            // transferred `size` bytes: at least one, possibly fewer than requested
  kWouldBlock,      // nothing can be transferred now
  kEnd,             // reads only: the peer has closed or half-closed the connection
  kMemoryShortage,  // memory is short (ENOBUFS, ENOMEM), but the connection is intact: retry later
  kBroken,          // the connection has failed with `error`
};

struct IoResult {
  IoStatus status = IoStatus::kBroken;
  std::size_t size = 0;
  boost::system::error_code error{};
};

// True for an error that means a temporary shortage of memory on this machine, not a fault of the connection.
bool IsMemoryShortage(const boost::system::error_code& error);

IoResult ReadSome(int socket, void* bytes, std::size_t size);
// Checks for input without consuming it: kDone if there is some, kWouldBlock if there is none yet.
IoResult Peek(int socket);
IoResult WriteSome(int socket, const void* bytes, std::size_t size);
// Writes as much as possible of `count` consecutive buffers, at least one of which must not be empty.
IoResult WriteParts(int socket, iovec* parts, std::size_t count);

// Returns the poll(2) events that are set now, out of `events`, POLLERR and POLLHUP. Does not wait.
short PollNow(int socket, short events);

}  // namespace lb::sidecar
