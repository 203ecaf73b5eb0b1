// Distinguishes a half-close from a close. A client that has ended its sending may still wait for its
// response, as HTTP allows (RFC 9112, 9.6), or it may have closed both directions; TCP sends the same FIN for
// both. The probe sends the client bytes that it has to ignore (ResponseWriter::WriteProbe): a client that
// has closed answers them with a reset.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "sidecar/clock.h"
#include "sidecar/response_writer.h"

namespace lb::sidecar {

// Whether the connection is closed in both directions, not only the peer's sending, according to the kernel's
// current state.
bool IsClosedBothWays(boost::asio::ip::tcp::socket& socket);

class HalfCloseProbe {
 public:
  enum class State {
    kNotSent,
    kOutstanding,      // sent; no reset received yet
    kClientConnected,  // no reset within the time limit: the client waits for its response
  };
  enum class Result { kClientConnected, kConnectionClosed };

  // Both have to outlive the probe.
  HalfCloseProbe(boost::asio::ip::tcp::socket& socket, ResponseWriter& writer)
      : socket_(socket), writer_(writer), timer_(socket.get_executor()) {}

  // Sends the probe, unless one is outstanding or has been answered; then nothing is sent and `on_result` is
  // dropped. Returns false if the connection is closed, without calling `on_result`. Otherwise `on_result` is
  // called from the event loop, unless the probe is cancelled. It has to keep the probe and its owner alive.
  [[nodiscard]] bool Send(std::function<void(Result)> on_result);

  // Whether the last result is so old that the client may have closed since, and another probe can be sent.
  bool IsResultStale(TimePoint now) const;
  void DiscardResult() { state_ = State::kNotSent; }
  // To be called when the connection is closed: no result is reported any more.
  void Cancel();

  State state() const { return state_; }

 private:
  bool WasReset();

  boost::asio::ip::tcp::socket& socket_;
  ResponseWriter& writer_;
  boost::asio::steady_timer timer_;
  State state_ = State::kNotSent;
  TimePoint last_connected_at_;  // when a probe last found the client connected
};

}  // namespace lb::sidecar
