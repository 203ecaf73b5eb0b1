// The side of the sidecar that faces clients: accepts their connections, holds the set of open ones, and
// closes connections by eviction, draining or a planned stop. ClientConnection handles the traffic of a
// single connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <optional>

#include "settings/config.h"
#include "sidecar/acceptor.h"
#include "sidecar/client_connection.h"
#include "sidecar/clock.h"
#include "sidecar/connection_eviction.h"
#include "sidecar/descriptors.h"
#include "sidecar/log.h"
#include "sidecar/memory_budget.h"
#include "sidecar/request_handler.h"

namespace lb::sidecar {

class Listener {
 public:
  using SendResponse = lb::sidecar::SendResponse;
  using OnDisconnected = lb::sidecar::OnDisconnected;
  using ClientPresence = lb::sidecar::ClientPresence;
  using CheckClient = lb::sidecar::CheckClient;
  using OnRequest = lb::sidecar::OnRequest;

  // Binds and listens on `endpoint`, or takes over `listening`, the descriptor of a socket that is listening
  // already. `shared`: other processes may bind the same address (SO_REUSEPORT). `bodies`: of the requests.
  // `is_ready`: GET /up answers 503 until this returns true. `evict_response`: called when no connection can
  // be closed to accept another; ends a response, if one may be ended. Throws boost::system::system_error.
  Listener(boost::asio::io_context& io, const Endpoint& endpoint, bool shared, std::optional<int> listening,
           BodyBuffering bodies, Descriptors& descriptors, Logger& log, OnRequest on_request,
           std::function<bool()> is_ready, std::function<void()> evict_response);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Starts accepting connections. Further calls have no effect.
  void Start();
  int native_handle() { return acceptor_.native_handle(); }
  Endpoint local() const { return acceptor_.local_endpoint(); }

  // While draining, GET /up answers 503, each response closes its connection, and idle connections are
  // closed. Requests are still served, on open and on new connections.
  void SetConnectionDraining(bool draining);

  // Begins a planned stop; further calls have no effect. As in draining, and the socket also stops accepting
  // after a short time. Calls `done` from the event loop when all connections are closed. `handed_over`:
  // another process accepts from the same socket already, so this one stops accepting at once. `stop_by`:
  // from this time on, no connection is accepted or kept open for its first request.
  void ShutDown(bool handed_over, TimePoint stop_by, std::function<void()> done);

 private:
  void Bind(const Endpoint& endpoint, bool shared);
  bool EnsureCapacity();
  void AddConnection(boost::asio::ip::tcp::socket socket);
  bool Evict();
  void BeginDrain();
  void ScheduleSweep();
  void Sweep();
  void CloseAcceptorOnceEmpty();

  Descriptors& descriptors_;
  Logger& log_;
  const std::function<void()> evict_response_;
  boost::asio::ip::tcp::acceptor acceptor_;
  AcceptLoop<boost::asio::ip::tcp> accept_loop_;
  boost::asio::steady_timer sweep_;
  ClientConnectionContext context_;
  ClientConnections connections_;
  bool started_ = false;
  TimePoint stopping_since_;          // when the planned stop began
  std::function<void()> on_stopped_;  // called when the planned stop is complete
};

}  // namespace lb::sidecar
