// Writes one request at a time to an upstream's connection: a small one at once, a streamed one as a head and
// then piece by piece as its body arrives from the client.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "sidecar/body_stream.h"
#include "sidecar/clock.h"
#include "sidecar/http.h"
#include "sidecar/write_stream.h"

namespace lb::sidecar {

// One write at a time; the owner takes each next step, as it keeps the time that the step may take. `socket`
// is open and not blocking, and has to live until the write under way has completed.
class RequestWriter {
 public:
  // Runs once for each write, from the event loop and never from within a call. It has to keep the writer
  // alive. The socket may have been closed meanwhile: then it runs all the same, and with no error where the
  // system had taken the bytes before.
  using OnWritten = std::function<void(boost::system::error_code)>;

  explicit RequestWriter(boost::asio::ip::tcp::socket& socket) : stream_(socket) {}

  // Builds the message, with X-Timeout-Ms set to `timeout` (at least 1 ms). `request` lives until Clear().
  // `body`: null, or the stream that the request's body comes from.
  void Compose(const HttpRequest& request, Body body, Duration timeout);
  // Writes the head, and with it a body that is not streamed.
  void WriteHead(OnWritten on_written);

  enum class NextPiece {
    kTaken,      // WritePiece() has something to write
    kAwaited,    // the client has not sent it yet
    kNone,       // the request is complete without another write
    kAbandoned,  // the client is gone; the streaming side ends the exchange
  };
  // Takes what there is of the streamed body. No write is under way.
  NextPiece TakeNextPiece();
  // Writes what was taken.
  void WritePiece(OnWritten on_written);

  bool is_writing() const { return is_writing_; }
  // True once the system has taken the last byte and the write that moved it has completed.
  bool is_complete() const { return !is_writing_ && is_complete_; }

  // Ready for the next request; frees what this one needed. No write is under way.
  void Clear();

 private:
  using Message = http::request<http::span_body<const char>>;

  enum class LastByte { kFollows, kIncluded };

  // `on_written` after what the completion of a write changes here.
  std::function<void(boost::system::error_code, std::size_t)> Completion(OnWritten on_written, LastByte last);

  WriteStream stream_;
  std::optional<Message> message_;
  std::optional<http::request_serializer<http::span_body<const char>>> serializer_;
  Body body_;
  std::string piece_;
  LastByte piece_end_ = LastByte::kFollows;
  bool is_writing_ = false;  // from the start of a write to its completion
  bool is_complete_ = false;
};

}  // namespace lb::sidecar
