// The lifetime of a client connection, events from the listener, bytes received from the client, and the end
// of its sending. client_connection_exchange.cpp has the handling of a complete request and its response.
#include "sidecar/client_connection.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <chrono>

#include "sidecar/socket_io.h"

namespace lb::sidecar {
namespace {

using boost::asio::ip::tcp;
using boost::beast::string_view;
using boost::system::error_code;
using std::chrono::milliseconds;

// Bytes per read: larger than a usual request, and small enough not to delay other connections.
constexpr std::size_t kReadSize = 8192;
// While the buffer is full and nothing is read, this is how often the connection is checked for a disconnect.
// Frequent enough to cancel a request promptly, at negligible cost.
constexpr Duration kUnreadCheckInterval = milliseconds(50);
constexpr string_view kEvictionResponse =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

}  // namespace

ClientConnection::ClientConnection(ClientConnectionContext& context, tcp::socket socket)
    : context_(&context),
      descriptor_slot_(std::in_place, context.descriptors, Descriptors::Side::kClient),
      socket_(std::move(socket)),
      reader_(socket_),
      writer_(socket_, [this](ResponseWriter::Outcome outcome) { HandleResponseWritten(outcome); }),
      probe_(socket_, writer_),
      unread_check_(context.io),
      buffer_charge_(context.bodies.budget),
      framing_(context.bodies.budget),
      body_({[this] { return GetReceiveProgress(); }, [this] { HandleBodyCapacity(); }},
            context.bodies.budget) {
  buffer_.max_size(kMaxReadAhead);
  activity_.state_since = Now();
}

void ClientConnection::Start() {
  writer_.SetOwner(weak_from_this());
  Read();
}

void ClientConnection::Close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  error_code ignored;
  socket_.close(ignored);
  probe_.Cancel();
  unread_check_.cancel();
  descriptor_slot_.reset();
  body_.Abort();
  writer_.Abandon();
  if (context_ != nullptr) context_->on_closed(shared_from_this());
  NotifyDisconnected();
}

void ClientConnection::Drop() {
  context_ = nullptr;
  on_disconnected_ = nullptr;
  Close();
}

// Closes with a reset, as the client could take an orderly close for the end of the response.
void ClientConnection::Reset() {
  error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  Close();
}

void ClientConnection::NotifyDisconnected() {
  const OnDisconnected notify = std::move(on_disconnected_);
  on_disconnected_ = nullptr;
  if (notify) notify();
}

// ---- Events of the listener ----

void ClientConnection::DrainIdle() {
  if (!HasAnyRequestBegun()) return Reject({http::status::service_unavailable, "draining"});
  close_after_response_ = true;
  StartLinger();
  Read();
}

void ClientConnection::Evict() {
  const bool expects_response = HasRequestBegun() || !HasAnyRequestBegun();
  if (state_ == State::kReadingRequest && expects_response) writer_.WriteNow(kEvictionResponse);
  Close();
}

void ClientConnection::HandleDeadline(TimePoint now) {
  const Duration age = now - activity_.state_since;
  if (body_.IsStreaming() || (state_ == State::kReadingRequest && HasRequestBegun())) {
    if (!IsRequestOverdue(now) || HasBytesAboutToBeRead()) return;
    return Reject({http::status::request_timeout, "request did not come in time"});
  }
  switch (state_) {
    case State::kReadingRequest:
      // A response is sent rather than just a close, so that a first request that is already on its way to
      // the sidecar gets a response.
      if (HasAnyRequestBegun() || age <= kFirstRequestTimeout || HasBytesAboutToBeRead()) return;
      return Reject({http::status::request_timeout, "no request came in time"});
    case State::kLingering:
      if (age > linger_.timeout) Close();
      return;
    case State::kWritingResponse:
      if (!writer_.IsStreaming()) {
        if (IsResponseStalled(activity_, writer_.whole_body_size(), now)) Close();
      } else if (writer_.IsPieceBeingWritten() && now - writer_.piece_began_at() > kStreamWriteTimeout) {
        Reset();
      }
      return;
    case State::kAwaitingResponse:
    case State::kClosed:
      return;
  }
}

