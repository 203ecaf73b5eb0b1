// The response of an exchange, from its head to the end of its body: the transitions from kAwaitingHead
// through the three states of the body. The other transitions are in upstream_connection.cpp.
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "sidecar/load_report.h"
#include "sidecar/upstream_connection.h"

namespace lb::sidecar {
namespace {

using boost::system::error_code;

// Receive buffer of a connection with a streamed response, in bytes. With the default size, the kernel would
// buffer megabytes for a client that reads slowly.
constexpr int kStreamReceiveBuffer = 128 * 1024;
// Within this time the event loop delivers bytes that have arrived.
constexpr Duration kPendingReadTime = std::chrono::milliseconds(5);

}  // namespace

// Until the read completes, these may run: completions of writes, the timer, Cancel(), AbandonUnsent(),
// Close().
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
  // The head's bytes are gone from the buffer, which may have grown for them.
  buffer_.shrink_to_fit();
  const auto progress = writer_.is_complete() ? RequestProgress::kComplete : RequestProgress::kIncomplete;
  switch (framing_.ExamineHead(progress)) {
    case HeadAction::kReadNextHead:
      return ReadHead();
    case HeadAction::kFail:
      return Fail(Failure::kBroken);
    case HeadAction::kCollectBody:
      state_ = State::kCollectingBody;
      if (framing_.IsServed()) body_.ExpectLength(framing_.content_length().value_or(0));
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

// Sends the collected part of the body to the client, and the rest as it arrives.
void UpstreamConnection::StartStreaming() {
  if (!exchange_.request.on_response_started) return Fail(Failure::kBroken, http::error::body_limit);
  state_ = State::kStreamingBody;
  auto on_capacity = [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnStreamCapacity();
  };
  Body stream = body_.StartStreaming(context_.io, context_.bodies.stream_capacity, framing_.content_length(),
                                     std::move(on_capacity));
  error_code ignored;
  socket_.set_option(boost::asio::socket_base::receive_buffer_size(kStreamReceiveBuffer), ignored);
  exchange_.stream_deadline = MakeStreamDeadline(Now());
  ArmTimer(exchange_.stream_deadline.at());
  exchange_.request.on_response_started(framing_.TakeHeadForStream(), std::move(stream));
}

StreamDeadline UpstreamConnection::MakeStreamDeadline(TimePoint now) const {
  const ExchangeRequest& request = exchange_.request;
  StreamDeadline::Request limits;
  if (request.time_left) limits.deadline = now + request.time_left(now);
  limits.last_response_by = request.last_response_by;
  return {limits, framing_.content_length(), body_.received(), now};
}

std::optional<TimePoint> UpstreamConnection::SilentSince() const {
  if (state_ != State::kStreamingBody) return std::nullopt;
  return exchange_.stream_deadline.silent_since();
}

void UpstreamConnection::LimitResponse(TimePoint last_response_by) {
  if (!HasExchange()) return;
  exchange_.request.last_response_by = last_response_by;
  exchange_.stream_deadline.LimitTo(last_response_by);
  if (state_ == State::kStreamingBody) ArmTimer(exchange_.stream_deadline.at());
}

// The pending read of the body continues. A response that has begun is not given up because its body is late.
void UpstreamConnection::OnHoldBackTimer() {
  const TimePoint now = Now();
  const bool is_head_due = now >= exchange_.deadlines.ForwardHeadAt();
  const bool can_forward_head = exchange_.request.on_response_started != nullptr;
  if (body_.collected() > 0 || (is_head_due && can_forward_head)) return StartStreaming();
  if (now >= exchange_.deadlines.response()) return Fail(Failure::kTimeout);
  ArmTimer(exchange_.deadlines.HoldBackEnd(now));
}

void UpstreamConnection::ReadBody() {
  if (framing_.IsComplete()) return OnResponseComplete();
  if (!body_.HasCapacity()) {
    state_ = State::kStreamPaused;
    return DisarmTimer();
  }
  if (body_.is_streaming()) {
    exchange_.stream_deadline.OnRead(body_.received(), Now());
    ArmTimer(exchange_.stream_deadline.at());
  }
  framing_.SetBodyBuffer(body_.PreparePart(), ResponseBody::PartSize());
  // Until the read completes, these may run: completions of writes, the timer (which may start streaming),
  // the stream's reader abandoning the body, Cancel(), AbandonUnsent(), Close().
  http::async_read_some(socket_, buffer_, framing_.parser(),
                        [self = shared_from_this()](error_code error, std::size_t) {
                          if (!self->IsClosed()) self->OnBodyPart(error);
                        });
}

void UpstreamConnection::OnBodyPart(error_code error) {
  const std::size_t size = ResponseBody::PartSize() - framing_.body_buffer_left();
  // need_buffer means that the part is full.
  if (error && error != http::error::need_buffer) return Fail(Failure::kBroken, error);
  // Only a served response is forwarded.
  if (framing_.IsServed()) {
    body_.TakePart(size);
  } else {
    body_.DiscardPart(size);
  }
  const bool can_stream = framing_.IsServed() && exchange_.request.on_response_started;
  if (can_stream && body_.IsTooLargeToCollect()) {
    StartStreaming();
  } else if (body_.IsOverLimit()) {
    return Fail(Failure::kBroken, http::error::body_limit);
  }
  if (!IsClosed()) ReadBody();
}

void UpstreamConnection::OnStreamCapacity() {
  if (IsClosed() || !body_.is_streaming()) return;
  if (body_.IsAbandonedByReader()) return Fail(Failure::kCancelled);
  if (state_ != State::kStreamPaused) return;
  state_ = State::kStreamingBody;
  exchange_.stream_deadline.OnCapacity(Now());
  ReadBody();
}

// The timer may expire before the event loop delivers bytes that have arrived.
void UpstreamConnection::OnStreamTimer() {
  error_code ignored;
  if (socket_.available(ignored) == 0) return Fail(Failure::kTimeout);
  ArmTimer(Now() + kPendingReadTime);
}

void UpstreamConnection::OnResponseComplete() {
  // The connection can't be reused if the response came before the request was written completely, or if
  // further bytes follow it: the next response could not be matched to its request.
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

}  // namespace lb::sidecar
