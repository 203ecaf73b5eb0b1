#include "sidecar/descriptor_passing.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <thread>

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

// A message of one byte and one descriptor in the form that sendmsg() and recvmsg() use.
struct DescriptorMessage {
  DescriptorMessage() {
    message.msg_iov = &data;
    message.msg_iovlen = 1;
    message.msg_control = ancillary;
    message.msg_controllen = sizeof ancillary;
  }
  DescriptorMessage(const DescriptorMessage&) = delete;
  DescriptorMessage& operator=(const DescriptorMessage&) = delete;

  char byte = 'l';  // the value that the first release sends; receivers ignore it
  iovec data{&byte, 1};
  msghdr message{};
  alignas(cmsghdr) char ancillary[CMSG_SPACE(sizeof(int))] = {};
};

std::optional<int> DescriptorOf(DescriptorMessage& in) {
  const cmsghdr* header = CMSG_FIRSTHDR(&in.message);
  if (header == nullptr || header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS ||
      header->cmsg_len != CMSG_LEN(sizeof(int))) {
    return std::nullopt;
  }
  int descriptor = -1;
  std::memcpy(&descriptor, CMSG_DATA(header), sizeof descriptor);
  return descriptor;
}

}  // namespace

bool IsTransientError(int error) {
  return error == EINTR || error == EAGAIN || error == ENOBUFS || error == ENOMEM || error == ENFILE ||
         error == EMFILE;
}

bool SendDescriptor(int socket, int descriptor) {
  DescriptorMessage out;
  cmsghdr* header = CMSG_FIRSTHDR(&out.message);
  header->cmsg_level = SOL_SOCKET;
  header->cmsg_type = SCM_RIGHTS;
  header->cmsg_len = CMSG_LEN(sizeof descriptor);
  std::memcpy(CMSG_DATA(header), &descriptor, sizeof descriptor);
  ssize_t sent = 0;
  do {
    sent = ::sendmsg(socket, &out.message, MSG_NOSIGNAL | MSG_DONTWAIT);
  } while (sent < 0 && errno == EINTR);
  return sent == 1;
}

std::optional<int> ReceiveDescriptor(int socket, TimePoint until) {
  while (Now() < until) {
    pollfd poll_request{socket, POLLIN, 0};
    const auto remaining = std::max(std::chrono::ceil<milliseconds>(until - Now()), milliseconds(0));
    if (::poll(&poll_request, 1, static_cast<int>(remaining.count())) <= 0) continue;
    DescriptorMessage in;
    const auto received = ::recvmsg(socket, &in.message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
    if (received < 0 && IsTransientError(errno)) {
      std::this_thread::sleep_for(milliseconds(1));
      continue;
    }
    if (received != 1) return std::nullopt;
    return DescriptorOf(in);
  }
  return std::nullopt;
}

}  // namespace lb::sidecar
