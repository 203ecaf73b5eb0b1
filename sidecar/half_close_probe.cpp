#include "sidecar/half_close_probe.h"

#include <sys/socket.h>

#include <chrono>
#include <utility>

#include "sidecar/socket_io.h"

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

// A reset arrives within one round trip; on a loopback or host network that is well below this time.
constexpr Duration kHalfCloseProbeTimeout = milliseconds(5);
// A result that is older is not used: the client is probed again before the next attempt.
constexpr Duration kResultLifetime = milliseconds(20);

}  // namespace

bool IsClosedBothWays(boost::asio::ip::tcp::socket& socket) {
  return PollNow(socket.native_handle(), 0) != 0;
}

bool HalfCloseProbe::Send(std::function<void(Result)> on_result) {
  if (state_ != State::kNotSent) return true;
  state_ = State::kOutstanding;
  if (!writer_.WriteProbe() || WasReset()) return false;
  timer_.expires_after(kHalfCloseProbeTimeout);
  // Before the timer expires, the connection may be closed, which cancels the timer, or the response may be
  // written, which does not affect the probe.
  timer_.async_wait([this, on_result = std::move(on_result)](boost::system::error_code stopped) {
    if (stopped || state_ != State::kOutstanding) return;
    if (WasReset() || IsClosedBothWays(socket_)) return on_result(Result::kConnectionClosed);
    state_ = State::kClientConnected;
    last_connected_at_ = Now();
    on_result(Result::kClientConnected);
  });
  return true;
}

bool HalfCloseProbe::IsResultStale(TimePoint now) const {
  return state_ == State::kClientConnected && writer_.CanWriteProbe() &&
         now - last_connected_at_ > kResultLifetime;
}

void HalfCloseProbe::Cancel() {
  state_ = State::kNotSent;
  timer_.cancel();
}

bool HalfCloseProbe::WasReset() {
  int error = 0;
  socklen_t size = sizeof error;
  return ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
}

}  // namespace lb::sidecar
