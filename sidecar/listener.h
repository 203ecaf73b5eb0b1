// The clients' side of the sidecar: accepts connections, holds the set of them, and ends them by eviction,
// draining or a planned stop. What happens on one connection is ClientConnection's.
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
#include "sidecar/request_handler.h"

namespace lb::sidecar {

class Listener {
 public:
  using SendResponse = lb::sidecar::SendResponse;
  using OnDisconnected = lb::sidecar::OnDisconnected;
  using ClientPresence = lb::sidecar::ClientPresence;
  using CheckClient = lb::sidecar::CheckClient;
  using OnRequest = lb::sidecar::OnRequest;

  // Binds and listens on `endpoint`, together with other processes where it is `shared`, or takes over
  // `listening`, a socket that listens already. `body_capacity`: bytes of a streamed body that are held.
  // `is_ready`: GET /up answers 503 until it is true. Throws boost::system::system_error.
  Listener(boost::asio::io_context& io, const Endpoint& endpoint, bool shared, std::optional<int> listening,
           std::size_t body_capacity, Descriptors& descriptors, Logger& log, OnRequest on_request,
           std::function<bool()> is_ready);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void Start();  // accepts from now on; once is enough
  int native_handle() { return acceptor_.native_handle(); }
  Endpoint local() const { return acceptor_.local_endpoint(); }

  // While draining, GET /up answers 503, each response ends its connection and idle connections are closed;
  // requests are still served, also on new connections.
  void SetConnectionDraining(bool draining);

  // A planned stop, once: as draining, and accepting ends after a while; calls `done` when all connections
  // are closed. `handed_over`: another process accepts from the same socket by now, so this one stops at
  // once. From `stop_by` on no connection is accepted, or left open for a first request.
  void ShutDown(bool handed_over, TimePoint stop_by, std::function<void()> done);

 private:
  void Bind(const Endpoint& endpoint, bool shared);
  bool EnsureCapacity();
  void AddConnection(boost::asio::ip::tcp::socket socket);
  bool Evict();
  void BeginLeaving();
  void ScheduleSweep();
  void Sweep();
  void CloseAcceptorOnceEmpty();

  Descriptors& descriptors_;
  Logger& log_;
  boost::asio::ip::tcp::acceptor acceptor_;
  AcceptLoop<boost::asio::ip::tcp> accept_loop_;
  boost::asio::steady_timer sweep_;
  ClientConnectionContext context_;
  ClientConnections connections_;
  bool started_ = false;
  TimePoint stop_began_;              // of a planned stop
  std::function<void()> on_stopped_;  // likewise
};

}  // namespace lb::sidecar
