// What survives an upgrade, in a folder under $TMPDIR that its processes share: the operators' words, which
// are for the sidecar and not for one process of it, each an empty file; and the clients' listening socket.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "log.h"

namespace mothrack {

struct Words {
  std::set<std::string> out;  // upstreams that are taken out
  bool drained = false;       // clients are sent away
  bool operator==(const Words&) const = default;
};

class Kept {
 public:
  using OnChange = std::function<void(const Words&)>;

  // `folder`: where to keep them; empty where nothing can be kept. `on_change` hears of each change, whoever
  // made it, at once or from the next look on.
  Kept(boost::asio::io_context& io, std::string folder, Logger& log, OnChange on_change);

  const Words& words() const { return words_; }
  void TakeOut(const std::string& upstream, bool out);
  void Drain(bool drained);

 private:
  void Mark(const std::string& name, bool set);
  void Look();
  void LookIn();
  // Goes on without the folder: what it holds is no longer what counts here.
  void GiveUp(const std::string& why);

  std::string folder_;
  Logger& log_;
  const OnChange on_change_;
  boost::asio::steady_timer timer_;
  Words words_;
  std::set<std::string> foreign_;  // names that were logged
};

// Hands the listening socket from one process to the next. Each knows of the other by their connection, which
// ends with either.
class Handover {
 public:
  using OnChange = std::function<void()>;

  // `folder` as above. `on_change`: the other process has come, is ready, or has gone.
  Handover(boost::asio::io_context& io, std::string folder, Logger& log, OnChange on_change);
  ~Handover();

  // The listening socket of the process before this one, where one runs and hands it over. Waits for a
  // moment.
  std::optional<int> Take();
  // This process serves: it is the one that the next asks for `listening`, and the one before may leave.
  void Offer(int listening);

  bool after_another() const { return before_ != nullptr; }
  bool has_next() const { return next_ != nullptr; }
  bool next_serves() const { return next_ && next_serves_; }

 private:
  using Socket = boost::asio::local::stream_protocol::socket;

  std::optional<boost::asio::local::stream_protocol::endpoint> Place();
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
