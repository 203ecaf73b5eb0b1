// The preloaded library's calls on sockets and their readiness. A call that no fault is set for goes through.
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cstddef>

#include "tests/fault_injection/forced_call.h"

using lb::fault_injection::ForcedCall;
using lb::fault_injection::MarkAccepted;
using lb::fault_injection::Next;
using lb::sidecar::testing::SystemCall;

namespace {

template <typename Real>
int Accepted(Real accept, int descriptor) {
  const ForcedCall forced(SystemCall::kAccept, {descriptor});
  if (forced.loses_connection()) {
    static const auto kCloseNext = Next(&::close, "close");
    if (const int lost = accept(); lost >= 0) {
      kCloseNext(lost);
    } else {
      return lost;
    }
  }
  if (forced.Fails()) return -1;
  const int taken = accept();
  MarkAccepted(taken, true);
  return taken;
}

}  // namespace

extern "C" {

int accept(int descriptor, sockaddr* address, socklen_t* size) {
  static const auto kNext = Next(&::accept, "accept");
  return Accepted([&] { return kNext(descriptor, address, size); }, descriptor);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  static const auto kNext = Next(&::accept4, "accept4");
  return Accepted([&] { return kNext(descriptor, address, size, flags); }, descriptor);
}

int socket(int domain, int type, int protocol) noexcept {
  static const auto kNext = Next(&::socket, "socket");
  if (ForcedCall(SystemCall::kSocket, {}).Fails()) return -1;
  const int made = kNext(domain, type, protocol);
  MarkAccepted(made, false);
  return made;
}

int connect(int descriptor, const sockaddr* peer, socklen_t size) {
  static const auto kNext = Next(&::connect, "connect");
  const ForcedCall forced(SystemCall::kConnect, {descriptor, nullptr, peer});
  if (forced.Interrupted()) kNext(descriptor, peer, size);  // the connect goes on nevertheless
  if (forced.Fails()) return -1;
  return kNext(descriptor, peer, size);
}

ssize_t recv(int descriptor, void* bytes, size_t size, int flags) {
  static const auto kNext = Next(&::recv, "recv");
  const ForcedCall forced(SystemCall::kRead, {descriptor});
  return forced.Fails() ? -1 : kNext(descriptor, bytes, forced.Bytes(size), flags);
}

ssize_t recvfrom(int descriptor, void* bytes, size_t size, int flags, sockaddr* from, socklen_t* from_size) {
  static const auto kNext = Next(&::recvfrom, "recvfrom");
  const ForcedCall forced(SystemCall::kRead, {descriptor});
  return forced.Fails() ? -1 : kNext(descriptor, bytes, forced.Bytes(size), flags, from, from_size);
}

ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  static const auto kNext = Next(&::recvmsg, "recvmsg");
  const ForcedCall forced(SystemCall::kRead, {descriptor});
  if (forced.Fails()) return -1;
  ForcedCall::Parts parts(forced, message->msg_iov, message->msg_iovlen);
  msghdr cut = *message;
  cut.msg_iov = parts.data();
  cut.msg_iovlen = parts.size();
  const ssize_t done = kNext(descriptor, &cut, flags);
  message->msg_namelen = cut.msg_namelen;
  message->msg_controllen = cut.msg_controllen;
  message->msg_flags = cut.msg_flags;
  return done;
}

ssize_t read(int descriptor, void* bytes, size_t size) {
  static const auto kNext = Next(&::read, "read");
  const ForcedCall forced(SystemCall::kRead, {descriptor});
  return forced.Fails() ? -1 : kNext(descriptor, bytes, forced.Bytes(size));
}

ssize_t readv(int descriptor, const iovec* parts, int count) {
  static const auto kNext = Next(&::readv, "readv");
  const ForcedCall forced(SystemCall::kRead, {descriptor});
  if (forced.Fails()) return -1;
  ForcedCall::Parts cut(forced, parts, static_cast<std::size_t>(count));
  return kNext(descriptor, cut.data(), static_cast<int>(cut.size()));
}

ssize_t send(int descriptor, const void* bytes, size_t size, int flags) {
  static const auto kNext = Next(&::send, "send");
  const ForcedCall forced(SystemCall::kWrite, {descriptor});
  return forced.Fails() ? -1 : kNext(descriptor, bytes, forced.Bytes(size), flags);
}

ssize_t sendto(int descriptor, const void* bytes, size_t size, int flags, const sockaddr* to,
               socklen_t to_size) {
  static const auto kNext = Next(&::sendto, "sendto");
  const ForcedCall forced(SystemCall::kWrite, {descriptor});
  return forced.Fails() ? -1 : kNext(descriptor, bytes, forced.Bytes(size), flags, to, to_size);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static const auto kNext = Next(&::sendmsg, "sendmsg");
  const ForcedCall forced(SystemCall::kWrite, {descriptor});
  if (forced.Fails()) return -1;
  ForcedCall::Parts parts(forced, message->msg_iov, message->msg_iovlen);
  msghdr cut = *message;
  cut.msg_iov = parts.data();
  cut.msg_iovlen = parts.size();
  return kNext(descriptor, &cut, flags);
}

ssize_t write(int descriptor, const void* bytes, size_t size) {
  static const auto kNext = Next(&::write, "write");
  const ForcedCall forced(SystemCall::kWrite, {descriptor});
  return forced.Fails() ? -1 : kNext(descriptor, bytes, forced.Bytes(size));
}

ssize_t writev(int descriptor, const iovec* parts, int count) {
  static const auto kNext = Next(&::writev, "writev");
  const ForcedCall forced(SystemCall::kWrite, {descriptor});
  if (forced.Fails()) return -1;
  ForcedCall::Parts cut(forced, parts, static_cast<std::size_t>(count));
  return kNext(descriptor, cut.data(), static_cast<int>(cut.size()));
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static const auto kNext = Next(&::poll, "poll");
  if (ForcedCall(SystemCall::kPoll, {count > 0 ? descriptors[0].fd : -1}).Fails()) return -1;
  return kNext(descriptors, count, timeout);
}

int epoll_wait(int loop, epoll_event* events, int most, int timeout) {
  static const auto kNext = Next(&::epoll_wait, "epoll_wait");
  if (ForcedCall(SystemCall::kEpollWait, {}).Fails()) return -1;
  return kNext(loop, events, most, timeout);
}

int epoll_ctl(int loop, int operation, int descriptor, epoll_event* event) noexcept {
  static const auto kNext = Next(&::epoll_ctl, "epoll_ctl");
  if (operation == EPOLL_CTL_ADD && ForcedCall(SystemCall::kEpollControl, {descriptor}).Fails()) return -1;
  return kNext(loop, operation, descriptor, event);
}

int getsockopt(int descriptor, int level, int name, void* value, socklen_t* size) noexcept {
  static const auto kNext = Next(&::getsockopt, "getsockopt");
  if (ForcedCall(SystemCall::kGetOption, {descriptor}).Fails()) return -1;
  return kNext(descriptor, level, name, value, size);
}

}  // extern "C"
