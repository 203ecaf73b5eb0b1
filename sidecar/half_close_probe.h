// Tells a half-close from a close. A client that has ended its sending may still wait for its response, as
// HTTP allows (RFC 9112, 9.6), or it may have closed both ways; TCP shows the same FIN for both. The probe
// sends it some bytes that it must ignore (ResponseWriter::WriteProbe): a client that has closed answers them
// with a reset.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "sidecar/clock.h"
#include "sidecar/response_writer.h"

namespace lb::sidecar {

// The connection has ended both ways, not only the peer's sending, as the kernel has it now.
bool IsConnectionOver(boost::asio::ip::tcp::socket& socket);

class HalfCloseProbe {
 public:
  enum class State {
    kNotSent,
    kOutstanding,      // sent; no reset yet
    kClientConnected,  // no reset in time: the client waits for its response
  };
  enum class Result { kClientConnected, kConnectionOver };

  // Both outlive the probe.
  HalfCloseProbe(boost::asio::ip::tcp::socket& socket, ResponseWriter& writer)
      : socket_(socket), writer_(writer), timer_(socket.get_executor()) {}

  // Sends the probe, unless one is outstanding or has been answered. False: the connection is over, and
  // `on_result` is not called. `on_result` is called from the event loop, and has to own the owner of the
  // probe.
  [[nodiscard]] bool Send(std::function<void(Result)> on_result);

  // The client may have closed since the last result, and another probe can be sent.
  bool IsResultStale(TimePoint now) const;
  void DiscardResult() { state_ = State::kNotSent; }
  // The connection is closed.
  void Cancel();

  State state() const { return state_; }

 private:
  bool WasReset();

  boost::asio::ip::tcp::socket& socket_;
  ResponseWriter& writer_;
  boost::asio::steady_timer timer_;
  State state_ = State::kNotSent;
  TimePoint connected_at_;  // when the client was last found to be connected
};

}  // namespace lb::sidecar
