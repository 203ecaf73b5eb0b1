// The accept loop of every listening socket of the program, and the classification of the errors of accept().
// The loop goes on after any error.
#pragma once

#include <unistd.h>

#include <algorithm>
#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "sidecar/clock.h"
#include "sidecar/log.h"
#include "sidecar/log_events.h"

namespace lb::sidecar {

// The result of one accept().
enum class AcceptStatus {
  kAccepted,
  kBacklogEmpty,
  // That connection failed while it was in the backlog, or the call was interrupted. The next may succeed.
  kConnectionLost,
  // EMFILE: this process has no free descriptor. The connection stays in the backlog.
  kProcessOutOfDescriptors,
  // The machine is out of descriptors or memory. The connection stays in the backlog.
  kSystemOutOfResources,
  kFailed,  // any other error
};

struct AcceptResult {
  AcceptStatus status = AcceptStatus::kBacklogEmpty;
  int descriptor = -1;  // valid with kAccepted, and owned by the caller then
  boost::system::error_code error{};
};

// Accepts one connection from the backlog. `listening` has to be non-blocking, so this never blocks. Skips
// connections that failed while they were in the backlog, up to a bound.
AcceptResult AcceptOne(int listening);

// Accepts connections until its acceptor is closed; no error ends the loop. After an error it pauses. The
// pause doubles with each further error in a row, so that a persistent error uses little CPU time.
template <typename Protocol>
class AcceptLoop {
 public:
  using Acceptor = boost::asio::basic_socket_acceptor<Protocol>;
  using Socket = typename Protocol::socket;

  struct Owner {
    // Makes room for one more connection. Returns false if there is none; it is called again after a short
    // pause. Null: there is always room.
    std::function<bool()> ensure_capacity;
    // Whether there is room for one more connection without closing another. If not, the loop waits until a
    // connection is in the backlog before it calls `ensure_capacity`. Null: there is always room.
    std::function<bool()> has_capacity;
    // Receives an accepted, non-blocking socket.
    std::function<void(Socket)> on_accepted;
    // The process is out of descriptors: the owner may close a connection. Null: the owner has none to close.
    std::function<void()> on_out_of_descriptors;
  };

  // `listener`: the name of the socket in the log. `protocol`: of the acceptor. `acceptor` has to outlive the
  // loop.
  AcceptLoop(boost::asio::io_context& io, Acceptor& acceptor, Logger& log, std::string listener,
             Protocol protocol, Owner owner)
      : io_(io),
        acceptor_(acceptor),
        protocol_(protocol),
        log_(log),
        listener_(std::move(listener)),
        owner_(std::move(owner)),
        pause_timer_(io) {}
  ~AcceptLoop() {
    if (unregistered_descriptor_) ::close(*unregistered_descriptor_);
  }
  AcceptLoop(const AcceptLoop&) = delete;
  AcceptLoop& operator=(const AcceptLoop&) = delete;

  // Starts the loop. The acceptor has to be listening; this makes it non-blocking. Throws
  // boost::system::system_error.
  void Start() {
    acceptor_.non_blocking(true);
    Wait();
  }

  // Accepts all connections in the backlog without checking for capacity. Returns true if the backlog is
  // empty, or the acceptor closed, and false if an error ended it.
  bool AcceptBacklog() {
    while (acceptor_.is_open()) {
      const auto status = AcceptNext();
      if (status != AcceptStatus::kAccepted) return status == AcceptStatus::kBacklogEmpty;
    }
    return true;
  }

 private:
  // For when the owner has no room because all connections are in use. Short, as any of them may end soon.
  static constexpr Duration kNoCapacityPause = std::chrono::milliseconds(20);
  static constexpr Duration kFirstPause = std::chrono::milliseconds(5);
  static constexpr Duration kMaxPause = std::chrono::milliseconds(100);
  static constexpr Duration kLogInterval = std::chrono::seconds(1);

  // Waits for a connection in the backlog. Nothing is closed and no descriptor reserved for it in advance.
  // Closing the acceptor ends the wait, and with it the loop.
  void Wait() {
    acceptor_.async_wait(Acceptor::wait_read, [this](boost::system::error_code error) {
      if (error == boost::asio::error::operation_aborted || !acceptor_.is_open()) return;
      if (error) return WaitAfter(HandleAcceptError(error));
      AcceptPending();
    });
  }

  // If the acceptor is closed meanwhile, the loop ends when the pause is over.
  void WaitAfter(Duration pause) {
    pause_timer_.expires_after(pause);
    pause_timer_.async_wait([this](boost::system::error_code error) {
      if (!error && acceptor_.is_open()) Wait();
    });
  }

  void AcceptPending() {
    do {
      if (owner_.ensure_capacity && !owner_.ensure_capacity()) return WaitAfter(kNoCapacityPause);
      const auto status = AcceptNext();
      if (status == AcceptStatus::kBacklogEmpty) break;
      if (status != AcceptStatus::kAccepted) return WaitAfter(next_pause_);
    } while (acceptor_.is_open() && (!owner_.has_capacity || owner_.has_capacity()));
    if (acceptor_.is_open()) Wait();
  }

  // If an accepted connection can't be registered with the event loop, its descriptor is kept for the next
  // call.
  AcceptStatus AcceptNext() {
    AcceptResult result;
    if (unregistered_descriptor_) {
      result = {AcceptStatus::kAccepted, *unregistered_descriptor_};
      unregistered_descriptor_.reset();
    } else {
      result = AcceptOne(acceptor_.native_handle());
    }
    if (result.status == AcceptStatus::kAccepted) {
      Socket socket(io_);
      socket.assign(protocol_, result.descriptor, result.error);
      if (!result.error) {
        socket.non_blocking(true, result.error);
        next_pause_ = kFirstPause;
        owner_.on_accepted(std::move(socket));
        return result.status;
      }
      unregistered_descriptor_ = result.descriptor;
      result.status = AcceptStatus::kSystemOutOfResources;
    }
    if (result.status == AcceptStatus::kBacklogEmpty) {
      next_pause_ = kFirstPause;
      return result.status;
    }
    HandleAcceptError(result.error);
    if (result.status == AcceptStatus::kProcessOutOfDescriptors && owner_.on_out_of_descriptors) {
      owner_.on_out_of_descriptors();
    }
    return result.status;
  }

  // Logs the error, at most once per kLogInterval, and doubles the pause. Returns the pause before doubling.
  Duration HandleAcceptError(boost::system::error_code error) {
    const TimePoint now = Now();
    if (!last_logged_at_ || now - *last_logged_at_ >= kLogInterval) {
      log_.Write(
          LogEvent(log_events::kAcceptFailed).With("listener", listener_).With("error", error.message()));
      last_logged_at_ = now;
    }
    const Duration pause = next_pause_;
    next_pause_ = std::min(2 * next_pause_, kMaxPause);
    return pause;
  }

  boost::asio::io_context& io_;
  Acceptor& acceptor_;
  const Protocol protocol_;
  Logger& log_;
  const std::string listener_;
  const Owner owner_;
  boost::asio::steady_timer pause_timer_;
  Duration next_pause_ = kFirstPause;
  std::optional<TimePoint> last_logged_at_;
  std::optional<int> unregistered_descriptor_;  // accepted, but not yet registered with the event loop
};

}  // namespace lb::sidecar
