// The connection to the process before this one in a hot restart, or to the next one: messages that come, and
// lines that wait to be sent.
#pragma once

#include <array>
#include <boost/asio/local/stream_protocol.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace lb::sidecar {

class NeighbourProcess : public std::enable_shared_from_this<NeighbourProcess> {
 public:
  using Socket = boost::asio::local::stream_protocol::socket;

  struct Handlers {
    std::function<void()> on_serves;                  // kServesByte has come
    std::function<void(const std::string&)> on_line;  // without its end
    std::function<void()> on_closed;                  // the process has ended; the last call
  };

  // Bounds what is held for a process that reads nothing, in bytes. What is beyond is dropped.
  static constexpr std::size_t kMaxUnsent = std::size_t{1024} * 1024;

  explicit NeighbourProcess(Socket socket) : socket_(std::move(socket)) {}

  // Reads from now on. No handler is called once Close() was.
  void Watch(Handlers handlers);
  void Send(const std::string& text);
  void Close();
  int native_handle() { return socket_.native_handle(); }

 private:
  void Read();
  void HandleBytes(std::size_t size);
  void Write();

  Socket socket_;
  Handlers handlers_;
  std::array<char, 4096> part_{};
  std::string line_;     // what has come of a line
  std::string unsent_;   // waits for the write that is under way
  std::string sending_;  // is being written; empty where no write is under way
  bool closed_ = false;
};

}  // namespace lb::sidecar
