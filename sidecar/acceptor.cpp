#include "sidecar/acceptor.h"

#include <sys/socket.h>

#include <cerrno>

namespace lb::sidecar {
namespace {

// How many failed connections in a row are skipped before control returns to the event loop.
constexpr int kMaxFailedInARow = 16;

// Follows accept(2): Linux reports pending network errors of the new connection as errors of accept(), to be
// treated like EAGAIN. EPERM means that a firewall rule forbids the connection.
AcceptStatus StatusOf(int error) {
  switch (error) {
    case EAGAIN:
      return AcceptStatus::kBacklogEmpty;
    case EINTR:
    case ECONNABORTED:
    case EPROTO:
    case ENETDOWN:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
    case ETIMEDOUT:
    case ECONNRESET:
    case EPERM:
      return AcceptStatus::kConnectionLost;
    case EMFILE:
      return AcceptStatus::kProcessOutOfDescriptors;
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
      return AcceptStatus::kSystemOutOfResources;
    default:
      return AcceptStatus::kFailed;
  }
}

}  // namespace

AcceptResult AcceptOne(int listening) {
  AcceptResult result;
  for (int i = 0; i < kMaxFailedInARow; ++i) {
    result.descriptor = ::accept(listening, nullptr, nullptr);
    if (result.descriptor >= 0) return {AcceptStatus::kAccepted, result.descriptor};
    result.error = {errno, boost::system::system_category()};
    result.status = StatusOf(errno);
    if (result.status != AcceptStatus::kConnectionLost) break;
  }
  return result;
}

}  // namespace lb::sidecar
