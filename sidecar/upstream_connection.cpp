#include "sidecar/upstream_connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "sidecar/socket_io.h"

namespace lb::sidecar {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

}  // namespace

UpstreamConnection::UpstreamConnection(const Context& context, std::weak_ptr<UpstreamPool> pool)
    : context_(context),
      pool_(std::move(pool)),
      slot_(std::in_place, context.descriptors, Descriptors::Side::kUpstream),
      socket_(context.io),
      timer_(context.io),
      writer_(socket_),
      framing_(context.bodies.budget),
      body_(context.bodies.budget) {
  buffer_.max_size(kMaxReadAhead);
}

error_code UpstreamConnection::OpenSocket(const Endpoint& endpoint) {
  error_code error;
  socket_.open(endpoint.protocol(), error);
  if (!error) socket_.set_option(tcp::no_delay(true), error);
  if (!error) socket_.non_blocking(true, error);
  if (error) return error;
  connect_result_ = BeginConnect(socket_, endpoint);
  return connect_result_ && connect_result_->is_local ? connect_result_->error : error_code();
}

// ---- Connecting and the first byte ----

void UpstreamConnection::Start(ExchangeId id, ExchangeRequest request) {
  const TimePoint now = Now();
  exchange_ = Exchange(id, std::move(request), now);
  framing_.StartExchange();
  ++history_.exchanges;
  if (state_ == State::kNew) {
    history_.opened = now;
    return StartConnecting();
  }
  exchange_.connection_idle = now - history_.idle_since;
  if (IsUsable()) return BeginRequest();
  state_ = State::kAwaitingReuse;
  const ExchangeDeadlines& deadlines = exchange_.deadlines;
  ArmTimer(std::min({deadlines.response(), history_.usable_from, deadlines.first_byte()}));
}

// Until the connection completes, these may run: the timer, Cancel(), FailUnsent(), AbandonUnsent(), Close().
void UpstreamConnection::StartConnecting() {
  state_ = State::kConnecting;
  const ExchangeDeadlines& deadlines = exchange_.deadlines;
  ArmTimer(std::min(
      {deadlines.response(), deadlines.started() + context_.connect_timeout, deadlines.first_byte()}));
  auto on_connected = [self = shared_from_this()](ConnectResult result) { self->OnConnected(result); };
  if (!connect_result_) return AwaitConnected(socket_, std::move(on_connected));
  boost::asio::post(context_.io, [on_connected = std::move(on_connected), result = *connect_result_] {
    on_connected(result);
  });
}

void UpstreamConnection::OnConnected(ConnectResult result) {
  if (IsClosed()) return;
  if (result.error) return Fail(result.is_local ? Failure::kLocal : Failure::kBroken, result.error);
  history_.idle_since = Now();
  BeginRequest();
}

void UpstreamConnection::OnReuseTimer() {
  if (!IsUsable() || Now() >= exchange_.deadlines.response()) return Fail(Failure::kNotSent);
  return LooksAlive() ? BeginRequest() : Fail(Failure::kLocal);
}

// Writes the first byte, unless the request must not be sent any more. The process may be suspended between
// any two steps. So the order is: first what takes time, then the clock is read, and last the client's
// connection is checked, with nothing between that check and the write.
void UpstreamConnection::BeginRequest() {
  if (!exchange_.may_be_sent) return ReturnUnused();
  const ExchangeRequest& request = exchange_.request;
  state_ = State::kAwaitingHead;
  const ExchangeDeadlines& deadlines = exchange_.deadlines;
  ArmTimer(request.body ? ExchangeDeadlines::NextPiece(request, Now()) : deadlines.response());
  const TimePoint now = Now();
  writer_.Compose(*request.request, request.body, deadlines.UpstreamTimeout(request, now));
  if (now >= deadlines.first_byte()) return ReturnUnused();
  if (request.client_is_waiting && !request.client_is_waiting()) return ReturnUnused();
  if (request.body) {
    request.body->on_data = [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self || !self->HasExchange()) return;
      if (!self->writer_.is_writing() && !self->writer_.is_complete()) self->SendNextPiece();
    };
  }
  // Until the write completes, these may run: reads of the response's head and body, the timer, Cancel(),
  // AbandonUnsent(), Close().
  writer_.WriteHead([self = shared_from_this()](error_code error) { self->OnWritten(error); });
  ReadHead();
}

