#include "lab/real/port_reservation.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <system_error>
#include <utility>

namespace lb::lab {
namespace {

std::system_error ReservationError(const boost::asio::ip::tcp::endpoint& endpoint) {
  return std::system_error(errno, std::generic_category(),
                           "cannot reserve port " + std::to_string(endpoint.port()));
}

}  // namespace

PortReservation::PortReservation(const boost::asio::ip::tcp::endpoint& wanted) : endpoint_(wanted) {
  descriptor_ = ::socket(wanted.protocol().family(), SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor_ < 0) throw ReservationError(wanted);
  const int on = 1;
  auto size = static_cast<socklen_t>(endpoint_.capacity());
  const bool bound = ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
                     ::bind(descriptor_, wanted.data(), static_cast<socklen_t>(wanted.size())) == 0 &&
                     ::getsockname(descriptor_, endpoint_.data(), &size) == 0;
  if (bound) return;
  const std::system_error error = ReservationError(wanted);
  ::close(descriptor_);
  throw error;
}

PortReservation::~PortReservation() {
  if (descriptor_ >= 0) ::close(descriptor_);
}

PortReservation::PortReservation(PortReservation&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)), endpoint_(std::move(other.endpoint_)) {}

PortReservation& PortReservation::operator=(PortReservation&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  std::swap(endpoint_, other.endpoint_);
  return *this;
}

}  // namespace lb::lab
