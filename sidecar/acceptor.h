// Accepts connections from a listening socket, whatever accept() fails with: the one place that tells its
// errors apart, and the loop that every listening socket of the program is accepted from.
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
  kTaken,
  kNothingWaits,
  kConnectionLost,   // a fault of that one connection, or an interruption; the next may succeed
  kProcessShortage,  // this process has no descriptor left; what waits stays in the backlog
  kSystemShortage,   // the machine has no descriptor or memory left; likewise
  kFailed,           // anything else
};

struct AcceptResult {
  AcceptStatus status = AcceptStatus::kNothingWaits;
  int descriptor = -1;  // of kTaken: owned by the caller
  boost::system::error_code error{};
};

// Accepts one connection of the backlog. `listening` has to be non-blocking, so this never blocks.
// Connections that were lost while they waited are skipped, up to a bound.
AcceptResult AcceptOne(int listening);

// Accepts for as long as its acceptor is open: no error ends it. After an error it pauses, for a time that
// doubles with each further error in a row (backoff), so that an error that persists costs next to nothing.
template <typename Protocol>
class AcceptLoop {
 public:
  using Acceptor = boost::asio::basic_socket_acceptor<Protocol>;
  using Socket = typename Protocol::socket;

  struct Owner {
    // Makes capacity for one more connection. False: there is none; called again soon. Null: there always is.
    std::function<bool()> ensure_capacity;
    // Is there capacity for one more with nothing closed for it? False: the next one is waited for first.
    // Null: always.
    std::function<bool()> has_capacity;
    // One more is accepted; the socket is non-blocking.
    std::function<void(Socket)> on_taken;
    // The process ran out of descriptors: the owner may close a connection. Null: it has none to close.
    std::function<void()> on_process_shortage;
  };

  // `listener`: the log's name for it. `protocol`: of the acceptor. `acceptor` is the owner's, and has to
  // outlive this.
  AcceptLoop(boost::asio::io_context& io, Acceptor& acceptor, Logger& log, std::string listener,
             Protocol protocol, Owner owner)
      : io_(io),
        acceptor_(acceptor),
        protocol_(protocol),
        log_(log),
        listener_(std::move(listener)),
        owner_(std::move(owner)),
        pause_(io) {}
  ~AcceptLoop() {
    if (unwatched_) ::close(*unwatched_);
  }
  AcceptLoop(const AcceptLoop&) = delete;
  AcceptLoop& operator=(const AcceptLoop&) = delete;

  // The acceptor listens by now; makes it non-blocking. Throws boost::system::system_error.
  void Start() {
    acceptor_.non_blocking(true);
    Wait();
  }

  // Accepts all of the backlog, whatever the capacity. True: nothing waits any more.
  bool TakeWaiting() {
    while (acceptor_.is_open()) {
      const auto status = TakeOne();
      if (status != AcceptStatus::kTaken) return status == AcceptStatus::kNothingWaits;
    }
    return true;
  }

 private:
  // All connections are busy; one may end any moment.
  static constexpr Duration kNoCapacityPause = std::chrono::milliseconds(20);
  static constexpr Duration kFirstPause = std::chrono::milliseconds(5);
  static constexpr Duration kMaxPause = std::chrono::milliseconds(100);
  static constexpr Duration kLogEvery = std::chrono::seconds(1);

  // Waits for a connection before anything is closed for it, and without a descriptor reserved for it. May
  // come first: a close of the acceptor, which ends the loop.
  void Wait() {
    acceptor_.async_wait(Acceptor::wait_read, [this](boost::system::error_code error) {
      if (error == boost::asio::error::operation_aborted || !acceptor_.is_open()) return;
      if (error) return WaitIn(Failed(error));
      Take();
    });
  }

  // May come first: a close of the acceptor, which ends the loop when the pause is over.
  void WaitIn(Duration pause) {
    pause_.expires_after(pause);
    pause_.async_wait([this](boost::system::error_code error) {
      if (!error && acceptor_.is_open()) Wait();
    });
  }

  void Take() {
    do {
      if (owner_.ensure_capacity && !owner_.ensure_capacity()) return WaitIn(kNoCapacityPause);
      const auto status = TakeOne();
      if (status == AcceptStatus::kNothingWaits) break;
      if (status != AcceptStatus::kTaken) return WaitIn(next_pause_);
    } while (acceptor_.is_open() && (!owner_.has_capacity || owner_.has_capacity()));
    if (acceptor_.is_open()) Wait();
  }

  // A connection that was accepted but could not be registered with the event loop is kept for the next call.
  AcceptStatus TakeOne() {
    AcceptResult result;
    if (unwatched_) {
      result = {AcceptStatus::kTaken, *unwatched_};
      unwatched_.reset();
    } else {
      result = AcceptOne(acceptor_.native_handle());
    }
    if (result.status == AcceptStatus::kTaken) {
      Socket socket(io_);
      socket.assign(protocol_, result.descriptor, result.error);
      if (!result.error) {
        socket.non_blocking(true, result.error);
        next_pause_ = kFirstPause;
        owner_.on_taken(std::move(socket));
        return result.status;
      }
      unwatched_ = result.descriptor;
      result.status = AcceptStatus::kSystemShortage;
    }
    if (result.status == AcceptStatus::kNothingWaits) {
      next_pause_ = kFirstPause;
      return result.status;
    }
    Failed(result.error);
    if (result.status == AcceptStatus::kProcessShortage && owner_.on_process_shortage) {
      owner_.on_process_shortage();
    }
    return result.status;
  }

  // Logs an error, one a second at most, and lengthens the pause. Returns the pause before this.
  Duration Failed(boost::system::error_code error) {
    const TimePoint now = Now();
    if (!logged_ || now - *logged_ >= kLogEvery) {
      log_.Write(
          LogEvent(log_events::kAcceptFailed).With("listener", listener_).With("error", error.message()));
      logged_ = now;
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
  boost::asio::steady_timer pause_;
  Duration next_pause_ = kFirstPause;
  std::optional<TimePoint> logged_;
  std::optional<int> unwatched_;  // accepted, and not registered with the event loop
};

}  // namespace lb::sidecar
