// The connection to a neighbour in a hot restart, which is the previous or the next process: splits the
// received bytes into messages, and queues lines to be sent.
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
    std::function<void()> on_serves;                  // kServesByte was received
    std::function<void(const std::string&)> on_line;  // without the newline
    std::function<void()> on_closed;                  // the process has ended; no calls after this one
  };

  // Limits the text, in bytes, that is queued for a process that does not read. Send() drops text beyond it.
  static constexpr std::size_t kMaxUnsentBytes = std::size_t{1024} * 1024;

  explicit NeighbourProcess(Socket socket) : socket_(std::move(socket)) {}

  // Starts reading and calling `handlers`; no handler is called after Close().
  void Watch(Handlers handlers);
  // Queues `text` without blocking. Errors are ignored: the end of the process is reported by `on_closed`.
  void Send(const std::string& text);
  // Sends whole lines of any number in pieces, as fast as the process reads them. Text of Send() goes before
  // the next piece. Replaces what is left of an earlier call.
  void SendInPieces(std::string lines);
  void Close();
  int native_handle() { return socket_.native_handle(); }

 private:
  void Read();
  void HandleBytes(std::size_t size);
  void Write();
  // Removes the next piece, which ends with a line, and returns it; empty if there is none.
  std::string TakePiece();

  Socket socket_;
  Handlers handlers_;
  std::array<char, 4096> read_buffer_{};
  std::string partial_line_;     // the received part of a line
  std::string unsent_;           // to be written after `sending_`
  std::string sending_;          // being written; empty if no write is in progress
  std::string pieces_;           // lines to be sent in pieces
  std::size_t pieces_sent_ = 0;  // bytes of `pieces_` that were written or are being written
  bool closed_ = false;
};

}  // namespace lb::sidecar
