#include "sidecar/upstream_connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "sidecar/load_report.h"
#include "sidecar/socket_io.h"

namespace lb::sidecar {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Bounds the kernel's receive buffer of a streamed response. With the default it would take in megabytes for
// a client that reads slowly.
constexpr int kStreamReceiveBuffer = 128 * 1024;

}  // namespace

UpstreamConnection::UpstreamConnection(const Context& context, std::weak_ptr<UpstreamPool> pool)
    : context_(context),
      pool_(std::move(pool)),
      slot_(std::in_place, context.descriptors, Descriptors::Side::kUpstream),
      socket_(context.io),
      timer_(context.io),
      writer_(socket_) {
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

// ---- The way to the first byte ----

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

// Before it completes: the timer, Cancel, FailUnsent, AbandonUnsent, Close.
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

// Writes the first byte, unless that is of no use any more. The process may be held up between any two steps:
// what takes time comes first, then the clock is read, and the client is looked at last, with nothing between
// that look and the write.
void UpstreamConnection::BeginRequest() {
  if (!exchange_.is_wanted) return ReturnUnused();
  const ExchangeRequest& request = exchange_.request;
  state_ = State::kAwaitingHead;
  const ExchangeDeadlines& deadlines = exchange_.deadlines;
  ArmTimer(request.body ? ExchangeDeadlines::NextPiece(request, Now()) : deadlines.response());
  const TimePoint now = Now();
  writer_.Compose(*request.request, request.body, deadlines.ToldTimeout(request, now));
  if (now >= deadlines.first_byte()) return ReturnUnused();
  if (request.client_is_waiting && !request.client_is_waiting()) return ReturnUnused();
  if (request.body) {
    request.body->on_data = [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self || !self->HasExchange()) return;
      if (!self->writer_.is_writing() && !self->writer_.is_complete()) self->SendNextPiece();
    };
  }
  // Before it completes: the response's head and body, the timer, Cancel, AbandonUnsent, Close.
  writer_.WriteHead([self = shared_from_this()](error_code error) { self->OnWritten(error); });
  ReadHead();
}

// The connection is up, and there is nothing to send on it.
void UpstreamConnection::ReturnUnused() {
  timer_.cancel();
  DetachRequestBody();
  const auto on_finished = EndExchange(State::kIdle);
  const ExchangeResult result = Result(Outcome::kNotSent);
  // The upstream counts the idle time from its last response, whatever was meant to be sent since.
  BecomeIdle(history_.idle_since, history_.idle_since);
  on_finished(result);
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
  // Before it completes: as for the head.
  writer_.WritePiece([self = shared_from_this()](error_code error) { self->OnWritten(error); });
}

// The upstream's time runs from the last byte of a streamed request.
void UpstreamConnection::OnRequestStreamed() {
  exchange_.deadlines.RestartAfterLastByte(exchange_.request, Now());
  ArmTimer(exchange_.deadlines.response());
}

// ---- The response ----

// Before it completes: completed writes, the timer, Cancel, AbandonUnsent, Close.
void UpstreamConnection::ReadHead() {
  http::async_read_header(socket_, buffer_, framing_.ExpectHead(),
                          [self = shared_from_this()](error_code error, std::size_t) {
                            if (!self->IsClosed()) self->OnHead(error);
                          });
}

void UpstreamConnection::OnHead(error_code error) {
  using HeadAction = ResponseFraming::HeadAction;
  using RequestProgress = ResponseFraming::RequestProgress;
  if (error) return Fail(Failure::kBroken, error);
  const auto progress = writer_.is_complete() ? RequestProgress::kComplete : RequestProgress::kIncomplete;
  switch (framing_.ExamineHead(progress)) {
    case HeadAction::kReadNextHead:
      return ReadHead();
    case HeadAction::kFail:
      return Fail(Failure::kBroken);
    case HeadAction::kCollectBody:
      state_ = State::kCollectingBody;
      break;
    case HeadAction::kHoldBackBody:
      state_ = State::kHoldingBackBody;
      ArmTimer(exchange_.deadlines.HoldBackEnd(Now()));
      break;
    case HeadAction::kStreamBody:
      StartStreaming();
      break;
  }
  if (!IsClosed()) ReadBody();
}

