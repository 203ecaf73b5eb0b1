// One TCP connection to an upstream and the exchange (request and response) in progress on it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "balancer/balancer.h"
#include "settings/config.h"
#include "sidecar/clock.h"
#include "sidecar/connect.h"
#include "sidecar/descriptors.h"
#include "sidecar/exchange.h"
#include "sidecar/exchange_deadlines.h"
#include "sidecar/memory_budget.h"
#include "sidecar/request_writer.h"
#include "sidecar/response_body.h"
#include "sidecar/response_framing.h"
#include "sidecar/stream_deadline.h"

namespace lb::sidecar {

struct UpstreamPool;

// After a response, the connection carries no new request for this time. A faulty upstream may send a second
// response some milliseconds after the first, which would be taken for the response to the next request.
constexpr Duration kReuseDelay = std::chrono::milliseconds(20);

// A state machine. The request is written and the response is read concurrently, and a response may begin
// before the request is complete. So the state describes the progress of the response; RequestWriter tracks
// the progress of the request. The table gives the action for each event.
//
// clang-format off
// | state            | Start    | connected | written     | head          | body part   | timer          |
// | ---------------- | -------- | --------- | ----------- | ------------- | ----------- | -------------- |
// | kNew             | connect  | -         | -           | -             | -           | -              |
// | kConnecting      | -        | send      | -           | -             | -           | end            |
// | kAwaitingReuse   | -        | -         | -           | -             | -           | send or end    |
// | kAwaitingHead    | -        | -         | next piece  | examine       | -           | end            |
// | kCollectingBody  | -        | -         | next piece  | -             | keep        | end            |
// | kHoldingBackBody | -        | -         | -           | -             | keep        | stream or wait |
// | kStreamingBody   | -        | -         | -           | -             | pass on     | read or end    |
// | kStreamPaused    | -        | -         | -           | -             | -           | -              |
// | kIdle            | send     | -         | -           | -             | -           | -              |
// | kAwaitingWrite   | -        | -         | finish      | -             | -           | -              |
// | kClosed          | -        | drop      | drop        | drop          | drop        | drop           |
//
//   connect     start to connect; to kConnecting
//   send        write the request's head; to kAwaitingHead. To kAwaitingReuse instead while the connection is
//               not usable yet, or to kIdle if the request must not be sent any more
//   next piece  write the next piece of a streamed request's body when it arrives from the client; after the
//               last one, start the time limit of the response
//   examine     depending on ResponseFraming: read the next head; to kCollectingBody, kHoldingBackBody or
//               kStreamingBody; or end
//   keep        collect the part of a served response, and stream it (to kStreamingBody) once it is too large
//               to be collected; discard the part of any other, and end it beyond kMaxBufferedBody
//   stream      to kStreamingBody if some of the body has arrived, or if the response's time is nearly over
//   wait        set the timer again; at the response's deadline, end
//   read or end end, unless bytes have arrived that are about to be read
//   pass on     write the part to the stream; while the stream has no capacity, to kStreamPaused without a
//               pending read
//   end         end the exchange without a response: close the connection and finish in kClosed. If a write
//               with the request's last byte has not completed, first to kAwaitingWrite: only its completion
//               shows whether the system took the bytes
//   finish      call the exchange's callback; to kClosed
//   drop        ignore the event
// clang-format on
//
// When the body is complete, the connection goes from any of the three body states to kIdle, or to kClosed if
// it can't be reused. kStreamPaused ends when the stream's reader consumes data; if the reader abandons the
// stream, the exchange ends. Errors, Cancel() and FailUnsent() end the exchange in each state that has one
// and have no effect in the others. Received bytes or a close by the upstream lead from kIdle to kClosed, and
// Close() leads there from every state.
//
// Shared ownership: by the pending asynchronous operations, by the pool while idle, and by Upstreams during
// an exchange.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  // Receives the events of the connections, and must outlive those that are open.
  class Owner {
   public:
    virtual ~Owner() = default;
    // The exchange has ended; its `on_finished` is called after this call.
    virtual void OnExchangeFinished(ExchangeId id) = 0;
    // The connection can carry another exchange: the owner pools or closes it.
    virtual void OnReusable(const std::shared_ptr<UpstreamConnection>& connection) = 0;
    // The upstream closed the idle connection or sent bytes without a request. The connection closes itself
    // after this call.
    virtual void OnIdleConnectionLost(UpstreamConnection& connection) = 0;
  };
  struct Context {
    boost::asio::io_context& io;
    Descriptors& descriptors;
    Owner& owner;
    Duration connect_timeout;
    BodyBuffering bodies;  // of responses
  };

  // Reserves a file descriptor in `context.descriptors`. `context` must outlive the open connection.
  UpstreamConnection(const Context& context, std::weak_ptr<UpstreamPool> pool);

