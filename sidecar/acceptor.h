// Takes connections from a listening socket, whatever accept() fails with: the one place that tells its
// errors apart, and the loop that every listener of the program accepts by.
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

namespace lb::sidecar {

// What one accept() came to.
enum class AcceptStatus {
  kTaken,
  kNothingWaits,
  kConnectionLost,   // one connection's own trouble, or an interruption; the next may be well
  kProcessShortage,  // this process has no descriptor left; what waits stays in the backlog
  kSystemShortage,   // the machine has no descriptor or memory left; likewise
  kFailed,           // anything else
};

struct AcceptResult {
  AcceptStatus status = AcceptStatus::kNothingWaits;
  int descriptor = -1;  // of a taken one; the caller's
  boost::system::error_code error{};
};

// Takes one connection that waits. `listening` has to be non-blocking; so this never blocks. Connections that
// were lost while they waited are passed over, a few at once.
AcceptResult AcceptOne(int listening);

// Accepts for as long as its acceptor is open: no error ends it. After an error it waits a little, longer
// from error to error in a row, so that one that stays costs next to nothing.
template <typename Protocol>
class AcceptLoop {
 public:
  using Acceptor = boost::asio::basic_socket_acceptor<Protocol>;
  using Socket = typename Protocol::socket;

  struct Owner {
    // Makes sure that one more can be held. False: it can't; asked again soon. Null: it always can.
    std::function<bool()> ensure_capacity;
    // Can one more be held with nothing closed for it? False: the next one is waited for first. Null: always.
    std::function<bool()> has_capacity;
    // One more is taken; the socket is non-blocking.
    std::function<void(Socket)> on_taken;
    // This process ran out of descriptors: the owner may close what can be spared. Null: nothing can.
    std::function<void()> on_process_shortage;
  };

  // `what`: the log's name for it. `protocol`: of the acceptor. `acceptor` is the owner's, and has to outlive
  // this.
  AcceptLoop(boost::asio::io_context& io, Acceptor& acceptor, Logger& log, std::string what,
             Protocol protocol, Owner owner)
      : io_(io),
        acceptor_(acceptor),
        protocol_(protocol),
        log_(log),
        what_(std::move(what)),
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

  // Takes all that waits by now, whatever can be held. True: nothing waits any more.
  bool TakeWaiting() {
    while (acceptor_.is_open()) {
      const auto status = TakeOne();
      if (status != AcceptStatus::kTaken) return status == AcceptStatus::kNothingWaits;
    }
    return true;
  }

 private:
  static constexpr Duration kNoCapacityPause = std::chrono::milliseconds(20);
  static constexpr Duration kFirstPause = std::chrono::milliseconds(5);
  static constexpr Duration kLongestPause = std::chrono::milliseconds(100);
  static constexpr Duration kLogEvery = std::chrono::seconds(1);

  // Waits for a connection before anything is closed for it, and without a descriptor of its own.
  void Wait() {
    acceptor_.async_wait(Acceptor::wait_read, [this](boost::system::error_code error) {
      if (error == boost::asio::error::operation_aborted || !acceptor_.is_open()) return;
      if (error) return WaitIn(Failed(error));
      Take();
    });
  }

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

  // One that was accepted but could not be watched is not let go: it waits for the next turn.
  AcceptStatus TakeOne() {
    AcceptResult result;
    if (unwatched_) {
      result = {AcceptStatus::kTaken, *std::exchange(unwatched_, std::nullopt)};
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

  // Logs the first in a while, and lengthens the pause. Returns the pause.
  Duration Failed(boost::system::error_code error) {
    const TimePoint now = Now();
    if (!logged_ || now - *logged_ >= kLogEvery) {
      log_.Line(what_ + ": " + error.message());
      logged_ = now;
    }
    return std::exchange(next_pause_, std::min(2 * next_pause_, kLongestPause));
  }

  boost::asio::io_context& io_;
  Acceptor& acceptor_;
  const Protocol protocol_;
  Logger& log_;
  const std::string what_;
  const Owner owner_;
  boost::asio::steady_timer pause_;
  Duration next_pause_ = kFirstPause;
  std::optional<TimePoint> logged_;
  std::optional<int> unwatched_;
};

}  // namespace lb::sidecar
