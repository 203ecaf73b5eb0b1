#include "kept.h"

#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <optional>
#include <system_error>
#include <utility>

namespace mothrack {
namespace {

namespace fs = std::filesystem;

// The other process has to act on a call well within the second that the operators allow.
constexpr auto kLook = std::chrono::milliseconds(100);
const std::string kDrained = "drained";
const std::string kHandover = "handover";
const std::string kOut = "out-";
// Names of files end there; no real id comes near.
constexpr std::size_t kLongestId = 120;
constexpr std::size_t kMostForeign = 16;

// Ids are opaque: any byte may be in them.
std::string Hex(const std::string& id) {
  std::string hex;
  for (const char c : id) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned char>(c));
    hex += digits;
  }
  return hex;
}

std::optional<std::string> FromHex(const std::string& hex) {
  const auto digit = [](char c) {
    return c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
  };
  if (hex.empty() || hex.size() % 2 != 0) return std::nullopt;
  std::string id;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    const int high = digit(hex[i]), low = digit(hex[i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    id.push_back(static_cast<char>(high * 16 + low));
  }
  return id;
}

// The process before answers at once unless it is starved; without its answer this one listens on its own.
constexpr timeval kAskPatience{1, 0};

// One byte and the descriptor beside it.
union Ancillary {
  cmsghdr header;
  char room[CMSG_SPACE(sizeof(int))];
};

bool SendDescriptor(int to, int descriptor) {
  char byte = 'l';
  iovec part{&byte, 1};
  Ancillary ancillary{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = ancillary.room;
  message.msg_controllen = sizeof ancillary.room;
  cmsghdr* header = CMSG_FIRSTHDR(&message);
  header->cmsg_level = SOL_SOCKET;
  header->cmsg_type = SCM_RIGHTS;
  header->cmsg_len = CMSG_LEN(sizeof descriptor);
  std::memcpy(CMSG_DATA(header), &descriptor, sizeof descriptor);
  return ::sendmsg(to, &message, MSG_NOSIGNAL | MSG_DONTWAIT) == 1;
}

std::optional<int> ReceiveDescriptor(int from) {
  char byte = 0;
  iovec part{&byte, 1};
  Ancillary ancillary{};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = ancillary.room;
  message.msg_controllen = sizeof ancillary.room;
  if (::recvmsg(from, &message, MSG_CMSG_CLOEXEC) != 1) return std::nullopt;
  const cmsghdr* header = CMSG_FIRSTHDR(&message);
  if (header == nullptr || header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS ||
      header->cmsg_len != CMSG_LEN(sizeof(int))) {
    return std::nullopt;
  }
  int descriptor = -1;
  std::memcpy(&descriptor, CMSG_DATA(header), sizeof descriptor);
  return descriptor;
}

}  // namespace

Kept::Kept(boost::asio::io_context& io, std::string folder, Logger& log, OnChange on_change)
    : folder_(std::move(folder)), log_(log), on_change_(std::move(on_change)), timer_(io) {
  if (folder_.empty()) return;
  Look();
  LookIn();
}

void Kept::TakeOut(const std::string& upstream, bool out) {
  Words words = words_;
  if (out) words.out.insert(upstream);
  if (!out) words.out.erase(upstream);
  if (words == words_) return;
  words_ = std::move(words);
  if (upstream.size() > kLongestId) GiveUp("an id is too long to be kept");
  Mark(kOut + Hex(upstream), out);
  on_change_(words_);
}

void Kept::Drain(bool drained) {
  if (std::exchange(words_.drained, drained) == drained) return;
  Mark(kDrained, drained);
  on_change_(words_);
}

void Kept::Mark(const std::string& name, bool set) {
  if (folder_.empty()) return;
  std::error_code error;
  fs::create_directories(folder_, error);
  const fs::path path = fs::path(folder_) / name;
  if (!set) fs::remove(path, error);
  if (set && !error && !std::ofstream(path)) error = std::make_error_code(std::errc::io_error);
  if (error) GiveUp(error.message());
}

void Kept::Look() {
  std::error_code error;
  Words found;
  for (fs::directory_iterator entry(folder_, error), end; !error && entry != end; entry.increment(error)) {
    const std::string name = entry->path().filename();
    const auto id = name.starts_with(kOut) ? FromHex(name.substr(kOut.size())) : std::nullopt;
    if (id) found.out.insert(*id);
    if (name == kDrained) found.drained = true;
    if (!id && name != kDrained && name != kHandover && foreign_.size() < kMostForeign &&
        foreign_.insert(name).second) {
      log_.Line("kept: not ours: " + name);
    }
  }
  if (error && error != std::errc::no_such_file_or_directory) return GiveUp(error.message());
  if (found == words_) return;
  words_ = std::move(found);
  on_change_(words_);
}

void Kept::LookIn() {
  timer_.expires_after(kLook);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error || folder_.empty()) return;
    Look();
    LookIn();
  });
}

void Kept::GiveUp(const std::string& why) {
  log_.Line("kept: " + folder_ + ": " + why + "; what operators say will not outlast this process");
  folder_.clear();
}

Handover::Handover(boost::asio::io_context& io, std::string folder, Logger& log, OnChange on_change)
    : io_(io), folder_(std::move(folder)), log_(log), on_change_(std::move(on_change)), acceptor_(io) {}

Handover::~Handover() {
  boost::system::error_code ignored;
  for (const auto& socket : {before_, next_})
    if (socket) socket->close(ignored);
}

// Nothing where there is no folder, or where its name is too long for a socket.
std::optional<boost::asio::local::stream_protocol::endpoint> Handover::Place() {
  if (folder_.empty()) return std::nullopt;
  try {
    return boost::asio::local::stream_protocol::endpoint(folder_ + "/" + kHandover);
  } catch (const boost::system::system_error& e) {
    log_.Line("handover: " + folder_ + ": " + e.what());
    return std::nullopt;
  }
}

std::optional<int> Handover::Take() {
  const auto place = Place();
  if (!place) return std::nullopt;
  auto socket = std::make_shared<Socket>(io_);
  boost::system::error_code error;
  socket->open({}, error);
  if (!error) socket->connect(*place, error);
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

void Handover::WatchBefore() {
  before_->async_read_some(boost::asio::buffer(&ignored_, 1),
                           [this, socket = before_](boost::system::error_code error, std::size_t) {
                             if (error == boost::asio::error::operation_aborted) return;
                             if (!error) return WatchBefore();
                             before_ = nullptr;
                             on_change_();
                           });
}

void Handover::Offer(int listening) {
  const auto place = Place();
  if (!place) return;
  listening_ = listening;
  std::error_code failed;
  fs::create_directories(folder_, failed);
  ::unlink(place->path().c_str());
  boost::system::error_code error;
  acceptor_.open({}, error);
  if (!error) acceptor_.bind(*place, error);
  if (!error) acceptor_.listen(4, error);
  if (error) return log_.Line("handover: " + error.message() + "; the next process listens on its own");
  Accept();
  if (!before_) return;
  before_->native_non_blocking(true, error);
  before_->send(boost::asio::buffer("r", 1), MSG_NOSIGNAL, error);
}

// The newest is the one that counts: one before it that never served has been given up by the platform.
void Handover::Accept() {
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

void Handover::WatchNext() {
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
