// The request and response of a client connection, from the complete head to the last byte written: the
// transitions between kAwaitingResponse, kWritingResponse and the states after them. The other transitions
// are in client_connection.cpp.
#include <chrono>
#include <string>
#include <utility>

#include "sidecar/client_connection.h"

namespace lb::sidecar {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// After draining or a planned stop began, requests that a client has pipelined are served for this long; then
// the next response is the last one, so that a client that pipelines without end can't keep its connection.
constexpr Duration kServePipelinedTime = std::chrono::seconds(1);
constexpr boost::beast::string_view kRejectionRetryAfterSeconds = "1";

}  // namespace

void ClientConnection::HandleRequest(HttpRequest request, Body body) {
  const auto path = OriginForm(request.target());
  if (path.size() != request.target().size()) request.target(std::string(path));
  if (!request.keep_alive()) close_after_response_ = true;
  writer_.set_version(request.version());
  state_ = State::kAwaitingResponse;
  if (request.target() == "/up" && request.method() == http::verb::get) return AnswerHealthCheck();
  // The client may have disconnected after it sent the request. That is checked also for a request that was
  // read after the client ended its sending.
  const ClientPresence client = CheckClient();
  if (client == ClientPresence::kGone) return Close();
  if (client == ClientPresence::kUnknown) {
    request_awaiting_probe_.emplace(std::move(request), std::move(body));
    return SendHalfCloseProbe();
  }
  PassToHandler(std::move(request), std::move(body));
}

void ClientConnection::AnswerHealthCheck() {
  const DrainState& drain = context_->drain;
  // In a planned stop after a handover to another process, clients need not be turned away.
  const bool is_draining = drain.handed_over ? drain.draining : drain.IsDrainingOrStopping();
  if (is_draining) return Respond(PlainResponse(http::status::service_unavailable, "draining"), nullptr);
  if (context_->is_ready()) return Respond(PlainResponse(http::status::ok, "up"), nullptr);
  Respond(PlainResponse(http::status::service_unavailable, "no upstream is known"), nullptr);
}

void ClientConnection::PassToHandler(HttpRequest request, Body body) {
  // Before the reply, a close of the connection or a fault in a streamed body may call `on_disconnected`.
  auto reply = [self = shared_from_this()](HttpResponse response, Body response_body) {
    self->HandleResponseReady(std::move(response), std::move(response_body));
  };
  auto check_client = [weak = weak_from_this()] {
    const auto self = weak.lock();
    return self ? self->CheckClient() : ClientPresence::kGone;
  };
  auto on_disconnected =
      context_->on_request(std::move(request), std::move(body), std::move(reply), std::move(check_client));
  if (state_ == State::kAwaitingResponse) on_disconnected_ = std::move(on_disconnected);
}

void ClientConnection::HandleResponseReady(HttpResponse response, Body body) {
  on_disconnected_ = nullptr;
  if (state_ != State::kClosed) return Respond(std::move(response), std::move(body));
  if (body) body->AbandonByReader();
}

void ClientConnection::Respond(HttpResponse response, Body body) {
  state_ = State::kWritingResponse;
  activity_.state_since = Now();
  if (body_.IsStreaming()) {
    close_after_response_ = true;
    linger_.timeout = kLingerTimeoutWhileSending;
    body_.Abort();
  }
  if (ShouldCloseAfterResponse(response)) close_after_response_ = true;
  if (body && !writer_.IsDelimited(*body)) close_after_response_ = true;
  const bool keep_alive = !close_after_response_;
  if (body) return writer_.WriteStreamed(std::move(response), std::move(body), keep_alive);
  writer_.WriteWhole(std::move(response), keep_alive);
}

bool ClientConnection::ShouldCloseAfterResponse(const HttpResponse& response) {
  // Whoever created the response clears its keep-alive flag if no other request may follow on the connection.
  if (!response.keep_alive()) return true;
  if (context_->drain.IsDrainingOrStopping() && !ShouldServePipelinedRequest()) return true;
  return sending_ended_ && buffer_.size() == 0;
}

// During draining or a planned stop, pipelined requests are served for kServePipelinedTime. After a client
// has ended its sending, all its pipelined requests are served, as it can't send more.
bool ClientConnection::ShouldServePipelinedRequest() {
  if (buffer_.size() == 0 && !HasUnreadBytes()) return false;
  const TimePoint now = Now();
  if (sending_ended_ || probe_.state() == HalfCloseProbe::State::kClientConnected) return true;
  const DrainState& drain = context_->drain;
  return now - drain.changed_at < kServePipelinedTime && now < drain.stop_by;
}

void ClientConnection::HandleResponseWritten(ResponseWriter::Outcome outcome) {
  if (outcome == ResponseWriter::Outcome::kConnectionBroken) return Close();
  if (outcome == ResponseWriter::Outcome::kBodyAborted) return Reset();
  if (close_after_response_ && sending_ended_) return Close();
  if (close_after_response_) {
    StartLinger();
  } else {
    StartNextRequest();
  }
  ProcessBufferedBytes();
}

void ClientConnection::StartNextRequest() {
  state_ = State::kReadingRequest;
  framing_.StartRequest();
  body_.DiscardHeld();
  body_.EndWaitForCapacity();
  activity_.body_bytes = 0;
  activity_.state_since = Now();
  // Idle connections give their buffer memory back, as most connections are idle most of the time.
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
}

void ClientConnection::StartLinger() {
  state_ = State::kLingering;
  activity_.state_since = Now();
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

// The bytes after a malformed or incomplete request can't be framed, so the connection ends after the
// response.
void ClientConnection::Reject(const RequestFault& fault) {
  close_after_response_ = true;
  request_awaiting_probe_.reset();
  NotifyDisconnected();
  HttpResponse response = PlainResponse(fault.status, fault.reason);
  if (fault.status == http::status::service_unavailable) {
    response.set(http::field::retry_after, kRejectionRetryAfterSeconds);
  }
  Respond(std::move(response), nullptr);
}

}  // namespace lb::sidecar
