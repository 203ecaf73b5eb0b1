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

// What connect() itself says. A network or host that is unreachable at once has no route on this machine;
// where the network told so, it comes with SO_ERROR and counts as the upstream's. Refusals and time-outs do,
// too.
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
  // An interrupted one goes on, as POSIX has it.
  if (errno == EINPROGRESS || errno == EINTR) return std::nullopt;
  return ConnectResult{SystemError(errno), IsLocal(errno)};
}

void AwaitConnected(tcp::socket& socket, std::function<void(ConnectResult)> done) {
  socket.async_wait(tcp::socket::wait_write, [&socket, done = std::move(done)](error_code error) mutable {
    if (error) return done({error});
    const int descriptor = socket.native_handle();
    if (PollNow(descriptor, POLLOUT) == 0) return AwaitConnected(socket, std::move(done));
    int failed = 0;
    socklen_t size = sizeof failed;
    if (::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failed, &size) != 0) {
      return done({SystemError(errno), IsLocal(errno)});
    }
    done({SystemError(failed)});
  });
}

}  // namespace lb::sidecar
