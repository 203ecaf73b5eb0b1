// The admin interface's sockets: reads one request a connection, has it handled, sends the response and
// closes. What a request asks for is in admin_commands.h.
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

// A few connections at a time, each with its own timeout: an operator is served however many callers send
// nothing.
class AdminInterface {
 public:
  // The connections that are open at a time, and the descriptors that the interface needs for them and
  // itself.
  static constexpr std::size_t kMaxConnections = 11;
  static constexpr std::size_t kDescriptors = kMaxConnections + 1;

  // Handles one request, at once.
  using OnRequest = std::function<HttpResponse(http::verb method, const std::string& target)>;

  // Binds and listens; throws boost::system::system_error. `log` has to outlive the interface.
  AdminInterface(boost::asio::io_context& io, const Endpoint& endpoint, Logger& log, OnRequest on_request);
  ~AdminInterface();

  Endpoint local() const { return acceptor_.local_endpoint(); }

 private:
  class Connection;

  // Connections that send nothing must not block others: the one that has waited longest without a whole
  // request makes room. A request comes with its connection, so a new one is soon handled.
  bool EnsureCapacity();
  void Admit(boost::asio::ip::tcp::socket socket);

  const OnRequest on_request_;
  boost::asio::ip::tcp::acceptor acceptor_;
  AcceptLoop<boost::asio::ip::tcp> accept_loop_;
  std::list<std::shared_ptr<Connection>> connections_;  // the oldest first
};

}  // namespace lb::sidecar