// The connection is established, but the request is not sent: ends the exchange as kNotSent and keeps the
// connection.
void UpstreamConnection::ReturnUnused() {
  timer_.cancel();
  DetachRequestBody();
  const auto on_finished = EndExchange(State::kIdle);
  ExchangeResult result = Result(Outcome::kNotSent);
  // The idle time is not restarted: the upstream measures it from its last response.
  BecomeIdle(history_.idle_since, history_.idle_since);
  on_finished(std::move(result));
}

// ---- The request's body ----

void UpstreamConnection::OnWritten(error_code error) {
  if (state_ == State::kAwaitingWrite) return FinishFailed(failure_);
  if (IsClosed()) return;
  if (error) return Fail(Failure::kBroken, error);
  if (!exchange_.request.body) return;
  return writer_.is_complete() ? OnRequestStreamed() : SendNextPiece();
}

void UpstreamConnection::SendNextPiece() {
  switch (writer_.TakeNextPiece()) {
    case RequestWriter::NextPiece::kAbandoned:
      return;
    case RequestWriter::NextPiece::kAwaited:
      return DisarmTimer();
    case RequestWriter::NextPiece::kNone:
      return OnRequestStreamed();
    case RequestWriter::NextPiece::kTaken:
      break;
  }
  ArmTimer(ExchangeDeadlines::NextPiece(exchange_.request, Now()));
  // Until the write completes, the same may run as for the head.
  writer_.WritePiece([self = shared_from_this()](error_code error) { self->OnWritten(error); });
}

// The time limit of the response starts with the last byte of a streamed request.
void UpstreamConnection::OnRequestStreamed() {
  exchange_.deadlines.RestartAfterLastByte(exchange_.request, Now());
  ArmTimer(exchange_.deadlines.response());
}

// ---- Between exchanges ----

void UpstreamConnection::BecomeIdle(TimePoint since, TimePoint usable_from) {
  history_.idle_since = since;
  history_.usable_from = usable_from;
  Clear();
  WatchIdle();
  context_.owner.OnReusable(shared_from_this());
}

// Until the wait completes, further exchanges and Close() may run. If another exchange has started since,
// which the count of exchanges shows, the wait's completion is ignored.
void UpstreamConnection::WatchIdle() {
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this(), exchanges = history_.exchanges](error_code error) {
                       if (error || self->IsClosed() || self->history_.exchanges != exchanges) return;
                       self->context_.owner.OnIdleConnectionLost(*self);
                       self->Close();
                     });
}

bool UpstreamConnection::LooksAlive() {
  return !IsClosed() && Peek(socket_.native_handle()).status == IoStatus::kWouldBlock;
}

// Frees the memory of the last exchange.
void UpstreamConnection::Clear() {
  exchange_.request = {};
  body_.Clear();
  writer_.Clear();
  framing_.Clear();
  buffer_.clear();
  buffer_.shrink_to_fit();
}

// ---- Ends without a response ----

void UpstreamConnection::AbandonUnsent() {
  exchange_.may_be_sent = false;
  if (writer_.is_writing()) Fail(Failure::kCancelled);
}

void UpstreamConnection::FailIncomplete() {
  if (!writer_.is_complete()) Fail(Failure::kTimeout);
}

