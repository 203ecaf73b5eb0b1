#include "sidecar/hot_restart.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <thread>
#include <utility>
#include <variant>

#include "sidecar/descriptor_passing.h"
#include "sidecar/log_events.h"
#include "sidecar/stored_override.h"

namespace lb::sidecar {
namespace {

namespace fs = std::filesystem;
using boost::system::error_code;
using std::chrono::milliseconds;

// The previous process responds at once unless it is short of CPU time. Without a response this process binds
// a listening socket of its own.
constexpr Duration kInheritTimeout = std::chrono::seconds(1);
constexpr milliseconds kConnectRetryPause{10};
constexpr Duration kRetryPause = milliseconds(20);
constexpr Duration kMaxListenBackoff = milliseconds(1000);
// With kRetryPause between the tries this takes about 0.8 s, nearly as long as the next process waits
// (kInheritTimeout).
constexpr int kMaxSendTries = 40;
// Normally one next process connects; the platform may abandon it and start another one at once.
constexpr int kListenBacklog = 4;

// Returns a connected socket; nullopt if no process listens at `path`, or if connecting keeps failing with
// transient errors until `until`. The socket has to be closed by the caller.
std::optional<int> Connect(const boost::asio::local::stream_protocol::endpoint& path, TimePoint until) {
  while (Now() < until) {
    const int descriptor = ::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor >= 0 && ::connect(descriptor, path.data(), static_cast<socklen_t>(path.size())) == 0) {
      return descriptor;
    }
    const int error = errno;
    if (descriptor >= 0) ::close(descriptor);
    if (!IsTransientError(error)) return std::nullopt;
    std::this_thread::sleep_for(kConnectRetryPause);
  }
  return std::nullopt;
}

}  // namespace

HotRestart::HotRestart(boost::asio::io_context& io, std::string folder, const UnixClock& clock, Logger& log,
                       Handlers handlers)
    : io_(io),
      folder_(std::move(folder)),
      log_(log),
      handlers_(std::move(handlers)),
      acceptor_(io),
      listen_retry_(io),
      send_retry_(io),
      list_receiver_(clock) {}

HotRestart::~HotRestart() {
  if (previous_) previous_->Close();
  if (next_) next_->Close();
}

std::optional<HotRestart::SocketAddress> HotRestart::SocketPath() {
  if (folder_.empty()) return std::nullopt;
  try {
    return SocketAddress(folder_ + "/" + std::string(kHotRestartSocketName));
  } catch (const boost::system::system_error& e) {
    log_.Write(LogEvent(log_events::kHotRestartUnavailable).With("folder", folder_).With("error", e.what()));
    return std::nullopt;
  }
}

std::optional<int> HotRestart::InheritListener() {
  const auto path = SocketPath();
  if (!path) return std::nullopt;
  const TimePoint until = Now() + kInheritTimeout;
  const auto connected = Connect(*path, until);
  if (!connected && Now() < until) return std::nullopt;  // no previous process is running
  std::optional<int> inherited;
  if (connected) inherited = ReceiveDescriptor(*connected, until);
  if (!inherited) {
    if (connected) ::close(*connected);
    log_.Write(LogEvent(log_events::kHotRestartInheritFailed));
    return std::nullopt;
  }
  previous_ = std::make_shared<NeighbourProcess>(Socket(io_, Local(), *connected));
  WatchPrevious();
  return inherited;
}

void HotRestart::WatchPrevious() {
  NeighbourProcess::Handlers handlers;
  handlers.on_serves = [] {};
  handlers.on_line = [this](const std::string& line) {
    HandleListLine(line);
    HandleOverrideLine(line, [this](const std::string& text) {
      if (next_) next_->Send(text);
    });
  };
  handlers.on_closed = [this] {
    previous_ = nullptr;
    handlers_.on_change();
  };
  previous_->Watch(std::move(handlers));
}

void HotRestart::WatchNext() {
  NeighbourProcess::Handlers handlers;
  handlers.on_serves = [this] {
    next_serves_ = true;
    handlers_.on_change();
  };
  handlers.on_line = [this](const std::string& line) {
    HandleOverrideLine(line, [this](const std::string& text) { NotifyPrevious(text); });
  };
  handlers.on_closed = [this] {
    next_ = nullptr;
    next_serves_ = false;
    handlers_.on_change();
  };
  next_->Watch(std::move(handlers));
}

void HotRestart::HandleListLine(const std::string& line) {
  std::optional<EndpointList> list;
  try {
    list = list_receiver_.HandleLine(line);
  } catch (const MembershipError& e) {
    return log_.Write(LogEvent(log_events::kHotRestartListRejected).With("error", e.what()));
  }
  if (list) handlers_.on_list(std::move(*list));
}

