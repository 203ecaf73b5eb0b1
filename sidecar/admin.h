// The operators' door: takes one call a connection, has it answered, and closes. What a call means is said
// elsewhere.
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

class Admin {
 public:
  // The descriptors it needs at most: its own and those of callers.
  static constexpr std::size_t kMostCallers = 11;
  static constexpr std::size_t kDescriptors = kMostCallers + 1;

  // Answers one call at once.
  using OnCall = std::function<HttpResponse(http::verb method, const std::string& target)>;

  // Binds and listens; throws boost::system::system_error.
  Admin(boost::asio::io_context& io, const Endpoint& endpoint, Logger& log, OnCall on_call);
  ~Admin();

  Endpoint local() const { return acceptor_.local_endpoint(); }

 private:
  class Caller;

  bool EnsureCapacity();
  void Admit(boost::asio::ip::tcp::socket socket);

  const OnCall on_call_;
  boost::asio::ip::tcp::acceptor acceptor_;
  AcceptLoop<boost::asio::ip::tcp> accept_loop_;
  std::list<std::shared_ptr<Caller>> callers_;  // the oldest first
};

}  // namespace lb::sidecar
