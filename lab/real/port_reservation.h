// Reserves a port for a server that is stopped and restarted.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace lb::lab {

// Holds a socket that is bound to the port but never listens. Connections are refused while no server
// listens, and the system does not assign the port to another socket as an ephemeral port. A server that sets
// SO_REUSEADDR can listen on it.
class PortReservation {
 public:
  // Port 0: the system chooses one. Throws std::system_error if the port cannot be bound.
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
