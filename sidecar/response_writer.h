// Writes to a client: interim responses and, for each request, one response, whole or streamed.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/string_type.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sidecar/body_stream.h"
#include "sidecar/clock.h"
#include "sidecar/held_bytes.h"
#include "sidecar/http.h"
#include "sidecar/write_stream.h"

namespace lb::sidecar {

class ResponseWriter {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  enum class Outcome {
    kWritten,
    kConnectionBroken,
    kBodyAborted,  // the streamed body was aborted; the client must not take the part sent for the whole
                   // response
  };
  using OnFinished = std::function<void(Outcome)>;

  // `socket` is open and non-blocking, and has to outlive the writer. `on_finished` is called once for each
  // response, possibly before the call that starts it returns, but not after Abandon().
  ResponseWriter(Socket& socket, OnFinished on_finished);

  // Sets the object that owns the writer and the socket. Each pending write shares its ownership.
  void SetOwner(std::weak_ptr<void> owner) { owner_ = std::move(owner); }

  // The HTTP version of the request that is answered: 10 or 11.
  void set_version(unsigned version) { version_ = version; }
  unsigned version() const { return version_; }

  // ---- Interim responses, while no response is being written ----

  // Writes as much of `text` as the kernel accepts at once. Returns the number of bytes written, or nothing
  // if the connection is broken.
  std::optional<std::size_t> WriteNow(boost::beast::string_view text);
  // Sends "100 Continue". Bytes that the kernel does not accept at once are sent before the response.
  void WriteContinue();
  // Sends bytes that a client ignores if it waits for its response, and answers with a reset if it has
  // closed: "102 Processing" or, as HTTP/1.0 has no interim responses, the next byte of "HTTP/1.0 ", the
  // start of every response to such a client. Returns false if the connection is broken.
  [[nodiscard]] bool WriteProbe();
  // Whether another probe may be sent. The number of probes is limited: an interim response has to be written
  // in full before the next one, as few clients accept many of them, and an HTTP/1.0 client can only be sent
  // the part of the status line that is the same in all responses.
  bool CanWriteProbe() const;

  // ---- The response ----

  // Whether the client can recognize the end of a streamed response without the connection being closed.
  bool IsDelimited(const BodyStream& body) const;
  void WriteWhole(HttpResponse response, bool keep_alive);
  void WriteStreamed(HttpResponse head, Body body, bool keep_alive);
  // To be called when the connection is closed: abandons a streamed body as its reader. Pending writes then
  // end without calling `on_finished`.
  void Abandon();

  bool IsStreaming() const { return body_ != nullptr; }
  // Whether a piece of a streamed response, or its head or end, was passed to the kernel at
  // `piece_began_at()` and not all of it was accepted yet.
  bool IsPieceBeingWritten() const { return writing_piece_; }
  TimePoint piece_began_at() const { return piece_began_at_; }
  std::size_t whole_body_size() const { return response_.body().size(); }

 private:
  bool IsChunked() const { return !body_->length() && version_ >= 11; }
  void WriteAfterInterim(std::function<void()> write);
  void SkipSentStatusLineBytes();
  void ContinueStream(boost::system::error_code error);
  void WritePiece();
  void WriteEnd();
  void HandleWritten(boost::system::error_code error);
  void Finish(Outcome outcome);

  Socket& socket_;
  WriteStream stream_;
  const OnFinished on_finished_;
  std::weak_ptr<void> owner_;
  unsigned version_ = 11;
  std::string pending_interim_;             // rest of an interim response, to be sent before the response
  std::size_t status_line_bytes_sent_ = 0;  // to an HTTP/1.0 client, as probes
  HttpResponse response_;
  std::optional<http::response_serializer<HeldBody, HeaderFields>> serializer_;
  Body body_;        // the body of a streamed response
  HeldBytes piece_;  // the part of `body_` that is being written
  bool writing_piece_ = false;
  TimePoint piece_began_at_;
  bool abandoned_ = false;
};

}  // namespace lb::sidecar
