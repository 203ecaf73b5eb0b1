// Connecting to an upstream, told apart by whose trouble a failure is. Asio's own async_connect takes EAGAIN
// (no local port left) for a connection that is under way, and EINTR for one that failed.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <optional>

namespace lb::sidecar {

struct ConnectResult {
  boost::system::error_code error{};
  // This machine could not even try (no port, no memory, no route, its own firewall): it says nothing of the
  // upstream, which has seen nothing.
  bool local = false;
};

// `socket` is open and not blocking. Nothing where the connection is under way: to be awaited.
std::optional<ConnectResult> BeginConnect(boost::asio::ip::tcp::socket& socket,
                                          const boost::asio::ip::tcp::endpoint& endpoint);

// `socket` has to live until `done` is called: once, never from within. Closing the socket ends it with
// operation_aborted.
void AwaitConnected(boost::asio::ip::tcp::socket& socket, std::function<void(ConnectResult)> done);

}  // namespace lb::sidecar
