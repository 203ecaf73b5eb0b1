// Writes requests to an upstream's connection, one at a time: a buffered request in one write, a streamed one
// as its head and then the pieces of its body as they arrive from the client.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <optional>

#include "sidecar/body_stream.h"
#include "sidecar/clock.h"
#include "sidecar/held_bytes.h"
#include "sidecar/http.h"
#include "sidecar/write_stream.h"

namespace lb::sidecar {

// One write at a time. The owner starts each step, because it sets the step's deadline. `socket` must be open
// and non-blocking when a write starts, and must live until a pending write has completed.
class RequestWriter {
 public:
  // Called once for each write, from the event loop and never from within a call. The callback must own the
  // object that contains the writer. It is called even if the socket has been closed meanwhile, and without
  // an error if the system had taken the bytes before.
  using OnWritten = std::function<void(boost::system::error_code)>;

  explicit RequestWriter(boost::asio::ip::tcp::socket& socket) : stream_(socket) {}

  // Builds the message, with X-Timeout-Ms set to `timeout` in whole milliseconds, at least 1. `request` must
  // live until Clear(). `body`: the stream of a streamed request's body, or null.
  void Compose(const HttpRequest& request, Body body, Duration timeout);
  // Writes the head, together with the body unless it is streamed.
  void WriteHead(OnWritten on_written);

  enum class NextPiece {
    kTaken,      // the piece is ready for WritePiece()
    kAwaited,    // nothing has arrived from the client yet
    kNone,       // the request is complete; nothing is left to write
    kAbandoned,  // the client's side aborted the body, and ends the exchange
  };
  // Takes all buffered bytes of the streamed body. Must not be called during a write.
  NextPiece TakeNextPiece();
  // Writes the piece that TakeNextPiece() took.
  void WritePiece(OnWritten on_written);

  bool is_writing() const { return is_writing_; }
  // A write with the last byte of the request is pending, so that only its completion shows whether the
  // request is complete.
  bool IsWritingLastByte() const { return is_writing_ && pending_end_ == LastByte::kIncluded; }
  // True when the system has taken the last byte of the request and that write has completed.
  bool is_complete() const { return !is_writing_ && is_complete_; }

  // Prepares for the next request and frees memory. Must not be called during a write.
  void Clear();

 private:
  using SpanBody = http::span_body<const char>;
  using Message = http::message<true, SpanBody, HeaderFields>;

  // Whether a write includes the last byte of the request.
  enum class LastByte { kFollows, kIncluded };

  // Records the start of a write, and returns its completion handler: updates the state of this object, then
  // calls `on_written`.
  std::function<void(boost::system::error_code, std::size_t)> BeginWrite(OnWritten on_written, LastByte last);
  void FreeHead();

  WriteStream stream_;
  std::optional<Message> message_;
  std::optional<http::request_serializer<SpanBody, HeaderFields>> serializer_;
  Body body_;
  HeldBytes piece_;
  LastByte piece_end_ = LastByte::kFollows;
  LastByte pending_end_ = LastByte::kFollows;  // of the write in progress
  bool is_writing_ = false;                    // from the start of a write to its completion
  bool is_complete_ = false;
};

}  // namespace lb::sidecar
