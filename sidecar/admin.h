// The admin interface's HTTP server: reads one request per connection, calls its handler, sends the response
// and closes the connection. admin_commands.h defines the commands.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "settings/config.h"
#include "sidecar/acceptor.h"
#include "sidecar/http.h"
#include "sidecar/log.h"

namespace lb::sidecar {

// Serves at most kMaxConnections connections at a time, each with its own timeout. A new connection evicts an
// old one when the limit is reached, so that idle connections cannot lock operators out.
class AdminInterface {
 public:
  // The maximum number of open connections, and of descriptors: one for each connection and one for the
  // listening socket.
  static constexpr std::size_t kMaxConnections = 11;
  static constexpr std::size_t kDescriptors = kMaxConnections + 1;

  // Handles one request synchronously.
  using OnRequest = std::function<HttpResponse(http::verb method, const std::string& target)>;

  // Binds and listens; throws boost::system::system_error. `log` has to outlive the interface.
  AdminInterface(boost::asio::io_context& io, const Endpoint& endpoint, Logger& log, OnRequest on_request);
  ~AdminInterface();

  Endpoint local() const { return acceptor_.local_endpoint(); }

 private:
  class Connection;

  // If the limit is reached, closes the oldest connection that has not sent a whole request, or else the
  // oldest one. Operators' tools send the request as soon as they connect, so that a connection which is
  // still without a request when others follow is most likely idle. Always returns true.
  bool EnsureCapacity();
  void Admit(boost::asio::ip::tcp::socket socket);

  const OnRequest on_request_;
  boost::asio::ip::tcp::acceptor acceptor_;
  AcceptLoop<boost::asio::ip::tcp> accept_loop_;
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
};

}  // namespace lb::sidecar
