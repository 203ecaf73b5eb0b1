#include "sidecar/hot_restart.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <thread>
#include <utility>

namespace lb::sidecar {
namespace {

namespace fs = std::filesystem;
using boost::system::error_code;
using std::chrono::milliseconds;

const std::string kSocketName = "handover";  // in the folder; the operator state store knows it, too
// The process before answers at once unless it is starved; without its answer this one listens on its own.
constexpr Duration kAskPatience = std::chrono::seconds(1);
constexpr milliseconds kAskAgain{10};
constexpr Duration kPause = milliseconds(20);
constexpr Duration kMostPause = milliseconds(1000);
constexpr int kSendTries = 40;  // with kPause in between: as long as the next process waits
constexpr std::size_t kMostUnsent = 1024 * 1024;
constexpr std::size_t kLongestLine = 128 * 1024;

// One byte and a descriptor beside it, as sendmsg() and recvmsg() take them.
struct DescriptorMessage {
  DescriptorMessage() {
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    message.msg_control = ancillary;
    message.msg_controllen = sizeof ancillary;
  }
  DescriptorMessage(const DescriptorMessage&) = delete;
  DescriptorMessage& operator=(const DescriptorMessage&) = delete;

  char byte = 'l';
  iovec part{&byte, 1};
  msghdr message{};
  alignas(cmsghdr) char ancillary[CMSG_SPACE(sizeof(int))] = {};
};

bool SendDescriptor(int to, int descriptor) {
  DescriptorMessage out;
  cmsghdr* header = CMSG_FIRSTHDR(&out.message);
  header->cmsg_level = SOL_SOCKET;
  header->cmsg_type = SCM_RIGHTS;
  header->cmsg_len = CMSG_LEN(sizeof descriptor);
  std::memcpy(CMSG_DATA(header), &descriptor, sizeof descriptor);
  ssize_t sent = 0;
  do {
    sent = ::sendmsg(to, &out.message, MSG_NOSIGNAL | MSG_DONTWAIT);
  } while (sent < 0 && errno == EINTR);
  return sent == 1;
}

// Short of something that is soon there again, or interrupted.
bool IsMomentary(int error) {
  return error == EINTR || error == EAGAIN || error == ENOBUFS || error == ENOMEM || error == ENFILE ||
         error == EMFILE;
}

// Waits up to `until`; signals don't end the wait.
std::optional<int> ReceiveDescriptor(int from, TimePoint until) {
  while (Now() < until) {
    pollfd waited{from, POLLIN, 0};
    const auto left = std::chrono::ceil<milliseconds>(until - Now());
    if (::poll(&waited, 1, static_cast<int>(std::max(left, milliseconds(0)).count())) <= 0) continue;
    DescriptorMessage in;
    const auto received = ::recvmsg(from, &in.message, MSG_CMSG_CLOEXEC | MSG_DONTWAIT);
    if (received < 0 && IsMomentary(errno)) {
      std::this_thread::sleep_for(milliseconds(1));
      continue;
    }
    if (received != 1) return std::nullopt;
    const cmsghdr* header = CMSG_FIRSTHDR(&in.message);
    if (header == nullptr || header->cmsg_level != SOL_SOCKET || header->cmsg_type != SCM_RIGHTS ||
        header->cmsg_len != CMSG_LEN(sizeof(int))) {
      return std::nullopt;
    }
    int descriptor = -1;
    std::memcpy(&descriptor, CMSG_DATA(header), sizeof descriptor);
    return descriptor;
  }
  return std::nullopt;
}

// A connected socket; none where nobody listens at `path`, or nobody took it by `until`.
std::optional<int> Connect(const boost::asio::local::stream_protocol::endpoint& path, TimePoint until) {
  while (Now() < until) {
    const int descriptor = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor >= 0 && ::connect(descriptor, path.data(), static_cast<socklen_t>(path.size())) == 0) {
      return descriptor;
    }
    const int error = errno;
    if (descriptor >= 0) ::close(descriptor);
    if (!IsMomentary(error)) return std::nullopt;
    std::this_thread::sleep_for(kAskAgain);
  }
  return std::nullopt;
}

std::string Line(const std::string& word, bool set) { return (set ? "+" : "-") + word + "\n"; }

}  // namespace

