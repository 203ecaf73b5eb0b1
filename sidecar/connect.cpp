#include "sidecar/connect.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "sidecar/socket_io.h"

namespace lb::sidecar {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Whether an error that connect() returns immediately is a failure of this machine. An immediate ENETUNREACH
// or EHOSTUNREACH means that this machine has no route. If the network reports the upstream unreachable, the
// error comes later through SO_ERROR and counts as the upstream's failure, as do refusals and time-outs.
bool IsLocal(int error) {
  switch (error) {
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case EAGAIN:
    case ENOBUFS:
    case ENOMEM:
    case EMFILE:
    case ENFILE:
    case ENETDOWN:
    case ENETUNREACH:
    case EHOSTUNREACH:
    case EPERM:
    case EACCES:
      return true;
    default:
      return false;
  }
}

error_code SystemError(int error) { return {error, boost::system::system_category()}; }

}  // namespace

std::optional<ConnectResult> BeginConnect(tcp::socket& socket, const tcp::endpoint& endpoint) {
  const auto size = static_cast<socklen_t>(endpoint.size());
  if (::connect(socket.native_handle(), endpoint.data(), size) == 0) return ConnectResult{};
  // An interrupted connect() continues asynchronously (POSIX).
  if (errno == EINPROGRESS || errno == EINTR) return std::nullopt;
  return ConnectResult{SystemError(errno), IsLocal(errno)};
}

void AwaitConnected(tcp::socket& socket, std::function<void(ConnectResult)> on_connected) {
  // The owner may close the socket before the wait completes, which ends the wait with an error.
  socket.async_wait(tcp::socket::wait_write,
                    [&socket, on_connected = std::move(on_connected)](error_code error) mutable {
                      if (error) return on_connected({error});
                      const int descriptor = socket.native_handle();
                      // Spurious wake-up: the connection is still in progress.
                      if (PollNow(descriptor, POLLOUT) == 0)
                        return AwaitConnected(socket, std::move(on_connected));
                      int socket_error = 0;
                      socklen_t size = sizeof socket_error;
                      if (::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &socket_error, &size) != 0) {
                        return on_connected({SystemError(errno), IsLocal(errno)});
                      }
                      on_connected({SystemError(socket_error)});
                    });
}

}  // namespace lb::sidecar
