#include "sidecar/acceptor.h"

#include <sys/socket.h>

#include <cerrno>

namespace lb::sidecar {
namespace {

// Lost connections in a row that are skipped before the event loop gets its turn.
constexpr int kMaxLostAtOnce = 16;

// By accept(2): Linux hands errors of the new connection's network to the call, which are to be treated as if
// nothing had been there yet; EPERM is a firewall's.
AcceptStatus StatusOf(int error) {
  switch (error) {
    case EAGAIN:
      return AcceptStatus::kNothingWaits;
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
      return AcceptStatus::kProcessShortage;
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
      return AcceptStatus::kSystemShortage;
    default:
      return AcceptStatus::kFailed;
  }
}

}  // namespace

AcceptResult AcceptOne(int listening) {
  AcceptResult result;
  for (int i = 0; i < kMaxLostAtOnce; ++i) {
    result.descriptor = ::accept(listening, nullptr, nullptr);
    if (result.descriptor >= 0) return {AcceptStatus::kTaken, result.descriptor};
    result.error = {errno, boost::system::system_category()};
    result.status = StatusOf(errno);
    if (result.status != AcceptStatus::kConnectionLost) break;
  }
  return result;
}

}  // namespace lb::sidecar
