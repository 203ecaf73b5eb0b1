// Overrides of socket and polling functions in the preloaded library. A call without a matching fault is
// forwarded to the C library.
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cstddef>

#include "tests/fault_injection/forced_call.h"

using lb::fault_injection::ForcedCall;
using lb::fault_injection::MarkAccepted;
using lb::fault_injection::RealFunction;
using lb::sidecar::testing::SystemCall;

namespace {

template <typename Accept>
int AcceptWithFaults(Accept accept, int descriptor) {
  const ForcedCall forced(SystemCall::kAccept, {descriptor});
  if (forced.drops_connection()) {
    static const auto kRealClose = RealFunction(&::close, "close");
    if (const int lost = accept(); lost >= 0) {
      kRealClose(lost);
    } else {
      return lost;
    }
  }
  if (forced.Fails()) return -1;
  const int accepted = accept();
  MarkAccepted(accepted, true);
  return accepted;
}

}  // namespace

extern "C" {

int accept(int descriptor, sockaddr* address, socklen_t* size) {
  static const auto kReal = RealFunction(&::accept, "accept");
  return AcceptWithFaults([&] { return kReal(descriptor, address, size); }, descriptor);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  static const auto kReal = RealFunction(&::accept4, "accept4");
  return AcceptWithFaults([&] { return kReal(descriptor, address, size, flags); }, descriptor);
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto kReal = RealFunction(&::socket, "socket");
  if (ForcedCall(SystemCall::kSocket, {}).Fails()) return -1;
  const int created = kReal(domain, type, protocol);
  MarkAccepted(created, false);
  return created;
}

int connect(int descriptor, const sockaddr* peer, socklen_t size) {
  static const auto kReal = RealFunction(&::connect, "connect");
  const ForcedCall forced(SystemCall::kConnect, {descriptor, nullptr, peer});
  if (forced.Interrupted()) kReal(descriptor, peer, size);  // an interrupted connect continues asynchronously
  if (forced.Fails()) return -1;
  return kReal(descriptor, peer, size);
}

ssize_t recv(int descriptor, void* bytes, size_t size, int flags) {
  static const auto kReal = RealFunction(&::recv, "recv");
  const ForcedCall forced(SystemCall::kRead, {descriptor});
  return forced.Fails() ? -1 : kReal(descriptor, bytes, forced.Bytes(size), flags);
}

ssize_t recvfrom(int descriptor, void* bytes, size_t size, int flags, sockaddr* from, socklen_t* from_size) {
  static const auto kReal = RealFunction(&::recvfrom, "recvfrom");
  const ForcedCall forced(SystemCall::kRead, {descriptor});
  return forced.Fails() ? -1 : kReal(descriptor, bytes, forced.Bytes(size), flags, from, from_size);
}

ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  static const auto kReal = RealFunction(&::recvmsg, "recvmsg");
  const ForcedCall forced(SystemCall::kRead, {descriptor});
  if (forced.Fails()) return -1;
  ForcedCall::Parts parts(forced, message->msg_iov, message->msg_iovlen);
  msghdr limited = *message;
  limited.msg_iov = parts.data();
  limited.msg_iovlen = parts.size();
  const ssize_t result = kReal(descriptor, &limited, flags);
  message->msg_namelen = limited.msg_namelen;
  message->msg_controllen = limited.msg_controllen;
  message->msg_flags = limited.msg_flags;
  return result;
}

ssize_t read(int descriptor, void* bytes, size_t size) {
  static const auto kReal = RealFunction(&::read, "read");
  const ForcedCall forced(SystemCall::kRead, {descriptor});
  return forced.Fails() ? -1 : kReal(descriptor, bytes, forced.Bytes(size));
}

ssize_t readv(int descriptor, const iovec* parts, int count) {
  static const auto kReal = RealFunction(&::readv, "readv");
  const ForcedCall forced(SystemCall::kRead, {descriptor});
  if (forced.Fails()) return -1;
  ForcedCall::Parts limited(forced, parts, static_cast<std::size_t>(count));
  return kReal(descriptor, limited.data(), static_cast<int>(limited.size()));
}

ssize_t send(int descriptor, const void* bytes, size_t size, int flags) {
  static const auto kReal = RealFunction(&::send, "send");
  const ForcedCall forced(SystemCall::kWrite, {descriptor});
  return forced.Fails() ? -1 : kReal(descriptor, bytes, forced.Bytes(size), flags);
}

ssize_t sendto(int descriptor, const void* bytes, size_t size, int flags, const sockaddr* to,
               socklen_t to_size) {
  static const auto kReal = RealFunction(&::sendto, "sendto");
  const ForcedCall forced(SystemCall::kWrite, {descriptor});
  return forced.Fails() ? -1 : kReal(descriptor, bytes, forced.Bytes(size), flags, to, to_size);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static const auto kReal = RealFunction(&::sendmsg, "sendmsg");
  const ForcedCall forced(SystemCall::kWrite, {descriptor});
  if (forced.Fails()) return -1;
  ForcedCall::Parts parts(forced, message->msg_iov, message->msg_iovlen);
  msghdr limited = *message;
  limited.msg_iov = parts.data();
  limited.msg_iovlen = parts.size();
  return kReal(descriptor, &limited, flags);
}

ssize_t write(int descriptor, const void* bytes, size_t size) {
  static const auto kReal = RealFunction(&::write, "write");
  const ForcedCall forced(SystemCall::kWrite, {descriptor});
  return forced.Fails() ? -1 : kReal(descriptor, bytes, forced.Bytes(size));
}

ssize_t writev(int descriptor, const iovec* parts, int count) {
  static const auto kReal = RealFunction(&::writev, "writev");
  const ForcedCall forced(SystemCall::kWrite, {descriptor});
  if (forced.Fails()) return -1;
  ForcedCall::Parts limited(forced, parts, static_cast<std::size_t>(count));
  return kReal(descriptor, limited.data(), static_cast<int>(limited.size()));
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static const auto kReal = RealFunction(&::poll, "poll");
  if (ForcedCall(SystemCall::kPoll, {count > 0 ? descriptors[0].fd : -1}).Fails()) return -1;
  return kReal(descriptors, count, timeout);
}

int epoll_wait(int loop, epoll_event* events, int max_events, int timeout) {
  static const auto kReal = RealFunction(&::epoll_wait, "epoll_wait");
  if (ForcedCall(SystemCall::kEpollWait, {}).Fails()) return -1;
  return kReal(loop, events, max_events, timeout);
}

int epoll_ctl(int loop, int operation, int descriptor, epoll_event* event) noexcept {
  static const auto kReal = RealFunction(&::epoll_ctl, "epoll_ctl");
  if (operation == EPOLL_CTL_ADD && ForcedCall(SystemCall::kEpollControl, {descriptor}).Fails()) return -1;
  return kReal(loop, operation, descriptor, event);
}

int getsockopt(int descriptor, int level, int name, void* value, socklen_t* size) noexcept {
  static const auto kReal = RealFunction(&::getsockopt, "getsockopt");
  if (ForcedCall(SystemCall::kGetOption, {descriptor}).Fails()) return -1;
  return kReal(descriptor, level, name, value, size);
}

}  // extern "C"
