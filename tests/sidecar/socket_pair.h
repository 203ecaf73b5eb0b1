// Two connected sockets on loopback, for tests of what reads or writes one of them.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <string>

#include "gtest/gtest.h"

namespace lb::sidecar::testing {

using boost::asio::ip::tcp;

class SocketPairTest : public ::testing::Test {
 protected:
  SocketPairTest() {
    tcp::acceptor acceptor(io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    peer_.connect(acceptor.local_endpoint());
    acceptor.accept(socket_);
    socket_.non_blocking(true);
  }

  // Runs the event loop until `condition` holds; the test runner's timeout is the only limit.
  void RunUntil(const std::function<bool()>& condition) {
    io_.restart();
    while (!condition()) io_.run_one();
  }

  // What the peer receives next, this many bytes.
  std::string ReceiveAtPeer(std::size_t size) {
    std::string bytes(size, '\0');
    boost::asio::read(peer_, boost::asio::buffer(bytes));
    return bytes;
  }

  // What the peer receives until the end of the connection.
  std::string ReceiveAllAtPeer() {
    std::string bytes;
    boost::system::error_code error;
    boost::asio::read(peer_, boost::asio::dynamic_buffer(bytes), error);
    return bytes;
  }

  boost::asio::io_context io_;
  tcp::socket peer_{io_};
  tcp::socket socket_{io_};  // not blocking
};

}  // namespace lb::sidecar::testing