// Forwards each override message from one neighbour to the other unchanged, including messages of later
// releases that this one does not understand.
void HotRestart::HandleOverrideLine(const std::string& line,
                                    const std::function<void(const std::string&)>& forward) {
  const auto parsed = ParseLine(line);
  if (!parsed) return;
  forward(line + "\n");
  if (const auto* unknown = std::get_if<UnknownOverride>(&*parsed)) {
    return log_.Write(LogEvent(log_events::kStateUnknownOverride).With("text", unknown->text));
  }
  handlers_.on_override(std::get<OverrideMessage>(*parsed));
}

void HotRestart::Notify(const OverrideMessage& message) {
  NotifyPrevious(ToLine(message));
  NotifyNext(message);
}

void HotRestart::NotifyNext(const OverrideMessage& message) {
  if (next_) next_->Send(ToLine(message));
}

void HotRestart::SendListToNext(const HeldEndpointList& list) {
  if (next_ && !list.empty()) next_->SendInPieces(ToListMessages(list));
}

// Lines are held back until kServesByte has been sent: the first release takes any byte that it receives for
// kServesByte.
void HotRestart::NotifyPrevious(const std::string& line) {
  if (!previous_) return;
  if (listener_offered_) return previous_->Send(line);
  if (held_back_lines_.size() + line.size() <= NeighbourProcess::kMaxUnsentBytes) held_back_lines_ += line;
}

void HotRestart::OfferListener(int listener) {
  if (!SocketPath()) return;
  listener_ = listener;
  Listen();
  listener_offered_ = true;
  if (previous_) previous_->Send(kServesByte + held_back_lines_);
  held_back_lines_.clear();
}

// Starts to listen for the next process; retried with a backoff until it succeeds. A process that is started
// meanwhile finds no previous process and binds a listening socket of its own.
void HotRestart::Listen() {
  const auto path = SocketPath();
  const auto error = Open(*path);
  if (!error) {
    if (listen_backoff_ > Duration::zero()) {
      log_.Write(LogEvent(log_events::kHotRestartListenRecovered));
    }
    accept_loop_.emplace(
        io_, acceptor_, log_, "hot_restart", Local(),
        AcceptLoop<Local>::Owner{.ensure_capacity = nullptr,
                                 .has_capacity = nullptr,
                                 .on_accepted = [this](Socket next) { HandleNextConnected(std::move(next)); },
                                 .on_out_of_descriptors = nullptr});
    return accept_loop_->Start();
  }
  if (listen_backoff_ == Duration::zero()) {
    log_.Write(LogEvent(log_events::kHotRestartListenFailed).With("error", error.message()));
  }
  listen_backoff_ = std::clamp<Duration>(2 * listen_backoff_, kRetryPause, kMaxListenBackoff);
  listen_retry_.expires_after(listen_backoff_);
  listen_retry_.async_wait([this](error_code stopped) {
    if (!stopped) Listen();
  });
}

error_code HotRestart::Open(const SocketAddress& path) {
  std::error_code failed;
  fs::create_directories(folder_, failed);
  ::unlink(path.path().c_str());
  error_code error;
  acceptor_.open({}, error);
  if (!error) acceptor_.bind(path, error);
  if (!error) acceptor_.listen(kListenBacklog, error);
  error_code ignored;
  if (error) acceptor_.close(ignored);
  return error;
}

// A newly connected process replaces an earlier next process: the platform has abandoned the earlier one.
void HotRestart::HandleNextConnected(Socket socket) {
  if (next_) next_->Close();
  next_ = std::make_shared<NeighbourProcess>(std::move(socket));
  next_serves_ = false;
  SendListener(kMaxSendTries);
}

// Passes the listener to the next process; `tries` are left, including this one. A retry is cancelled if
// another next process connects before it.
void HotRestart::SendListener(int tries) {
  send_retry_.cancel();
  if (SendDescriptor(next_->native_handle(), listener_)) {
    WatchNext();
    handlers_.on_next_connected();
    return handlers_.on_change();
  }
  if (tries <= 1 || !(IsTransientError(errno) || errno == ETOOMANYREFS)) {
    log_.Write(LogEvent(log_events::kHotRestartOfferFailed).With("error", std::strerror(errno)));
    next_->Close();
    next_ = nullptr;
    return handlers_.on_change();
  }
  send_retry_.expires_after(kRetryPause);
  send_retry_.async_wait([this, tries, next = next_](error_code stopped) {
    if (!stopped && next == next_) SendListener(tries - 1);
  });
}

}  // namespace lb::sidecar
