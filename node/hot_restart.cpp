#include "hot_restart.h"

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <utility>

namespace mothrack {
namespace {

namespace fs = std::filesystem;

const std::string kSocketName = "handover";  // in the folder; the operator state store knows it, too
// The process before answers at once unless it is starved; without its answer this one listens on its own.
constexpr timeval kAskPatience{1, 0};

// One byte and a descriptor beside it, as sendmsg() and recvmsg() take them.
struct DescriptorMessage {
  DescriptorMessage() {
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = ancillary.room;
    message.msg_controllen = sizeof ancillary.room;
  }
  DescriptorMessage(const DescriptorMessage&) = delete;
  DescriptorMessage& operator=(const DescriptorMessage&) = delete;

  union Ancillary {
    cmsghdr header;
    char room[CMSG_SPACE(sizeof(int))];
  };
  char byte = 'l';
  iovec part{&byte, 1};
  msghdr message{};
  Ancillary ancillary{};  // last: its header ends in an array of no size
};

bool SendDescriptor(int to, int descriptor) {
  DescriptorMessage out;
  cmsghdr* header = CMSG_FIRSTHDR(&out.message);
  header->cmsg_level = SOL_SOCKET;
  header->cmsg_type = SCM_RIGHTS;
  header->cmsg_len = CMSG_LEN(sizeof descriptor);
  std::memcpy(CMSG_DATA(header), &descriptor, sizeof descriptor);
  return ::sendmsg(to, &out.message, MSG_NOSIGNAL | MSG_DONTWAIT) == 1;
}

std::optional<int> ReceiveDescriptor(int from) {
  DescriptorMessage in;
  if (::recvmsg(from, &in.message, MSG_CMSG_CLOEXEC) != 1) return std::nullopt;
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

HotRestart::HotRestart(boost::asio::io_context& io, std::string folder, Logger& log, OnChange on_change)
    : io_(io), folder_(std::move(folder)), log_(log), on_change_(std::move(on_change)), acceptor_(io) {}

HotRestart::~HotRestart() {
  boost::system::error_code ignored;
  for (const auto& socket : {before_, next_})
    if (socket) socket->close(ignored);
}

// Nothing where there is no folder, or where its name is too long for a socket.
std::optional<boost::asio::local::stream_protocol::endpoint> HotRestart::SocketPath() {
  if (folder_.empty()) return std::nullopt;
  try {
    return boost::asio::local::stream_protocol::endpoint(folder_ + "/" + kSocketName);
  } catch (const boost::system::system_error& e) {
    log_.Line("handover: " + folder_ + ": " + e.what());
    return std::nullopt;
  }
}

std::optional<int> HotRestart::InheritListener() {
  const auto path = SocketPath();
  if (!path) return std::nullopt;
  auto socket = std::make_shared<Socket>(io_);
  boost::system::error_code error;
  socket->open({}, error);
  if (!error) socket->connect(*path, error);
  if (error) return std::nullopt;  // nobody is there
  // Blocks, but for so long only: there is nothing to serve yet.
  ::setsockopt(socket->native_handle(), SOL_SOCKET, SO_RCVTIMEO, &kAskPatience, sizeof kAskPatience);
  const auto listening = ReceiveDescriptor(socket->native_handle());
  if (!listening) {
    log_.Line("handover: the process before does not hand over");
    return std::nullopt;
  }
  before_ = std::move(socket);
  WatchBefore();
  return listening;
}

void HotRestart::WatchBefore() {
  before_->async_read_some(boost::asio::buffer(&ignored_, 1),
                           [this, socket = before_](boost::system::error_code error, std::size_t) {
                             if (error == boost::asio::error::operation_aborted) return;
                             if (!error) return WatchBefore();
                             before_ = nullptr;
                             on_change_();
                           });
}

void HotRestart::OfferListener(int listening) {
  const auto path = SocketPath();
  if (!path) return;
  listening_ = listening;
  std::error_code failed;
  fs::create_directories(folder_, failed);
  ::unlink(path->path().c_str());
  boost::system::error_code error;
  acceptor_.open({}, error);
  if (!error) acceptor_.bind(*path, error);
  if (!error) acceptor_.listen(4, error);
  if (error) return log_.Line("handover: " + error.message() + "; the next process listens on its own");
  Accept();
  if (!before_) return;
  before_->native_non_blocking(true, error);
  before_->send(boost::asio::buffer("r", 1), MSG_NOSIGNAL, error);
}

// The newest is the one that counts: one before it that never served has been given up by the platform.
void HotRestart::Accept() {
  acceptor_.async_accept([this](boost::system::error_code error, Socket socket) {
    if (error) return;
    if (next_) next_->close(error);
    next_ = std::make_shared<Socket>(std::move(socket));
    next_serves_ = false;
    if (SendDescriptor(next_->native_handle(), listening_)) {
      WatchNext();
    } else {
      next_ = nullptr;
    }
    on_change_();
    Accept();
  });
}

void HotRestart::WatchNext() {
  next_->async_read_some(boost::asio::buffer(&byte_, 1),
                         [this, socket = next_](boost::system::error_code error, std::size_t) {
                           if (socket != next_) return;
                           next_serves_ = !error;
                           if (error) next_ = nullptr;
                           on_change_();
                           if (!error) WatchNext();
                         });
}

}  // namespace mothrack
