#include "sidecar/socket_io.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace lb::sidecar {
namespace {

// `call` until it is not interrupted; `end`: what no bytes mean.
template <typename Call>
IoResult Do(Call call, IoStatus end) {
  ssize_t size = 0;
  do {
    size = call();
  } while (size < 0 && errno == EINTR);
  if (size > 0) return {IoStatus::kDone, static_cast<std::size_t>(size)};
  if (size == 0) return {end};
  const boost::system::error_code error(errno, boost::system::system_category());
  if (errno == EAGAIN || errno == EWOULDBLOCK) return {IoStatus::kWouldBlock, 0, error};
  return {IsShortage(error) ? IoStatus::kShortage : IoStatus::kBroken, 0, error};
}

}  // namespace

bool IsShortage(const boost::system::error_code& error) {
  return error.category() == boost::system::system_category() &&
         (error.value() == ENOBUFS || error.value() == ENOMEM);
}

IoResult ReadSome(int socket, void* bytes, std::size_t size) {
  return Do([&] { return ::recv(socket, bytes, size, 0); }, IoStatus::kEnd);
}

IoResult Peek(int socket) {
  char byte = 0;
  return Do([&] { return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT); }, IoStatus::kEnd);
}

IoResult WriteSome(int socket, const void* bytes, std::size_t size) {
  return Do([&] { return ::send(socket, bytes, size, MSG_NOSIGNAL); }, IoStatus::kWouldBlock);
}

IoResult WriteParts(int socket, iovec* parts, std::size_t count) {
  msghdr message{};
  message.msg_iov = parts;
  message.msg_iovlen = count;
  return Do([&] { return ::sendmsg(socket, &message, MSG_NOSIGNAL); }, IoStatus::kWouldBlock);
}

short PollNow(int socket, short events) {
  pollfd look{socket, events, 0};
  int ready = 0;
  do {
    look.revents = 0;
    ready = ::poll(&look, 1, 0);
  } while (ready < 0 && errno == EINTR);
  return ready > 0 ? look.revents : static_cast<short>(0);
}

}  // namespace lb::sidecar
