// A client connection of the listener, as a state machine: reads the client's requests, passes each of them
// to the request handler and writes the response.
//
// clang-format off
// | state             | bytes   | sending ends | response | written | time limit | draining | eviction |
// | ----------------- | ------- | ------------ | -------- | ------- | ---------- | -------- | -------- |
// | kReadingRequest   | parse   | close        | -        | -       | reject     | drain    | close    |
// | kAwaitingResponse | pass on | probe        | write    | -       | reject     | -        | -        |
// | kWritingResponse  | keep    | record       | -        | next    | abort      | -        | -        |
// | kLingering        | discard | close        | -        | -       | close      | -        | close    |
// | kClosed           | -       | -            | abandon  | -       | -          | -        | -        |
//
//   parse    a complete request, or one too large to be held in memory, is passed to its handler: to
//            kAwaitingResponse, or to kClosed if the client has disconnected. GET /up is answered at once,
//            and a malformed request with 400 or 413: to kWritingResponse
//   pass on  bytes of a streamed body go to its stream; if they are malformed, the handler is notified and
//            the client gets 400 or 413: to kWritingResponse. All other bytes: keep
//   keep     pipelined requests stay in the buffer, up to kMaxReadAhead
//   discard  beyond kLingerByteLimit: to kClosed
//   probe    HalfCloseProbe finds out whether the client waits for its response: to kClosed if it has closed.
//            To kClosed at once if the rest of a streamed body is missing
//   record   takes effect when the response has been written
//   write    to kWritingResponse
//   abandon  the body of the response, if it is streamed
//   next     to kReadingRequest; to kLingering if the connection is not kept open, or to kClosed if, besides,
//            the client has ended its sending; to kClosed with a reset if a streamed body was aborted
//   reject   the handler, if there is one, is notified, and the client gets 408: to kWritingResponse. In
//            kReadingRequest this applies to the first request and to one that has begun, in
//            kAwaitingResponse to a streamed body that is incomplete
//   abort    to kClosed, with a reset if the response is streamed
//   drain    a connection without a request under way that has carried one: to kLingering; one that has
//            carried none: 503, to kWritingResponse
//   close    to kClosed; an evicted client that is sending its request, or about to send its first, gets 503
// clang-format on
//
// A broken connection and Close() lead from each state to kClosed, and the handler of a request that awaits
// its response is notified. Draining and eviction are events of the listener (connection_eviction.h). The
// time limits are those of connection_timeouts.h.
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
#include "sidecar/memory_budget.h"
#include "sidecar/request_body.h"
#include "sidecar/request_framing.h"
#include "sidecar/request_handler.h"
#include "sidecar/response_writer.h"
#include "sidecar/socket_reader.h"

namespace lb::sidecar {

class ClientConnection;

// State and callbacks that all connections of a listener share. Owned by the listener.
struct ClientConnectionContext {
  boost::asio::io_context& io;
  Descriptors& descriptors;
  const BodyBuffering bodies;  // of requests
  const OnRequest on_request;
  const std::function<bool()> is_ready;  // GET /up answers 503 until this returns true
  // Called when a connection is closed, to remove it from the listener's set.
  const std::function<void(const std::shared_ptr<ClientConnection>&)> on_closed;
  DrainState drain;
};

// A read is pending in every state in which the buffer has room, also while a request is served; that is how
// a disconnect of the client is noticed. The class has more data members than the usual limit:
// `buffer_charge_` goes with `buffer_`, and `sending_ended_` and `close_after_response_` are independent of
// the state, as their comments explain, and must not be visible to the components.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  enum class State { kReadingRequest, kAwaitingResponse, kWritingResponse, kLingering, kClosed };

  // Takes over an accepted, non-blocking socket. `context` has to outlive the connection, unless Drop() is
  // called first.
  ClientConnection(ClientConnectionContext& context, boost::asio::ip::tcp::socket socket);

  void Start();
  void Close();
  // Closes without notifying the listener or the request handler: the listener is being destroyed.
  void Drop();