// Also closes the connection, because late bytes must never be read as the response to another request. If a
// write with the last byte of the request is pending, waits for its completion before finishing: bytes that
// the system has taken count as written even if the completion has not run yet, and an unsafe request may be
// sent again only if its last byte was not written. Any other pending write cannot complete the request: the
// exchange finishes at once, before another event can take the request for one that may have run.
void UpstreamConnection::Fail(Failure failure, error_code error) {
  if (!HasExchange()) return;
  exchange_.error = error;
  exchange_.progress = Progress();
  Close();
  if (!writer_.IsWritingLastByte()) return FinishFailed(failure);
  state_ = State::kAwaitingWrite;
  failure_ = failure;
}

void UpstreamConnection::FinishFailed(Failure failure) {
  const bool is_written = writer_.is_complete();
  Outcome outcome = Outcome::kNotSent;
  if (failure == Failure::kBroken) outcome = is_written ? Outcome::kReset : Outcome::kConnectFailed;
  if (failure == Failure::kTimeout) outcome = is_written ? Outcome::kTimeout : Outcome::kConnectFailed;
  if (failure == Failure::kCancelled) outcome = Outcome::kCancelled;
  if (failure == Failure::kLocal) outcome = Outcome::kLocalFailure;
  const auto self = shared_from_this();
  const auto on_finished = EndExchange(State::kClosed);
  on_finished(Result(outcome));
}

void UpstreamConnection::Close() {
  if (IsClosed()) return;
  state_ = State::kClosed;
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
  slot_.reset();
  DetachRequestBody();
  body_.Abort();
}

ExchangeRequest::OnFinished UpstreamConnection::EndExchange(State next) {
  state_ = next;
  auto on_finished = std::move(exchange_.request.on_finished);
  exchange_.request.on_finished = nullptr;
  context_.owner.OnExchangeFinished(exchange_.id);
  return on_finished;
}

ExchangeResult UpstreamConnection::Result(Outcome outcome) const {
  ExchangeResult result;
  result.outcome = outcome;
  result.elapsed = Now() - exchange_.deadlines.started();
  result.progress = exchange_.progress;
  result.body_bytes = body_.received();
  result.connection_error = exchange_.error;
  result.connection_use = history_.exchanges;
  result.connection_open_for = exchange_.deadlines.started() - history_.opened;
  result.connection_idle_for = exchange_.connection_idle;
  return result;
}

ExchangeProgress UpstreamConnection::Progress() const {
  switch (state_) {
    case State::kAwaitingHead:
      return writer_.is_complete() ? ExchangeProgress::kAwaitingResponse : ExchangeProgress::kSendingRequest;
    case State::kCollectingBody:
    case State::kHoldingBackBody:
      return body_.received() > 0 ? ExchangeProgress::kReceivingBody : ExchangeProgress::kAwaitingBody;
    case State::kStreamingBody:
    case State::kStreamPaused:
      return ExchangeProgress::kReceivingBody;
    default:
      return ExchangeProgress::kConnecting;
  }
}

// ---- Timer ----

// Until the timer expires, any other event may run. A completion that is already queued when the timer is set
// again must not count as the new expiry, so the handler compares the expiry time with the clock.
void UpstreamConnection::ArmTimer(TimePoint at) {
  timer_.expires_at(ToSteady(at));
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (error || !self->HasExchange()) return;
    if (self->timer_.expiry() > std::chrono::steady_clock::now()) return;
    self->OnTimer();
  });
}

void UpstreamConnection::OnTimer() {
  switch (state_) {
    case State::kHoldingBackBody:
      return OnHoldBackTimer();
    case State::kAwaitingReuse:
      return OnReuseTimer();
    case State::kStreamingBody:
      return OnStreamTimer();
    case State::kConnecting:
      return Fail(Now() >= exchange_.deadlines.first_byte() ? Failure::kNotSent : Failure::kTimeout);
    default:
      return Fail(Failure::kTimeout);
  }
}

void UpstreamConnection::DetachRequestBody() {
  if (exchange_.request.body) exchange_.request.body->on_data = nullptr;
}

}  // namespace lb::sidecar
