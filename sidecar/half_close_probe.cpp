#include "sidecar/half_close_probe.h"

#include <sys/socket.h>

#include <chrono>
#include <utility>

#include "sidecar/socket_io.h"

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

// A reset comes back within a round trip, on a loopback or host network well within this time.
constexpr Duration kHalfCloseProbeTimeout = milliseconds(5);
// A client found to be connected is probed again ahead of an attempt that begins later than this.
constexpr Duration kResultLifetime = milliseconds(20);

}  // namespace

bool IsConnectionOver(boost::asio::ip::tcp::socket& socket) {
  return PollNow(socket.native_handle(), 0) != 0;
}

bool HalfCloseProbe::Send(std::function<void(Result)> on_result) {
  if (state_ != State::kNotSent) return true;
  state_ = State::kOutstanding;
  if (!writer_.WriteProbe() || WasReset()) return false;
  timer_.expires_after(kHalfCloseProbeTimeout);
  // May come first: a close of the connection, which cancels this, and the response, which is written all the
  // same.
  timer_.async_wait([this, on_result = std::move(on_result)](boost::system::error_code stopped) {
    if (stopped || state_ != State::kOutstanding) return;
    if (WasReset() || IsConnectionOver(socket_)) return on_result(Result::kConnectionOver);
    state_ = State::kClientConnected;
    connected_at_ = Now();
    on_result(Result::kClientConnected);
  });
  return true;
}

bool HalfCloseProbe::IsResultStale(TimePoint now) const {
  return state_ == State::kClientConnected && writer_.CanWriteProbe() &&
         now - connected_at_ > kResultLifetime;
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
