// Writes what a client is sent: interim responses, then one response a request, whole or streamed.
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
#include "sidecar/http.h"
#include "sidecar/write_stream.h"

namespace lb::sidecar {

class ResponseWriter {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  enum class Outcome {
    kWritten,
    kConnectionBroken,
    kBodyAborted,  // the streamed body broke off: the client must not take what it has for the whole response
  };
  using OnFinished = std::function<void(Outcome)>;

  // `socket` is open, not blocking and outlives the writer. `on_finished` is called once a response, perhaps
  // before the call that begins it returns, and not after Abandon().
  ResponseWriter(Socket& socket, OnFinished on_finished);

  // Each pending write owns `owner`, which owns the writer and the socket.
  void SetOwner(std::weak_ptr<void> owner) { owner_ = std::move(owner); }

  // Of the request that is answered: 10 or 11.
  void set_version(unsigned version) { version_ = version; }
  unsigned version() const { return version_; }

  // ---- Interim responses, while no response is being written ----

  // Writes what the kernel takes at once. The number of bytes; none where the connection is broken.
  std::optional<std::size_t> WriteNow(boost::beast::string_view text);
  // "100 Continue". What the kernel does not take is sent ahead of the response.
  void WriteContinue();
  // Bytes that a client which has closed answers with a reset, and one that waits for its response ignores:
  // "102 Processing", or, as HTTP/1.0 knows no interim responses, the next byte that each response to it
  // begins with. False where the connection is broken.
  [[nodiscard]] bool WriteProbe();
  // Bounds the probes: few clients bear many interim responses, and an HTTP/1.0 status line begins in one way
  // only up to its version's end.
  bool CanWriteProbe() const;

  // ---- The response ----

  // Can the client tell where a streamed response ends, other than by the end of the connection?
  bool IsDelimited(const BodyStream& body) const;
  void WriteWhole(HttpResponse response, bool keep_alive);
  void WriteStreamed(HttpResponse head, Body body, bool keep_alive);
  // The connection is closed: leaves a streamed body to its writer. Pending writes end without a call.
  void Abandon();

  bool IsStreaming() const { return body_ != nullptr; }
  // A piece of a streamed response was handed to the kernel at `piece_began_at()` and is not taken yet.
  bool IsPieceBeingWritten() const { return writing_piece_; }
  TimePoint piece_began_at() const { return piece_began_at_; }
  std::size_t whole_body_size() const { return response_.body().size(); }

 private:
  bool IsChunked() const { return !body_->length() && version_ >= 11; }
  void AfterInterim(std::function<void()> write);
  void SkipBytesSentAhead();
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
  std::string owed_interim_;    // the rest of an interim response, due ahead of the response
  std::size_t sent_ahead_ = 0;  // bytes of a response to an HTTP/1.0 client that went out as probes
  HttpResponse response_;
  std::optional<http::response_serializer<http::string_body>> serializer_;
  Body body_;          // of a streamed response
  std::string piece_;  // of `body_`, being written
  bool writing_piece_ = false;
  TimePoint piece_began_at_;
  bool abandoned_ = false;
};

}  // namespace lb::sidecar
