// A client connection's request and response, from the whole head to the last byte written: the transitions
// between kAwaitingResponse, kWritingResponse and what follows it. The rest is in client_connection.cpp.
#include <chrono>
#include <string>
#include <utility>

#include "sidecar/client_connection.h"

namespace lb::sidecar {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// So long after clients began to be asked to leave, the requests that a client has pipelined are served; then
// the next response is the last. A client that pipelines without end must not keep its connection.
constexpr Duration kServePipelinedTime = std::chrono::seconds(1);

}  // namespace

void ClientConnection::HandleRequest(HttpRequest request, Body body) {
  const auto path = OriginForm(request.target());
  if (path.size() != request.target().size()) request.target(std::string(path));
  if (!request.keep_alive()) close_after_response_ = true;
  writer_.set_version(request.version());
  state_ = State::kAwaitingResponse;
  if (request.target() == "/up" && request.method() == http::verb::get) return AnswerHealthCheck();
  // The client may have disconnected since it sent this, also where the request waits behind the end of its
  // sending.
  const ClientPresence client = CheckClient();
  if (client == ClientPresence::kGone) return Close();
  if (client == ClientPresence::kUnknown) {
    unprobed_request_.emplace(std::move(request), std::move(body));
    return SendHalfCloseProbe();
  }
  PassToHandler(std::move(request), std::move(body));
}

void ClientConnection::AnswerHealthCheck() {
  const DrainState& drain = context_->drain;
  // A planned stop that another process takes over from keeps no client away.
  const bool leaving = drain.handed_over ? drain.draining : drain.IsLeaving();
  if (leaving) return Respond(PlainResponse(http::status::service_unavailable, "draining"), nullptr);
  if (context_->is_ready()) return Respond(PlainResponse(http::status::ok, "up"), nullptr);
  Respond(PlainResponse(http::status::service_unavailable, "no upstream is known"), nullptr);
}

void ClientConnection::PassToHandler(HttpRequest request, Body body) {
  // May come first: a close, which calls `on_disconnected`, or a fault in a streamed body, which calls it as
  // well.
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
  activity_.since = Now();
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
  // Whoever found the request unfit to be followed by another says so by the response.
  if (!response.keep_alive()) return true;
  if (context_->drain.IsLeaving() && !ServesPipelinedRequest()) return true;
  return sending_ended_ && buffer_.size() == 0;
}

// While clients are asked to leave, a pipelined request is still served for a while, and all of them to a
// client that has ended its sending: it can send no more.
bool ClientConnection::ServesPipelinedRequest() {
  if (buffer_.size() == 0 && !HasUnreadBytes()) return false;
  const TimePoint now = Now();
  if (sending_ended_ || probe_.state() == HalfCloseProbe::State::kClientConnected) return true;
  const DrainState& drain = context_->drain;
  return now - drain.since < kServePipelinedTime && now < drain.stop_by;
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
  activity_.since = Now();
  // Most connections are idle most of the time.
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
}

void ClientConnection::StartLinger() {
  state_ = State::kLingering;
  activity_.since = Now();
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

// Nothing behind a malformed or unfinished request can be framed: the connection ends with the response.
void ClientConnection::Reject(const RequestFault& fault) {
  close_after_response_ = true;
  unprobed_request_.reset();
  NotifyDisconnected();
  Respond(PlainResponse(fault.status, fault.reason), nullptr);
}

}  // namespace lb::sidecar
