// Hot restart, similar to Envoy's: a process passes the listening socket for clients to the process that
// replaces it, and while both run they exchange the operators' overrides. They are connected by a Unix
// socket, so that each detects the end of the other by the end of the connection. hot_restart_messages.h
// defines the messages.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sidecar/acceptor.h"
#include "sidecar/clock.h"
#include "sidecar/held_endpoint_list.h"
#include "sidecar/hot_restart_messages.h"
#include "sidecar/list_messages.h"
#include "sidecar/log.h"
#include "sidecar/neighbour_process.h"

namespace lb::sidecar {

// This process's connections to the previous process, which it replaces, and to the next process, which
// replaces it. Either may be missing.
class HotRestart {
 public:
  struct Handlers {
    std::function<void()> on_change;          // a neighbour has connected, started to serve, or ended
    std::function<void()> on_next_connected;  // the next process has the listener and awaits all overrides
    std::function<void(const OverrideMessage&)> on_override;  // received from a neighbour
    std::function<void(EndpointList)> on_list;                // the list of the previous process
  };

  // `folder`: contains the Unix socket; empty if hot restarts are not possible. `clock` converts the start
  // times in the previous process's list. `clock` and `log` have to outlive this object.
  HotRestart(boost::asio::io_context& io, std::string folder, const UnixClock& clock, Logger& log,
             Handlers handlers);
  ~HotRestart();

  // Connects to the previous process and returns its listening socket, which the caller has to close; nullopt
  // if no process is running or it does not pass the socket in time. Blocks for up to one second, which is
  // acceptable at start-up only.
  std::optional<int> InheritListener();
  // To be called once this process serves: tells the previous process so, and passes `listener` to each next
  // process that connects from now on. The caller keeps ownership of `listener`.
  void OfferListener(int listener);

  // Sends an override to both neighbours, or to the next process only; does nothing for a missing one.
  void Notify(const OverrideMessage& message);
  void NotifyNext(const OverrideMessage& message);
  // Passes the endpoint list to the next process, if there is one.
  void SendListToNext(const HeldEndpointList& list);

  bool has_previous() const { return previous_ != nullptr; }  // the previous process is still running
  bool has_next() const { return next_ != nullptr; }
  bool next_serves() const { return next_ && next_serves_; }

 private:
  using Local = boost::asio::local::stream_protocol;
  using Socket = Local::socket;
  using SocketAddress = Local::endpoint;

  // Nullopt if there is no folder, or if its path is too long for a socket address.
  std::optional<SocketAddress> SocketPath();
  void Listen();
  boost::system::error_code Open(const SocketAddress& path);
  void HandleNextConnected(Socket socket);
  void SendListener(int tries);
  void WatchPrevious();
  void WatchNext();
  void HandleListLine(const std::string& line);
  void HandleOverrideLine(const std::string& line, const std::function<void(const std::string&)>& forward);
  void NotifyPrevious(const std::string& line);

  boost::asio::io_context& io_;
  const std::string folder_;
  Logger& log_;
  const Handlers handlers_;
  Local::acceptor acceptor_;
  std::optional<AcceptLoop<Local>> accept_loop_;  // has a value once `acceptor_` listens
  boost::asio::steady_timer listen_retry_;
  boost::asio::steady_timer send_retry_;  // for SendListener()
  Duration listen_backoff_{};             // zero before the first failure
  int listener_ = -1;                     // not owned
  std::shared_ptr<NeighbourProcess> previous_;
  std::shared_ptr<NeighbourProcess> next_;
  bool next_serves_ = false;
  bool listener_offered_ = false;
  ListReceiver list_receiver_;   // of the previous process's list
  std::string held_back_lines_;  // lines to send to the previous process after kServesByte
};

}  // namespace lb::sidecar
