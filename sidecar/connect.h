// Connects to an upstream, and distinguishes failures of this machine from those of the upstream or the
// network. Replaces Asio's async_connect, which treats EAGAIN (no local port left) as a connection in
// progress, and EINTR as a failed one.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <optional>

namespace lb::sidecar {

struct ConnectResult {
  boost::system::error_code error{};
  // True if this machine could not even try to connect: no port, no memory, no route, or its own firewall.
  // Nothing was sent to the upstream, so the failure must not count against it.
  bool is_local = false;
};

// Calls connect(). `socket` must be open and non-blocking. Returns none if the connection is in progress;
// AwaitConnected() then reports the result.
std::optional<ConnectResult> BeginConnect(boost::asio::ip::tcp::socket& socket,
                                          const boost::asio::ip::tcp::endpoint& endpoint);

// Calls `on_connected` once, from the event loop and never from within the call. `socket` must live until
// then; closing it ends the wait with operation_aborted.
void AwaitConnected(boost::asio::ip::tcp::socket& socket, std::function<void(ConnectResult)> on_connected);

}  // namespace lb::sidecar