// A streamed request whose body waits for capacity is not overdue: its upstream is slow, not the client.
bool ClientConnection::IsRequestOverdue(TimePoint now) const {
  if (body_.IsStreaming() && (body_.IsWaitingForCapacity() || !body_.HasCapacity())) return false;
  return IsRequestStalled(activity_, now);
}

bool ClientConnection::HasUnreadBytes() {
  error_code error;
  return socket_.available(error) > 0 && !error;
}

bool ClientConnection::HasUnsentBytes() {
  int size = 0;
  return ::ioctl(socket_.native_handle(), SIOCOUTQ, &size) == 0 && size > 0;
}

// ---- Client bytes ----

void ClientConnection::Read() {
  if (reader_.IsReading() || state_ == State::kClosed || sending_ended_) return;
  if (IsReadAheadFull()) {
    body_.RecordPause();
    return ScheduleUnreadCheck();
  }
  std::size_t limit = body_.IsStreaming() ? std::min(kReadSize, context_->bodies.stream_capacity) : kReadSize;
  if (buffer_charge_.IsBudgetExhausted()) limit = std::min(limit, kMinBufferedHead);
  const std::size_t space = std::min(limit, buffer_.max_size() - buffer_.size());
  body_.BeginRead();
  // Any other event may come before the read completes, as a read is pending in all states. Closing the
  // socket ends the read with an error.
  reader_.Read(buffer_, space, [self = shared_from_this(), space](const IoResult& result) {
    self->HandleReadResult(result, space);
  });
}

// While the stream of a body has no capacity, more bytes would only wait here instead of in the kernel.
bool ClientConnection::IsReadAheadFull() const {
  std::size_t limit = kMaxReadAhead;
  if (body_.IsStreaming() && body_.IsWaitingForCapacity()) {
    limit = std::min(limit, context_->bodies.stream_capacity);
  }
  const bool is_pipelined = state_ == State::kAwaitingResponse || state_ == State::kWritingResponse;
  if (is_pipelined && !body_.IsStreaming() && buffer_charge_.IsBudgetExhausted()) {
    limit = std::min(limit, kMinBufferedHead);
  }
  return buffer_.size() >= limit;
}

// `space`: how many bytes the read could have returned.
void ClientConnection::HandleReadResult(const IoResult& result, std::size_t space) {
  if (state_ == State::kClosed) return;
  body_.EndRead(activity_.bytes_read, result.size, result.size < space);
  activity_.bytes_read += result.size;
  if (result.status == IoStatus::kBroken) return Close();
  if (result.status == IoStatus::kEnd) {
    sending_ended_ = true;
    return HandleSendingEnded();
  }
  ProcessBufferedBytes();
}

void ClientConnection::ProcessBufferedBytes() {
  ChargeBuffer();
  if (state_ == State::kLingering) {
    linger_.RecordDiscarded(buffer_.size());
    buffer_.consume(buffer_.size());
    buffer_.shrink_to_fit();
    if (linger_.IsOverLimit()) return Close();
  }
  ParseRequest();
  HandleSendingEnded();
  ChargeBuffer();
  Read();
}

void ClientConnection::ChargeBuffer() {
  const std::size_t capacity = std::max(buffer_.capacity(), kUnchargedReadBuffer);
  buffer_charge_.Set(capacity - kUnchargedReadBuffer);
}

// A larger head is refused while the memory budget is exhausted, also before it is complete.
bool ClientConnection::IsHeadTooLargeToHold(const RequestFraming::Step& step) const {
  if (framing_.IsHeadComplete() && !step.head_complete) return false;
  const std::size_t size = framing_.IsHeadComplete() ? framing_.head().size() : buffer_.size();
  return size > kMinBufferedHead && buffer_charge_.IsBudgetExhausted();
}

