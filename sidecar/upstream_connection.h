// One connection to an upstream and the exchange that it carries.
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
#include "sidecar/request_writer.h"
#include "sidecar/response_body.h"
#include "sidecar/response_framing.h"

namespace lb::sidecar {

struct UpstreamPool;

// After a response the connection gets nothing new for this long. An upstream may send a second response
// some milliseconds after the first, which would be read as the response to the next request.
constexpr Duration kReuseDelay = std::chrono::milliseconds(20);

// A state machine. The request is written and the response read at the same time, and a response may begin
// before the request is complete; so the state follows the response, and how far the request has come is
// RequestWriter's to say.
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
// | kStreamingBody   | -        | -         | -           | -             | pass on     | end            |
// | kStreamPaused    | -        | -         | -           | -             | -           | -              |
// | kIdle            | send     | -         | -           | -             | -           | -              |
// | kAwaitingWrite   | -        | -         | finish      | -             | -           | -              |
// | kClosed          | -        | drop      | drop        | drop          | drop        | drop           |
//
//   connect     to kConnecting
//   send        to kAwaitingHead, with the request's head on its way; to kAwaitingReuse while the connection is
//               not usable yet; or to kIdle where there is nothing to send any more
//   next piece  of a streamed request, as its body comes; after the last the time for the response runs
//   examine     ResponseFraming says: the next head, kCollectingBody, kHoldingBackBody, kStreamingBody, or end
//   keep        collect; beyond kMaxBufferedBody stream a served response (to kStreamingBody) and end any other
//   stream      to kStreamingBody, unless nothing of the body has come
//   pass on     to the stream; to kStreamPaused, with no read under way, while it has no capacity
//   end         the exchange without a response: close, and finish it in kClosed; first to kAwaitingWrite where
//               a write's completion, which says whether the system took the bytes, is still on its way
// clang-format on
//
// The last part of a body leads from each of the three body states to kIdle, or to kClosed where the
// connection can't be used again. The stream's reader makes kStreamPaused go on, or, where it has gone, ends
// the exchange. Errors, Cancel() and FailUnsent() end the exchange in each state that has one, and change
// nothing in the others. Bytes or a close in kIdle lead to kClosed, and so does Close() everywhere.
//
// Owned by its own asynchronous steps, by the pool while idle and by Upstreams during an exchange.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  // Has to outlive the open connections.
  class Owner {
   public:
    virtual ~Owner() = default;
    // The exchange is over; its `on_finished` is called after this.
    virtual void OnExchangeFinished(ExchangeId id) = 0;
    // The connection can carry another exchange: it is pooled, or closed.
    virtual void OnReusable(const std::shared_ptr<UpstreamConnection>& connection) = 0;
    // The upstream closed the idle connection, or sent bytes without a request; it closes after this call.
    virtual void OnIdleConnectionLost(UpstreamConnection& connection) = 0;
  };
  struct Context {
    boost::asio::io_context& io;
    Descriptors& descriptors;
    Owner& owner;
    Duration connect_timeout;
    std::size_t stream_capacity;  // bytes held of a streamed response
  };

  // Takes a descriptor's place. `context` has to outlive the open connection.
  UpstreamConnection(const Context& context, std::weak_ptr<UpstreamPool> pool);

  // Opens a socket and begins to connect; once, before Start(). An error is this machine's own, and the
  // connection has to be closed then.
  boost::system::error_code OpenSocket(const Endpoint& endpoint);
  // Starts an exchange: in kNew after OpenSocket(), or in kIdle once it is out of the pool.
  void Start(ExchangeId id, ExchangeRequest request);
  // Ends the exchange as cancelled and closes the connection.
  void Cancel() { Fail(Failure::kCancelled); }
  // Ends an exchange that is unsent() as not sent and closes the connection.
  void FailUnsent() { Fail(Failure::kNotSent); }
  // The request has been answered elsewhere: from now on nothing of it is written. An exchange
  // without a write under way goes on, as its outcome tells something of the upstream.
  void AbandonUnsent();
  // Closes without an end of the exchange. Does nothing the second time.
  void Close();

  // Of an idle connection: false if the upstream has closed it or sent bytes without a request. Asks the
  // system, as the event may not have been delivered yet.
  bool LooksAlive();
  // Connected, and no second response can come any more.
  bool IsUsable() const { return IsConnected() && Now() >= history_.usable_from; }
  // Nothing of the exchange has been written.
  bool unsent() const { return state_ == State::kConnecting || state_ == State::kAwaitingReuse; }
  // Null where the upstream has moved, restarted or gone since the connection was opened.
  std::shared_ptr<UpstreamPool> pool() const { return pool_.lock(); }
  // The time of the last response, or of the connection where there was none.
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
  // Why an exchange ends without a response.
  enum class Failure { kBroken, kTimeout, kCancelled, kNotSent, kLocal };
  struct Exchange {
    Exchange() = default;
    Exchange(ExchangeId exchange, ExchangeRequest to_send, TimePoint now)
        : id(exchange), request(std::move(to_send)), deadlines(request, now) {}

    ExchangeId id{};
    ExchangeRequest request;
    // False once AbandonUnsent() was called. Independent of the state: the connection still comes up.
    bool is_wanted = true;
    ExchangeDeadlines deadlines;
    Duration connection_idle{};  // before it started
    boost::system::error_code error;
  };

  // What outlasts an exchange.
  struct History {
    std::uint64_t exchanges = 0;
    TimePoint opened;
    TimePoint idle_since;
    TimePoint usable_from;
  };

  // Transitions, in the order of the table. Each is called in the states that the table gives.
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
  void OnHoldBackTimer();
  void ReadBody();
  void OnBodyPart(boost::system::error_code error);
  void OnStreamCapacity();
  void OnResponseComplete();
  void ReturnUnused();
  void BecomeIdle(TimePoint since, TimePoint usable_from);
  void WatchIdle();
  void OnTimer();
  void Fail(Failure failure, boost::system::error_code error = {});
  void FinishFailed(Failure failure);

  // Closed, or as good as: completions that arrive have nothing to do.
  bool IsClosed() const { return state_ == State::kClosed || state_ == State::kAwaitingWrite; }
  bool HasExchange() const { return state_ != State::kNew && state_ != State::kIdle && !IsClosed(); }
  bool IsConnected() const { return state_ != State::kNew && state_ != State::kConnecting; }
  // Enters `next` and returns the callback of the exchange, for the caller to run last.
  ExchangeRequest::OnFinished EndExchange(State next);
  ExchangeResult Result(lb::Outcome outcome) const;
  void ArmTimer(TimePoint at);
  // A completion that is on its way finds that its time has not come.
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
  // What connect() said at once; none where it goes on. Read once, by Start().
  std::optional<ConnectResult> connect_result_;
  // Valid from Start() to the end of the exchange.
  Exchange exchange_;
  History history_;
  Failure failure_ = Failure::kBroken;  // in kAwaitingWrite
};

}  // namespace lb::sidecar