// The connection to the process before or the next one: bytes that come, and lines that wait to be sent.
class HotRestart::Neighbour : public std::enable_shared_from_this<Neighbour> {
 public:
  explicit Neighbour(Socket connected) : socket(std::move(connected)) {}

  // Calls `on_byte` with 'r', or `on_line` with each line, and `on_end` once at the end.
  void Watch(std::function<void()> on_ready, std::function<void(const std::string&)> on_line,
             std::function<void()> on_end) {
    on_ready_ = std::move(on_ready);
    on_line_ = std::move(on_line);
    on_end_ = std::move(on_end);
    Read();
  }

  void Send(const std::string& text) {
    if (closed_ || unsent_.size() + text.size() > kMostUnsent) return;  // it stands still
    unsent_ += text;
    if (sending_.empty()) Write();
  }

  void Close() {
    closed_ = true;
    error_code ignored;
    socket.close(ignored);
  }

  Socket socket;

 private:
  void Read() {
    socket.async_read_some(boost::asio::buffer(part_),
                           [self = shared_from_this()](error_code error, std::size_t size) {
                             if (self->closed_) return;
                             if (error) return self->on_end_();
                             self->Take(size);
                             if (!self->closed_) self->Read();
                           });
  }

  void Take(std::size_t size) {
    for (std::size_t i = 0; i < size && !closed_; ++i) {
      const char c = part_[i];
      if (line_.empty() && c == 'r') {
        on_ready_();
      } else if (c == '\n') {
        on_line_(std::exchange(line_, {}));
      } else if (line_.size() < kLongestLine) {
        line_ += c;
      }
    }
  }

  void Write() {
    sending_ = std::exchange(unsent_, {});
    boost::asio::async_write(socket, boost::asio::buffer(sending_),
                             [self = shared_from_this()](error_code error, std::size_t) {
                               self->sending_.clear();
                               if (!error && !self->closed_ && !self->unsent_.empty()) self->Write();
                             });
  }

  std::function<void()> on_ready_;
  std::function<void(const std::string&)> on_line_;
  std::function<void()> on_end_;
  char part_[4096];
  std::string line_;
  std::string unsent_;
  std::string sending_;
  bool closed_ = false;
};

HotRestart::HotRestart(boost::asio::io_context& io, std::string folder, Logger& log, Handlers handlers)
    : io_(io),
      folder_(std::move(folder)),
      log_(log),
      handlers_(std::move(handlers)),
      acceptor_(io),
      pause_(io),
      send_pause_(io) {}

HotRestart::~HotRestart() {
  for (const auto& neighbour : {before_, next_})
    if (neighbour) neighbour->Close();
}

// Nothing where there is no folder, or where its name is too long for a socket.
std::optional<HotRestart::SocketAddress> HotRestart::SocketPath() {
  if (folder_.empty()) return std::nullopt;
  try {
    return SocketAddress(folder_ + "/" + kSocketName);
  } catch (const boost::system::system_error& e) {
    log_.Line("handover: " + folder_ + ": " + e.what());
    return std::nullopt;
  }
}

// Blocks, but for so long only: there is nothing to serve yet.
std::optional<int> HotRestart::InheritListener() {
  const auto path = SocketPath();
  if (!path) return std::nullopt;
  const TimePoint until = Now() + kAskPatience;
  const auto connected = Connect(*path, until);
  if (!connected && Now() < until) return std::nullopt;  // nobody is there
  std::optional<int> listening;
  if (connected) listening = ReceiveDescriptor(*connected, until);
  if (!listening) {
    if (connected) ::close(*connected);
    log_.Line("handover: the process before does not hand over");
    return std::nullopt;
  }
  before_ = std::make_shared<Neighbour>(Socket(io_, Local(), *connected));
  WatchBefore();
  return listening;
}

