// Fixture with two connected TCP sockets on loopback, for tests of classes that read or write one of them.
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

  // Runs the event loop until `condition` holds. Only the test runner's timeout limits the wait.
  void RunUntil(const std::function<bool()>& condition) {
    io_.restart();
    while (!condition()) io_.run_one();
  }

  // Reads the next `size` bytes at the peer.
  std::string ReceiveAtPeer(std::size_t size) {
    std::string bytes(size, '\0');
    boost::asio::read(peer_, boost::asio::buffer(bytes));
    return bytes;
  }

  // Reads at the peer until the end of the connection.
  std::string ReceiveAllAtPeer() {
    std::string bytes;
    boost::system::error_code error;
    boost::asio::read(peer_, boost::asio::dynamic_buffer(bytes), error);
    return bytes;
  }

  boost::asio::io_context io_;
  tcp::socket peer_{io_};
  tcp::socket socket_{io_};  // non-blocking
};

}  // namespace lb::sidecar::testing