void ClientConnection::ParseRequest() {
  while ((state_ == State::kReadingRequest || body_.IsStreaming()) && buffer_.size() > 0) {
    if (body_.IsStreaming() && !body_.HasCapacity()) return body_.WaitForCapacity();
    const bool is_first_request = !HasAnyRequestBegun();
    RequestFraming::Piece piece;
    const RequestFraming::Step step = framing_.Next(buffer_, piece);
    // The time limit of a first request runs from the start of the connection.
    if (step.request_began && !is_first_request) activity_.state_since = Now();
    if (step.outcome == RequestFraming::Outcome::kFault) return Reject(step.fault);
    if (IsHeadTooLargeToHold(step)) {
      return Reject({http::status::service_unavailable, "no memory for the request"});
    }
    if (step.head_complete) SendContinueIfExpected();
    if (!step.body.empty()) HandleBodyBytes(step.body);
    // The handler may already have responded to a streamed request.
    if (state_ != State::kReadingRequest && !body_.IsStreaming()) return;
    if (step.outcome == RequestFraming::Outcome::kRequestComplete) return HandleRequestComplete();
    if (step.outcome == RequestFraming::Outcome::kNeedsBytes) return;
  }
}

// A client that sent `Expect: 100-continue` waits for this response before it sends the body (RFC 9110,
// 10.1.1).
void ClientConnection::SendContinueIfExpected() {
  if (boost::beast::iequals(framing_.head()[http::field::expect], "100-continue")) writer_.WriteContinue();
}

void ClientConnection::HandleBodyBytes(string_view bytes) {
  activity_.body_bytes += bytes.size();
  activity_.last_body_byte_at = Now();
  body_.Append(bytes, framing_.content_length());
  if (body_.IsTooLargeToHold()) BeginStreamedRequest();
}

void ClientConnection::BeginStreamedRequest() {
  const Body stream =
      body_.StartStream(context_->io, context_->bodies.stream_capacity, framing_.content_length(),
                        activity_.last_body_byte_at, weak_from_this());
  HttpRequest request;
  request.base() = framing_.head();
  HandleRequest(std::move(request), stream);
}

void ClientConnection::HandleRequestComplete() {
  const std::optional<RequestFault> fault = framing_.CheckComplete(BufferedBytes());
  if (fault) return Reject(*fault);
  if (body_.IsStreaming()) return body_.Finish();
  HttpRequest request;
  request.base() = framing_.TakeHead();
  request.body() = body_.TakeHeld();
  // The head's bytes are gone from the buffer, which may have grown for them.
  if (buffer_.capacity() > kUnchargedReadBuffer) buffer_.shrink_to_fit();
  HandleRequest(std::move(request), nullptr);
}

// Called when the stream of the request's body has capacity again, or its reader has left.
void ClientConnection::HandleBodyCapacity() {
  if (body_.IsWaitingForCapacity()) {
    body_.EndWaitForCapacity();
    // The client could not send while its bytes waited for capacity, so its time limit starts again.
    activity_.state_since = Now();
    activity_.last_body_byte_at = activity_.state_since;
    activity_.body_bytes = 1;
  }
  ProcessBufferedBytes();
}

string_view ClientConnection::BufferedBytes() const {
  return {static_cast<const char*>(buffer_.data().data()), buffer_.data().size()};
}

// ---- End of sending ----

// Called after the bytes read before the end of sending were parsed and passed on. What remains to be done
// depends on whether a response is due. While a response is being written, the result of that write shows
// whether the client is still connected.
void ClientConnection::HandleSendingEnded() {
  if (!sending_ended_) return;
  switch (state_) {
    case State::kWritingResponse:
    case State::kClosed:
      return;
    case State::kReadingRequest:
    case State::kLingering:
      return Close();  // the rest of the request can't arrive any more
    case State::kAwaitingResponse:
      if (body_.IsStreaming() && body_.HasCapacity()) return Close();  // nor can the rest of its body
      return SendHalfCloseProbe();
  }
}

