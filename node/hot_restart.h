// Hot restart: a process hands the clients' listening socket to the one that follows it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "log.h"

namespace mothrack {

// Hands the listening socket from one process to the next. Each knows of the other by their connection, which
// ends with either.
class HotRestart {
 public:
  using OnChange = std::function<void()>;

  // `folder` as above. `on_change`: the other process has come, is ready, or has gone.
  HotRestart(boost::asio::io_context& io, std::string folder, Logger& log, OnChange on_change);
  ~HotRestart();

  // The listening socket of the process before this one, where one runs and hands it over. Waits for a
  // moment.
  std::optional<int> InheritListener();
  // This process serves: it is the one that the next asks for `listening`, and the one before may leave.
  void OfferListener(int listening);

  bool after_another() const { return before_ != nullptr; }
  bool has_next() const { return next_ != nullptr; }
  bool next_serves() const { return next_ && next_serves_; }

 private:
  using Socket = boost::asio::local::stream_protocol::socket;

  std::optional<boost::asio::local::stream_protocol::endpoint> SocketPath();
  void Accept();
  void WatchNext();
  void WatchBefore();

  boost::asio::io_context& io_;
  const std::string folder_;
  Logger& log_;
  const OnChange on_change_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  int listening_ = -1;  // not owned
  std::shared_ptr<Socket> before_;
  std::shared_ptr<Socket> next_;
  bool next_serves_ = false;
  char byte_ = 0;
  char ignored_ = 0;
};

}  // namespace mothrack