void HotRestart::WatchBefore() {
  before_->Watch([] {},
                 [this](const std::string& line) {
                   if (line.size() < 2 || (line[0] != '+' && line[0] != '-')) return;
                   if (next_) next_->Send(line + "\n");
                   handlers_.on_word(line.substr(1), line[0] == '+');
                 },
                 [this] {
                   before_ = nullptr;
                   handlers_.on_change();
                 });
}

void HotRestart::WatchNext() {
  next_->Watch(
      [this] {
        next_serves_ = true;
        handlers_.on_change();
      },
      [this](const std::string& line) {
        if (line.size() < 2 || (line[0] != '+' && line[0] != '-')) return;
        TellBefore(line + "\n");
        handlers_.on_word(line.substr(1), line[0] == '+');
      },
      [this] {
        next_ = nullptr;
        next_serves_ = false;
        handlers_.on_change();
      });
}

void HotRestart::Tell(const std::string& word, bool set) {
  TellBefore(Line(word, set));
  TellNext(word, set);
}

void HotRestart::TellNext(const std::string& word, bool set) {
  if (next_) next_->Send(Line(word, set));
}

// An earlier version would take any byte for the word that this process serves.
void HotRestart::TellBefore(const std::string& line) {
  if (!before_) return;
  if (offered_) return before_->Send(line);
  if (untold_.size() + line.size() <= kMostUnsent) untold_ += line;
}

void HotRestart::OfferListener(int listening) {
  if (!SocketPath()) return;
  listening_ = listening;
  Listen();
  offered_ = true;
  if (before_) before_->Send("r" + std::exchange(untold_, {}));
}

// Until it listens the next process would listen on its own.
void HotRestart::Listen() {
  const auto path = SocketPath();
  const auto error = Open(*path);
  if (!error) {
    if (listen_pause_ > Duration::zero()) log_.Line("handover: listens now");
    accept_loop_.emplace(
        io_, acceptor_, log_, "handover: accept", Local(),
        AcceptLoop<Local>::Owner{.ensure_capacity = nullptr,
                                 .has_capacity = nullptr,
                                 .on_taken = [this](Socket next) { FollowNext(std::move(next)); },
                                 .on_process_shortage = nullptr});
    return accept_loop_->Start();
  }
  if (listen_pause_ == Duration::zero()) {
    log_.Line("handover: " + error.message() + "; the next process listens on its own until this is over");
  }
  listen_pause_ = std::clamp<Duration>(2 * listen_pause_, kPause, kMostPause);
  pause_.expires_after(listen_pause_);
  pause_.async_wait([this](error_code stopped) {
    if (!stopped) Listen();
  });
}

error_code HotRestart::Open(const SocketAddress& path) {
  std::error_code failed;
  fs::create_directories(folder_, failed);
  ::unlink(path.path().c_str());
  error_code error, ignored;
  acceptor_.open({}, error);
  if (!error) acceptor_.bind(path, error);
  if (!error) acceptor_.listen(4, error);
  if (error) acceptor_.close(ignored);
  return error;
}

// The newest is the one that counts: one before it that never served has been given up by the platform.
void HotRestart::FollowNext(Socket socket) {
  if (next_) next_->Close();
  next_ = std::make_shared<Neighbour>(std::move(socket));
  next_serves_ = false;
  SendListener(kSendTries);
}

void HotRestart::SendListener(int tries) {
  send_pause_.cancel();
  if (SendDescriptor(next_->socket.native_handle(), listening_)) {
    WatchNext();
    handlers_.on_next();
    return handlers_.on_change();
  }
  if (tries <= 1 || !(IsMomentary(errno) || errno == ETOOMANYREFS)) {
    log_.Line(std::string("handover: ") + std::strerror(errno));
    next_->Close();
    next_ = nullptr;
    return handlers_.on_change();
  }
  send_pause_.expires_after(kPause);
  send_pause_.async_wait([this, tries, next = next_](error_code stopped) {
    if (!stopped && next == next_) SendListener(tries - 1);
  });
}

}  // namespace lb::sidecar
