// The application's side: takes its connections, parses requests, passes answers, notices when it leaves.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "settings/config.h"
#include "sidecar/acceptor.h"
#include "sidecar/body_stream.h"
#include "sidecar/clock.h"
#include "sidecar/descriptors.h"
#include "sidecar/http.h"
#include "sidecar/log.h"

namespace lb::sidecar {

class Listener {
 public:
  // `body`: of an answer that passes through; null where the answer is whole.
  using SendResponse = std::function<void(HttpResponse, Body body)>;
  // What is to be done when the client leaves before its answer.
  using OnDisconnected = std::function<void()>;
  // A client that has ended its sending may have closed: that is not known for a moment.
  enum class ClientPresence { kConnected, kUnknown, kGone };
  // Looks at the client's connection. To be asked right before anything is begun for its request.
  using CheckClient = std::function<ClientPresence()>;
  // Takes one request and calls `reply` once, perhaps at once. `body`: of a request that passes through.
  using OnRequest =
      std::function<OnDisconnected(HttpRequest request, Body body, SendResponse reply, CheckClient look)>;

  // `can_serve`: `/up` says no until then. `pipe`: how much of a body that passes through is held.
  // Binds and listens, with other processes where it is `shared`, or takes over `listening`, a socket that
  // does so already; throws boost::system::system_error.
  Listener(boost::asio::io_context& io, const Endpoint& endpoint, bool shared, std::optional<int> listening,
           std::size_t pipe, Descriptors& descriptors, Logger& log, OnRequest on_request,
           std::function<bool()> can_serve);
  ~Listener();

  void Start();  // takes clients from now on; once is enough
  int native_handle() { return acceptor_.native_handle(); }
  Endpoint local() const { return acceptor_.local_endpoint(); }

  // Sends clients away, or takes them again: `/up` says no, answers close their connections and idle ones are
  // closed, but whoever comes all the same is served.
  void SetConnectionDraining(bool away);
  // A planned stop: serves what still comes for a while, tells each client to close, then calls `done`. Where
  // another process takes the clients from the same socket by now, `handed_over`, that one serves what comes.
  // From `stop_by` on no connection is accepted, or left open for a first request.
  void ShutDown(bool handed_over, TimePoint stop_by, std::function<void()> done);

 private:
  class Connection;

  void Bind(const Endpoint& endpoint, bool shared);
  bool EnsureCapacity();
  void Admit(boost::asio::ip::tcp::socket socket);
  // Closes the client connection that can be spared best; false where there is none.
  bool Evict();
  void ScheduleSweep();
  void Sweep();
  void CloseAcceptorOnceEmpty();
  bool Leaving() const { return away_ || drained_; }

  boost::asio::io_context& io_;
  const std::size_t pipe_;
  Descriptors& descriptors_;
  Logger& log_;
  const OnRequest on_request_;
  const std::function<bool()> can_serve_;
  boost::asio::ip::tcp::acceptor acceptor_;
  AcceptLoop<boost::asio::ip::tcp> accept_loop_;
  boost::asio::steady_timer sweep_;
  std::set<std::shared_ptr<Connection>> connections_;
  bool started_ = false;
  bool handed_over_ = false;
  bool away_ = false;
  std::function<void()> drained_;  // set while draining
  TimePoint drain_started_;
  TimePoint stop_by_ = TimePoint::max();
  TimePoint leaving_since_;  // clients are sent away, for whatever reason
};

}  // namespace lb::sidecar
