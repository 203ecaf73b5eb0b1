// Hot restart (as Envoy's): a process hands the clients' listening socket to the one that follows it, and the
// two tell each other what operators say. Each knows of the other by their connection, which ends with either
// process. What they say to each other: hot_restart_messages.h.
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
#include "sidecar/hot_restart_messages.h"
#include "sidecar/log.h"
#include "sidecar/neighbour_process.h"

namespace lb::sidecar {

class HotRestart {
 public:
  struct Handlers {
    std::function<void()> on_change;          // the other process has come, serves, or has gone
    std::function<void()> on_next_connected;  // the next process has the socket: time to tell it what holds
    std::function<void(const OverrideMessage&)> on_override;  // operators said so to the other process
  };

  // `folder`: where the processes meet; empty where they can't. `log` has to outlive the hot restart.
  HotRestart(boost::asio::io_context& io, std::string folder, Logger& log, Handlers handlers);
  ~HotRestart();

  // The listening socket of the process before this one, where one runs and hands it over; the caller's to
  // close. Blocks for a second at most: there is nothing to serve yet.
  std::optional<int> InheritListener();
  // This process serves: from now on the next one is handed `listener`, which stays the caller's, and the one
  // before may leave.
  void OfferListener(int listener);

  // Tells the other processes, where there are some, what operators said to this one.
  void Notify(const OverrideMessage& message);
  void NotifyNext(const OverrideMessage& message);

  bool after_another() const { return previous_ != nullptr; }  // the process before this one still runs
  bool has_next() const { return next_ != nullptr; }
  bool next_serves() const { return next_ && next_serves_; }

 private:
  using Local = boost::asio::local::stream_protocol;
  using Socket = Local::socket;
  using SocketAddress = Local::endpoint;

  // Nothing where there is no folder, or where its path is too long for a socket's.
  std::optional<SocketAddress> SocketPath();
  void Listen();
  boost::system::error_code Open(const SocketAddress& path);
  void HandleNextConnected(Socket socket);
  void SendListener(int tries);
  void WatchPrevious();
  void WatchNext();
  void HandleOverrideLine(const std::string& line, const std::function<void(const std::string&)>& pass_on);
  void NotifyPrevious(const std::string& line);

  boost::asio::io_context& io_;
  const std::string folder_;
  Logger& log_;
  const Handlers handlers_;
  Local::acceptor acceptor_;
  std::optional<AcceptLoop<Local>> accept_loop_;  // once it listens
  boost::asio::steady_timer listen_retry_;
  boost::asio::steady_timer send_retry_;  // of the descriptor
  Duration listen_backoff_{};             // zero until a first failure
  int listener_ = -1;                     // not owned
  std::shared_ptr<NeighbourProcess> previous_;
  std::shared_ptr<NeighbourProcess> next_;
  bool next_serves_ = false;
  bool offered_ = false;
  std::string held_back_;  // lines for the previous process, until this one serves
};

}  // namespace lb::sidecar