// What has been collected goes to the client, and the rest as it comes.
void UpstreamConnection::StartStreaming() {
  if (!exchange_.request.on_response_started) return Fail(Failure::kBroken, http::error::body_limit);
  state_ = State::kStreamingBody;
  auto on_capacity = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnStreamCapacity();
  };
  Body stream = body_.StartStreaming(context_.io, context_.stream_capacity, framing_.content_length(),
                                     std::move(on_capacity));
  error_code ignored;
  socket_.set_option(boost::asio::socket_base::receive_buffer_size(kStreamReceiveBuffer), ignored);
  ArmTimer(ExchangeDeadlines::NextBytes(Now()));
  HttpResponse head;
  head.base() = framing_.head();
  exchange_.request.on_response_started(std::move(head), std::move(stream));
}

// The read that is under way goes on.
void UpstreamConnection::OnHoldBackTimer() {
  if (body_.collected() > 0) return StartStreaming();
  if (Now() >= exchange_.deadlines.response()) return Fail(Failure::kTimeout);
  ArmTimer(exchange_.deadlines.HoldBackEnd(Now()));
}

void UpstreamConnection::ReadBody() {
  if (framing_.IsComplete()) return OnResponseComplete();
  if (!body_.HasCapacity()) {
    state_ = State::kStreamPaused;
    return DisarmTimer();
  }
  if (body_.is_streaming()) ArmTimer(ExchangeDeadlines::NextBytes(Now()));
  framing_.SetBodyBuffer(body_.PreparePart(), ResponseBody::PartSize());
  // Before it completes: completed writes, the timer (also the one that starts to stream), the stream's
  // reader leaving, Cancel, AbandonUnsent, Close.
  http::async_read_some(socket_, buffer_, framing_.parser(),
                        [self = shared_from_this()](error_code error, std::size_t) {
                          if (!self->IsClosed()) self->OnBodyPart(error);
                        });
}

void UpstreamConnection::OnBodyPart(error_code error) {
  const std::size_t size = ResponseBody::PartSize() - framing_.body_buffer_left();
  // need_buffer: the part is full.
  if (error && error != http::error::need_buffer) return Fail(Failure::kBroken, error);
  body_.TakePart(size);
  if (body_.collected() > kMaxBufferedBody) {
    if (!framing_.IsServed()) return Fail(Failure::kBroken, http::error::body_limit);
    StartStreaming();
  }
  if (!IsClosed()) ReadBody();
}

void UpstreamConnection::OnStreamCapacity() {
  if (IsClosed() || !body_.is_streaming()) return;
  if (body_.IsAbandonedByReader()) return Fail(Failure::kCancelled);
  if (state_ != State::kStreamPaused) return;
  state_ = State::kStreamingBody;
  ReadBody();
}

void UpstreamConnection::OnResponseComplete() {
  // A response before the request was written out, or with bytes after it, leaves the connection between
  // messages.
  const bool can_reuse = framing_.KeepsConnection() && writer_.is_complete() && buffer_.size() == 0;
  HttpResponse response = framing_.TakeHead();
  response.body() = body_.TakeCollected();
  ExchangeResult result = Result(ClassifyResponse(response));
  result.load = ParseLoadReport(response["X-Server-Load"]);
  result.response = std::move(response);
  timer_.cancel();
  body_.Finish();
  DetachRequestBody();
  const auto self = shared_from_this();
  const auto on_finished = EndExchange(State::kIdle);
  if (can_reuse) {
    const TimePoint now = Now();
    BecomeIdle(now, now + kReuseDelay);
  } else {
    Close();
  }
  on_finished(std::move(result));
}

// ---- Between exchanges ----

void UpstreamConnection::BecomeIdle(TimePoint since, TimePoint usable_from) {
  history_.idle_since = since;
  history_.usable_from = usable_from;
  Clear();
  WatchIdle();
  context_.owner.OnReusable(shared_from_this());
}

// Before it completes: exchanges, one after another, and Close. A wait that an exchange has outlived is void,
// which the count of exchanges tells.
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

// An idle connection keeps nothing of its last exchange.
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
  exchange_.is_wanted = false;
  if (writer_.is_writing()) Fail(Failure::kCancelled);
}

// Closes the connection with the exchange: late bytes must never reach another request. Whether the last byte
// was written is asked once no write is under way: bytes that the system has taken, but whose completion has
// not run, count as written, and whether an unsafe request may be sent again depends on that.
void UpstreamConnection::Fail(Failure failure, error_code error) {
  if (!HasExchange()) return;
  exchange_.error = error;
  Close();
  if (!writer_.is_writing()) return FinishFailed(failure);
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
  result.why = exchange_.error;
  result.use = history_.exchanges;
  result.open = exchange_.deadlines.started() - history_.opened;
  result.idle = exchange_.connection_idle;
  return result;
}

// ---- Time ----

// Before it completes: any other event. A completion that is queued when the timer is set again must not
// be taken for the new one, so it looks at the time.
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
