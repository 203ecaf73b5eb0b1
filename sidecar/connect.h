// Connecting to an upstream, with failures of this machine told apart from those of the upstream or the
// network. In place of Asio's async_connect, which takes EAGAIN (no local port left) for a connection that is
// under way, and EINTR for one that failed.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <optional>

namespace lb::sidecar {

struct ConnectResult {
  boost::system::error_code error{};
  // True where this machine could not even try: no port, no memory, no route, its own firewall. The upstream
  // has seen nothing, and the failure says nothing of it.
  bool is_local = false;
};

// Calls connect(). `socket` is open and not blocking. Returns none where the connection is under way: then
// AwaitConnected() tells how it ends.
std::optional<ConnectResult> BeginConnect(boost::asio::ip::tcp::socket& socket,
                                          const boost::asio::ip::tcp::endpoint& endpoint);

// Calls `on_connected` once, from the event loop and never from within. `socket` has to live until then;
// closing it ends the wait with operation_aborted.
void AwaitConnected(boost::asio::ip::tcp::socket& socket, std::function<void(ConnectResult)> on_connected);

}  // namespace lb::sidecar
