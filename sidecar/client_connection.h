// One client connection of the listener, as a state machine.
//
// | state | client bytes | end of sending | response ready | deadline | close |
// | --- | --- | --- | --- | --- | --- |
// | kReadingRequest | parsed; a whole request, or one too large to hold, is handed to its handler:
// kAwaitingResponse; a malformed one is rejected: kWritingResponse | kClosed | not legal | 408:
// kWritingResponse | kClosed | | kAwaitingResponse | of a streamed body: passed on; else kept (pipelined) up
// to kMaxReadAhead | half-close probe, kClosed if it finds the client gone; in the middle of a body kClosed |
// kWritingResponse | of a streamed body 408: kWritingResponse | kClosed, the handler is notified | |
// kWritingResponse | kept up to kMaxReadAhead | kept in mind until the response is written | not legal |
// streamed: kClosed with a reset; whole: kClosed | kClosed | | kLingering | discarded, past kLingerByteLimit
// kClosed | kClosed | not legal | kClosed | kClosed | | kClosed | - | - | its body is abandoned | - | - |
//
// A written response leads from kWritingResponse to kReadingRequest; to kLingering where the connection is
// not to be kept; to kClosed where the client has ended its sending besides. Two events are the listener's:
// the end of an idle connection for draining (503 to one that has carried no request, kLingering to the
// others) and eviction (kClosed).
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sidecar/clock.h"
#include "sidecar/connection_timeouts.h"
#include "sidecar/descriptors.h"
#include "sidecar/drain_state.h"
#include "sidecar/half_close_probe.h"
#include "sidecar/request_body.h"
#include "sidecar/request_framing.h"
#include "sidecar/request_handler.h"
#include "sidecar/response_writer.h"
#include "sidecar/socket_reader.h"

namespace lb::sidecar {

class ClientConnection;

// What all connections of a listener share. The listener owns it.
struct ClientConnectionContext {
  boost::asio::io_context& io;
  Descriptors& descriptors;
  const std::size_t body_capacity;  // bytes of a streamed request that are held
  const OnRequest on_request;
  const std::function<bool()> is_ready;  // GET /up answers 503 until then
  // The connection is closed and gives up its place.
  const std::function<void(const std::shared_ptr<ClientConnection>&)> on_closed;
  DrainState drain;
};

// A read is pending whenever there is capacity, also while a request is served: that is how a client that
// leaves is noticed. Two members beyond the usual bound: each flag is independent of the state, as its
// comment says, and the components must not share them.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  enum class State { kReadingRequest, kAwaitingResponse, kWritingResponse, kLingering, kClosed };

  // Takes over an accepted socket that is not blocking. `context` outlives the connection, or drops it
  // before.
  ClientConnection(ClientConnectionContext& context, boost::asio::ip::tcp::socket socket);

  void Start();
  void Close();
  // The listener is being destroyed: closes without telling the request's handler.
  void Drop();

  // ---- Events of the listener ----

  // Ends an idle connection for draining. Not by a close alone: over a request that arrives just then it
  // would be a reset. A client that has sent no request yet gets a response, as it need not know that a
  // request may cross the end of its connection.
  void EndIdle();
  // Closes for want of descriptors. A client that has begun a request, or is about to send its first, is told
  // that nothing was done, as far as the kernel takes that at once; an idle one asks on another connection.
  void Evict();
  // Ends what has lasted too long: see connection_timeouts.h.
  void HandleDeadline(TimePoint now);

  // ---- What the listener and eviction ask ----

  State state() const { return state_; }
  // When the state began, or a later request's first byte came.
  TimePoint since() const { return activity_.since; }
  bool IsIdle() const { return state_ == State::kReadingRequest && !framing_.HasRequestBegun(); }
  bool HasRequestBegun() const { return framing_.HasRequestBegun(); }
  bool HasAnyRequestBegun() const { return framing_.HasAnyRequestBegun(); }
  // Bytes have come that this process had no time to read yet: perhaps the rest of a request.
  bool HasUnreadBytes();
  // Some of the response has not reached the client's machine: a close could discard it.
  bool HasUnsentBytes();

 private:
  void Read();
  void HandleReadResult(const IoResult& result);
  void ProcessBufferedBytes();
  void ParseRequest();
  void HandleBodyBytes(boost::beast::string_view bytes);
  void BeginStreamedRequest();
  void HandleRequestComplete();
  void HandleBodyCapacity();
  void SendContinueIfExpected();

  void HandleSendingEnded();
  void SendHalfCloseProbe();
  void PostHalfCloseProbe();
  void HandleProbeResult(HalfCloseProbe::Result result);
  ClientPresence CheckClient();
  void ScheduleUnreadCheck();
  void HandleUnreadCheck();
  bool IsMoreOfBodyIncoming();
  void RecordLastByteTime();

  void HandleRequest(HttpRequest request, Body body);
  void AnswerHealthCheck();
  void PassToHandler(HttpRequest request, Body body);
  void HandleResponseReady(HttpResponse response, Body body);
  void Respond(HttpResponse response, Body body);
  bool ShouldCloseAfterResponse(const HttpResponse& response);
  bool ServesPipelinedRequest();
  void HandleResponseWritten(ResponseWriter::Outcome outcome);
  void StartNextRequest();
  void StartLinger();
  void Reject(const RequestFault& fault);
  void Reset();
  void NotifyDisconnected();
  bool IsRequestOverdue(TimePoint now) const;
  boost::beast::string_view BufferedBytes() const;

  ClientConnectionContext* context_;  // null once dropped
  std::optional<Descriptors::Slot> descriptor_slot_;
  boost::asio::ip::tcp::socket socket_;
  SocketReader reader_;
  ResponseWriter writer_;
  HalfCloseProbe probe_;
  boost::asio::steady_timer unread_check_;  // while there is no capacity to read
  boost::beast::flat_buffer buffer_;        // read and not parsed
  RequestFraming framing_;
  RequestBody body_;
  // Waits for the half-close probe: its client may be gone.
  std::optional<std::pair<HttpRequest, Body>> unprobed_request_;
  State state_ = State::kReadingRequest;
  ConnectionActivity activity_;
  Linger linger_;
  OnDisconnected on_disconnected_;
  // The client has ended its sending. Independent of the state: it may do so in any of them, and requests
  // that it sent before are still answered.
  bool sending_ended_ = false;
  // The next response is the last one. Independent of the state: set by the request, the response, draining,
  // or a fault, each in another state, and acted on when the response is written.
  bool close_after_response_ = false;
};

}  // namespace lb::sidecar
