#include "sidecar/socket_io.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace lb::sidecar {
namespace {

// Repeats `call` while it is interrupted, and classifies its result. `status_of_zero`: the status if no byte
// was transferred.
template <typename Call>
IoResult RetryInterrupted(Call call, IoStatus status_of_zero) {
  ssize_t size = 0;
  do {
    size = call();
  } while (size < 0 && errno == EINTR);
  if (size > 0) return {IoStatus::kDone, static_cast<std::size_t>(size)};
  if (size == 0) return {status_of_zero};
  const boost::system::error_code error(errno, boost::system::system_category());
  if (errno == EAGAIN || errno == EWOULDBLOCK) return {IoStatus::kWouldBlock, 0, error};
  return {IsMemoryShortage(error) ? IoStatus::kMemoryShortage : IoStatus::kBroken, 0, error};
}

}  // namespace

bool IsMemoryShortage(const boost::system::error_code& error) {
  return error.category() == boost::system::system_category() &&
         (error.value() == ENOBUFS || error.value() == ENOMEM);
}

IoResult ReadSome(int socket, void* bytes, std::size_t size) {
  return RetryInterrupted([&] { return ::recv(socket, bytes, size, 0); }, IoStatus::kEnd);
}

IoResult Peek(int socket) {
  char byte = 0;
  return RetryInterrupted([&] { return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT); }, IoStatus::kEnd);
}

IoResult WriteSome(int socket, const void* bytes, std::size_t size) {
  return RetryInterrupted([&] { return ::send(socket, bytes, size, MSG_NOSIGNAL); }, IoStatus::kWouldBlock);
}

IoResult WriteParts(int socket, iovec* parts, std::size_t count) {
  msghdr message{};
  message.msg_iov = parts;
  message.msg_iovlen = count;
  return RetryInterrupted([&] { return ::sendmsg(socket, &message, MSG_NOSIGNAL); }, IoStatus::kWouldBlock);
}

short PollNow(int socket, short events) {
  pollfd query{socket, events, 0};
  int ready = 0;
  do {
    query.revents = 0;
    ready = ::poll(&query, 1, 0);
  } while (ready < 0 && errno == EINTR);
  return ready > 0 ? query.revents : static_cast<short>(0);
}

}  // namespace lb::sidecar
