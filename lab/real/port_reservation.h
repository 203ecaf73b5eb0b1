// Keeps a port of loopback for a server that comes and goes.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace lb::lab {

// Bound, but never listening: connections are refused while no other socket listens there, and the system
// gives the port to no other socket as a port of its choice. A server that sets SO_REUSEADDR can listen at
// it.
class PortReservation {
 public:
  // Port 0: the system picks one. Throws std::system_error where it can't be had.
  explicit PortReservation(const boost::asio::ip::tcp::endpoint& wanted);
  ~PortReservation();
  PortReservation(PortReservation&& other) noexcept;
  PortReservation& operator=(PortReservation&& other) noexcept;

  const boost::asio::ip::tcp::endpoint& endpoint() const { return endpoint_; }

 private:
  int descriptor_ = -1;
  boost::asio::ip::tcp::endpoint endpoint_;
};

}  // namespace lb::lab
