// Connection pool of one client application to its sidecar. Reuses the most recently used idle connection
// first.
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

  // `io` must outlive this object. Connections with pending callbacks may outlive it.
  ClientConnections(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint sidecar);
  ~ClientConnections();
  ClientConnections(const ClientConnections&) = delete;
  ClientConnections& operator=(const ClientConnections&) = delete;

  // Allows (the default) or forbids Take() to open new connections. Open connections stay.
  void SetConnecting(bool is_connecting) { is_connecting_ = is_connecting; }
  bool is_connecting() const { return is_connecting_; }
  bool has_idle() const { return !idle_.empty(); }

  // Returns an idle connection, otherwise a new one; null if none is idle and new ones are forbidden.
  ConnectionPointer Take();
  // Opens a new connection even if others are idle or new ones are forbidden.
  ConnectionPointer Open();
  // Keeps a connection for the next request if it is usable, otherwise closes it.
  void Return(const ConnectionPointer& connection);
  // Closes a connection. No effect for null.
  void Discard(const ConnectionPointer& connection);
  void CloseAll();

  std::size_t size() const { return open_.size(); }

 private:
  boost::asio::io_context& io_;
  const boost::asio::ip::tcp::endpoint sidecar_;
  std::set<ConnectionPointer> open_;
  std::vector<ConnectionPointer> idle_;  // subset of open_, least recently used first
  bool is_connecting_ = true;
  // Connections' callbacks hold weak pointers to it, which expire with this object.
  std::shared_ptr<ClientConnections*> liveness_;
};

}  // namespace lb::lab