void ClientConnection::SendHalfCloseProbe() {
  if (probe_.state() != HalfCloseProbe::State::kNotSent) return;
  unread_check_.cancel();
  // Before the probe has a result, the response may be written, more bytes may be received, which are kept,
  // and the connection may be closed, which cancels the probe.
  const bool sent = probe_.Send(
      [self = shared_from_this()](HalfCloseProbe::Result result) { self->HandleProbeResult(result); });
  if (!sent) Close();
}

void ClientConnection::HandleProbeResult(HalfCloseProbe::Result result) {
  if (state_ == State::kClosed) return;
  if (result == HalfCloseProbe::Result::kConnectionClosed) return Close();
  if (request_awaiting_probe_) {
    auto [request, body] = std::move(*request_awaiting_probe_);
    request_awaiting_probe_.reset();
    PassToHandler(std::move(request), std::move(body));
  }
  if (state_ != State::kClosed) Read();
}

// Posted rather than done at once: CheckClient() is called in the middle of a decision that a close would
// affect.
void ClientConnection::PostHalfCloseProbe() {
  probe_.DiscardResult();
  // Before this runs, the response may have begun, so that no probe is needed, or the connection may be
  // closed.
  boost::asio::post(context_->io, [self = shared_from_this()] {
    if (self->state_ == State::kAwaitingResponse) self->SendHalfCloseProbe();
  });
}

// Reads the current state from the kernel, also if the end of sending is behind unread bytes. The results of
// earlier calls are not reused, and an old result of a probe causes another probe: the client may have
// disconnected since, for example while this process was suspended.
ClientPresence ClientConnection::CheckClient() {
  if (state_ == State::kClosed) return ClientPresence::kGone;
  if (probe_.IsResultStale(Now())) PostHalfCloseProbe();
  if (probe_.state() == HalfCloseProbe::State::kNotSent && !sending_ended_) {
    const IoStatus status = Peek(socket_.native_handle()).status;
    if (status == IoStatus::kBroken) return ClientPresence::kGone;
    if (status == IoStatus::kWouldBlock) return ClientPresence::kConnected;
    const bool may_end_behind_unread = status != IoStatus::kEnd;
    if (may_end_behind_unread && PollNow(socket_.native_handle(), POLLRDHUP) == 0) {
      return ClientPresence::kConnected;
    }
  }
  if (IsClosedBothWays(socket_)) return ClientPresence::kGone;
  const bool connected = probe_.state() == HalfCloseProbe::State::kClientConnected;
  return connected ? ClientPresence::kConnected : ClientPresence::kUnknown;
}

// While the buffer is full, checks periodically whether the client ended its sending or disconnected behind
// the unread bytes. Not needed while a probe is outstanding, nor after a probe found the client connected.
void ClientConnection::ScheduleUnreadCheck() {
  if (state_ != State::kAwaitingResponse || probe_.state() != HalfCloseProbe::State::kNotSent) return;
  unread_check_.expires_after(kUnreadCheckInterval);
  // Before the timer expires, the body may get capacity, so that reading resumes, or the response may be
  // ready. A probe or a close cancels the timer.
  unread_check_.async_wait([self = shared_from_this()](error_code stopped) {
    if (!stopped && self->state_ != State::kClosed) self->HandleUnreadCheck();
  });
}

void ClientConnection::HandleUnreadCheck() {
  // The memory budget may have room again.
  if (!IsReadAheadFull()) return Read();
  const bool is_unprobed =
      state_ == State::kAwaitingResponse && probe_.state() == HalfCloseProbe::State::kNotSent;
  if (is_unprobed && CheckClient() != ClientPresence::kConnected) return SendHalfCloseProbe();
  ScheduleUnreadCheck();
}

ReceiveProgress ClientConnection::GetReceiveProgress() {
  error_code error;
  return {activity_.bytes_read, buffer_.size(), socket_.available(error), framing_.content_length_remaining(),
          sending_ended_};
}

}  // namespace lb::sidecar