  // Opens a socket and begins to connect. Called once, before Start(). An error is local to this machine; the
  // caller must then close the connection.
  boost::system::error_code OpenSocket(const Endpoint& endpoint);
  // Starts an exchange: in kNew after OpenSocket(), or in kIdle after the connection was taken from the pool.
  void Start(ExchangeId id, ExchangeRequest request);
  // Ends the exchange as kCancelled and closes the connection.
  void Cancel() { Fail(Failure::kCancelled); }
  // Ends an exchange that is unsent() as kNotSent and closes the connection.
  void FailUnsent() { Fail(Failure::kNotSent); }
  // Called when the client's request has its response. If nothing of the exchange has been written yet,
  // nothing will be. An exchange with a pending write is cancelled. Any other exchange continues, because its
  // outcome is a sample of the upstream's health.
  void AbandonUnsent();
  // Ends an exchange whose request has not been written whole, as timed out, and closes the connection.
  void FailIncomplete();
  // Since when a streamed response has been silent; nullopt if none is being waited for.
  std::optional<TimePoint> SilentSince() const;
  // Ends an exchange as timed out whose response is silent.
  void FailSilent() { Fail(Failure::kTimeout); }
  // Call when the process begins to stop, and ends its last response at `last_response_by`.
  void LimitResponse(TimePoint last_response_by);
  // Closes the connection without finishing its exchange. Does nothing if it is closed already.
  void Close();

  // Returns false if the upstream has closed this idle connection or sent bytes without a request. Peeks at
  // the socket, because the event loop may not have delivered that event yet.
  bool LooksAlive();
  // Connected, and kReuseDelay has passed since the last response.
  bool IsUsable() const { return IsConnected() && Now() >= history_.usable_from; }
  // An exchange has started, and nothing of it has been written.
  bool unsent() const { return state_ == State::kConnecting || state_ == State::kAwaitingReuse; }
  // Null if the upstream has changed its address, restarted or been removed since the connection was opened.
  std::shared_ptr<UpstreamPool> pool() const { return pool_.lock(); }
  // The time of the last response, or of connecting if there was none.
  TimePoint idle_since() const { return history_.idle_since; }
  TimePoint usable_from() const { return history_.usable_from; }

 private:
  enum class State {
    kNew,
    kConnecting,
    kAwaitingReuse,
    kAwaitingHead,
    kCollectingBody,
    kHoldingBackBody,
    kStreamingBody,
    kStreamPaused,
    kIdle,
    kAwaitingWrite,
    kClosed
  };
  // The reason why an exchange ends without a response.
  enum class Failure { kBroken, kTimeout, kCancelled, kNotSent, kLocal };
  struct Exchange {
    Exchange() = default;
    Exchange(ExchangeId exchange, ExchangeRequest exchange_request, TimePoint now)
        : id(exchange), request(std::move(exchange_request)), deadlines(request, now) {}

    ExchangeId id{};
    ExchangeRequest request;
    // False after AbandonUnsent(). Not a state of its own: a connection that is being established is
    // completed.
    bool may_be_sent = true;
    ExchangeDeadlines deadlines;
    StreamDeadline stream_deadline;  // from StartStreaming() on
    Duration connection_idle{};      // idle time of the connection before this exchange
    ExchangeProgress progress = ExchangeProgress::kConnecting;  // when it failed
    boost::system::error_code error;
  };

  // Properties of the connection that are kept across exchanges.
  struct History {
    std::uint64_t exchanges = 0;
    TimePoint opened;
    TimePoint idle_since;
    TimePoint usable_from;
  };

  // Transitions, in the order of the table. Each is called only in the states that the table gives.
  void StartConnecting();
  void OnConnected(ConnectResult result);
  void OnReuseTimer();
  void BeginRequest();
  void OnWritten(boost::system::error_code error);
  void SendNextPiece();
  void OnRequestStreamed();
  void ReadHead();
  void OnHead(boost::system::error_code error);
  void StartStreaming();
  StreamDeadline MakeStreamDeadline(TimePoint now) const;
  void OnHoldBackTimer();
  void ReadBody();
  void OnBodyPart(boost::system::error_code error);
  void OnStreamCapacity();
  void OnStreamTimer();
  void OnResponseComplete();
  void ReturnUnused();
  void BecomeIdle(TimePoint since, TimePoint usable_from);
  void WatchIdle();
  void OnTimer();
  void Fail(Failure failure, boost::system::error_code error = {});
  void FinishFailed(Failure failure);

  // The socket is closed: completions of asynchronous operations are ignored.
  bool IsClosed() const { return state_ == State::kClosed || state_ == State::kAwaitingWrite; }
  bool HasExchange() const { return state_ != State::kNew && state_ != State::kIdle && !IsClosed(); }
  bool IsConnected() const { return state_ != State::kNew && state_ != State::kConnecting; }
  // Enters `next` and returns the callback of the exchange, which the caller runs last.
  ExchangeRequest::OnFinished EndExchange(State next);
  ExchangeResult Result(lb::Outcome outcome) const;
  ExchangeProgress Progress() const;
  void ArmTimer(TimePoint at);
  // A completion that is already queued finds a later expiry time and is ignored.
  void DisarmTimer() { timer_.expires_at(std::chrono::steady_clock::time_point::max()); }
  void DetachRequestBody();
  void Clear();

  const Context& context_;
  const std::weak_ptr<UpstreamPool> pool_;
  std::optional<Descriptors::Slot> slot_;  // while the socket is open
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  RequestWriter writer_;
  ResponseFraming framing_;
  ResponseBody body_;
  State state_ = State::kNew;
  // The immediate result of connect(); none while the connection is in progress. Read once, by Start().
  std::optional<ConnectResult> connect_result_;
  // Valid from Start() to the end of the exchange.
  Exchange exchange_;
  History history_;
  Failure failure_ = Failure::kBroken;  // in kAwaitingWrite
};

}  // namespace lb::sidecar