  // ---- Events of the listener ----

  // Ends an idle connection for draining. Closing at once would reset a connection on which a request is
  // arriving. So a connection that has carried a request lingers first, and one that has carried none gets a
  // 503 response: its client may not expect that the close can cross its first request.
  void DrainIdle();
  // Closes the connection to free its descriptor. A client that is sending a request, or is expected to send
  // its first one, gets a 503, as far as the kernel accepts the bytes at once. An idle client gets nothing;
  // it can send its next request on another connection.
  void Evict();
  // Ends the current state if its time limit has passed: see connection_timeouts.h.
  void HandleDeadline(TimePoint now);

  // ---- Queries of the listener and of eviction ----

  State state() const { return state_; }
  // When the current state began, or the first byte of a later request on this connection arrived.
  TimePoint state_since() const { return activity_.state_since; }
  bool IsIdle() const { return state_ == State::kReadingRequest && !framing_.HasRequestBegun(); }
  bool HasRequestBegun() const { return framing_.HasRequestBegun(); }
  bool HasAnyRequestBegun() const { return framing_.HasAnyRequestBegun(); }
  // Whether bytes have arrived in the kernel's receive buffer that were not read yet.
  bool HasUnreadBytes();
  // Whether such bytes will be read as soon as the event loop runs: the connection appears slow or idle only
  // because this process is. False while reading has stopped, as then nothing ends that state but its limit.
  bool HasBytesAboutToBeRead() { return reader_.IsReading() && HasUnreadBytes(); }
  // Whether some bytes written have not been acknowledged by the client's machine: a close could lose them.
  bool HasUnsentBytes();

 private:
  void Read();
  // Whether nothing more is read until bytes of the buffer have been consumed.
  bool IsReadAheadFull() const;
  void HandleReadResult(const IoResult& result, std::size_t space);
  void ProcessBufferedBytes();
  void ChargeBuffer();
  bool IsHeadTooLargeToHold(const RequestFraming::Step& step) const;
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
  ReceiveProgress GetReceiveProgress();

  void HandleRequest(HttpRequest request, Body body);
  void AnswerHealthCheck();
  void PassToHandler(HttpRequest request, Body body);
  void HandleResponseReady(HttpResponse response, Body body);
  void Respond(HttpResponse response, Body body);
  bool ShouldCloseAfterResponse(const HttpResponse& response);
  bool ShouldServePipelinedRequest();
  void HandleResponseWritten(ResponseWriter::Outcome outcome);
  void StartNextRequest();
  void StartLinger();
  void Reject(const RequestFault& fault);
  void Reset();
  void NotifyDisconnected();
  bool IsRequestOverdue(TimePoint now) const;
  boost::beast::string_view BufferedBytes() const;

  ClientConnectionContext* context_;  // null after Drop()
  std::optional<Descriptors::Slot> descriptor_slot_;
  boost::asio::ip::tcp::socket socket_;
  SocketReader reader_;
  ResponseWriter writer_;
  HalfCloseProbe probe_;
  boost::asio::steady_timer unread_check_;  // runs while the buffer is full
  boost::beast::flat_buffer buffer_;        // bytes read but not parsed yet
  MemoryBudget::Charge buffer_charge_;
  RequestFraming framing_;
  RequestBody body_;
  // A request that is passed to its handler only after the half-close probe found its client connected.
  std::optional<std::pair<HttpRequest, Body>> request_awaiting_probe_;
  State state_ = State::kReadingRequest;
  ConnectionActivity activity_;
  Linger linger_;
  OnDisconnected on_disconnected_;
  // The client has ended its sending. Independent of the state: this can happen in any state, and requests
  // received before it are still answered.
  bool sending_ended_ = false;
  // The connection ends after the current response. Independent of the state: the request, the response,
  // draining or a fault set it in different states, and it takes effect when the response has been written.
  bool close_after_response_ = false;
};

}  // namespace lb::sidecar
