// The connections of one application to its sidecar: idle ones are reused, the most recently used one first.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <set>
#include <vector>

#include "lab/real/http_client_connection.h"

namespace lb::lab {

class ClientConnections {
 public:
  using ConnectionPointer = std::shared_ptr<HttpClientConnection>;

  // `io` has to outlive it; connections of which a callback is still to come need not.
  ClientConnections(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint sidecar);
  ~ClientConnections();
  ClientConnections(const ClientConnections&) = delete;
  ClientConnections& operator=(const ClientConnections&) = delete;

  // Whether new connections are opened, as at the start. Without them there are only those that are open.
  void SetConnecting(bool is_connecting) { is_connecting_ = is_connecting; }
  bool is_connecting() const { return is_connecting_; }
  bool has_idle() const { return !idle_.empty(); }

  // An idle connection, else a new one; null if none is idle and none may be opened.
  ConnectionPointer Take();
  // A new connection, whatever is idle.
  ConnectionPointer Open();
  // Keeps a connection for the next request if it is usable, and closes it otherwise.
  void Return(const ConnectionPointer& connection);
  // Closes one; null does nothing.
  void Discard(const ConnectionPointer& connection);
  void CloseAll();

  std::size_t size() const { return open_.size(); }

 private:
  boost::asio::io_context& io_;
  const boost::asio::ip::tcp::endpoint sidecar_;
  std::set<ConnectionPointer> open_;
  std::vector<ConnectionPointer> idle_;  // of the open ones; the most recently used one last
  bool is_connecting_ = true;
  // Says to callbacks of connections that outlive this object whether it is there.
  std::shared_ptr<ClientConnections*> itself_;
};

}  // namespace lb::lab
