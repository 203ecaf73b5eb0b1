// Hot restart: a process hands the clients' listening socket to the one that follows it, and the two tell
// each other what operators say. Each knows of the other by their connection, which ends with either.
//
// On the connection the earlier process sends a byte with the descriptor, the later one `r` once it serves.
// From then on either may send lines, `+WORD` or `-WORD`; earlier versions pass over them.
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
#include "sidecar/log.h"

namespace lb::sidecar {

class HotRestart {
 public:
  struct Handlers {
    std::function<void()> on_change;  // the other process has come, is ready, or has gone
    std::function<void()> on_next;    // a next process has the socket: what it has to know is told now
    std::function<void(const std::string& word, bool set)> on_word;  // the other process was told so
  };

  // `folder`: where the processes meet; empty where they can't.
  HotRestart(boost::asio::io_context& io, std::string folder, Logger& log, Handlers handlers);
  ~HotRestart();

  // The listening socket of the process before this one, where one runs and hands it over. Waits for a
  // moment.
  std::optional<int> InheritListener();
  // This process serves: it is the one that the next asks for `listening`, and the one before may leave.
  void OfferListener(int listening);

  // Tells a word of the operators to the other processes, where there are some.
  void Tell(const std::string& word, bool set);
  void TellNext(const std::string& word, bool set);

  bool after_another() const { return before_ != nullptr; }
  bool has_next() const { return next_ != nullptr; }
  bool next_serves() const { return next_ && next_serves_; }

 private:
  using Local = boost::asio::local::stream_protocol;
  using Socket = Local::socket;
  using SocketAddress = Local::endpoint;
  class Neighbour;

  std::optional<SocketAddress> SocketPath();
  void Listen();
  boost::system::error_code Open(const SocketAddress& path);
  void FollowNext(Socket socket);
  void SendListener(int tries);
  void WatchBefore();
  void WatchNext();
  void TellBefore(const std::string& line);

  boost::asio::io_context& io_;
  const std::string folder_;
  Logger& log_;
  const Handlers handlers_;
  Local::acceptor acceptor_;
  std::optional<AcceptLoop<Local>> accept_loop_;  // once it listens
  boost::asio::steady_timer pause_;               // until it tries to listen again
  boost::asio::steady_timer send_pause_;          // of the descriptor, likewise
  Duration listen_pause_{};                       // grows from failure to failure
  int listening_ = -1;                            // not owned
  std::shared_ptr<Neighbour> before_;
  std::shared_ptr<Neighbour> next_;
  bool next_serves_ = false;
  bool offered_ = false;
  std::string untold_;  // lines for the process before, until this one serves
};

}  // namespace lb::sidecar
