#include "lab/real/http_upstream_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "lab/real/malformed_message.h"
#include "lab/real/socket_state.h"

namespace lb::lab {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

}  // namespace

HttpUpstreamConnection::HttpUpstreamConnection(HttpUpstreamServer& server, tcp::socket socket)
    : server_(server), socket_(std::move(socket)) {}

void HttpUpstreamConnection::Start() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  if (server_.options.bypass_model) {
    admission_ = Admission::kAccepted;
  } else {
    Connect();
  }
  if (!is_closed_) Read();
}

void HttpUpstreamConnection::Close() {
  if (is_closed_) return;
  End();
  error_code ignored;
  socket_.close(ignored);
}

void HttpUpstreamConnection::Reset() {
  if (is_closed_) return;
  End();
  ResetConnection(socket_);
}

void HttpUpstreamConnection::HandleProcessDeath() {
  has_table_entry_ = false;
  call_.reset();
}

tcp::socket HttpUpstreamConnection::ReleaseSocket() {
  End();
  error_code ignored;
  socket_.cancel(ignored);
  return std::move(socket_);
}

void HttpUpstreamConnection::Connect() {
  server_.model.Connect([weak = weak_from_this(), &server = server_](ConnectResult result) {
    const auto self = weak.lock();
    if (self && !self->is_closed_) return self->HandleAdmission(result);
    if (result == ConnectResult::kAccepted) server.model.Disconnect();
  });
}

void HttpUpstreamConnection::HandleAdmission(ConnectResult result) {
  if (result == ConnectResult::kSilent) return;
  has_table_entry_ = result == ConnectResult::kAccepted;
  admission_ = has_table_entry_ ? Admission::kAccepted : Admission::kRefused;
  if (state_ == State::kServing) Serve();
}

void HttpUpstreamConnection::Read() {
  state_ = State::kReading;
  idle_since_ = server_.scheduler.Now();
  parser_.emplace();
  // Close(), Reset() or ReleaseSocket() may be called before the handler runs.
  http::async_read(socket_, buffer_, *parser_,
                   [self = shared_from_this()](error_code error, std::size_t bytes) {
                     if (self->is_closed_) return;
                     if (error) return self->HandleReadError(error);
                     self->HandleRequest(bytes);
                   });
}

void HttpUpstreamConnection::HandleReadError(error_code error) {
  if (IsMalformedMessage(error)) ++server_.counters.invalid;
  Close();
}

void HttpUpstreamConnection::HandleRequest(std::size_t bytes) {
  state_ = State::kServing;
  arrived_ = server_.scheduler.Now();
  const auto& request = parser_->get();
  is_probe_ = request.target() == "/alive" || request.target() == "/metrics/load";
  request_bytes_ = bytes;
  if (!is_probe_) {
    const bool has_id = request.find("X-Request-ID") != request.end();
    ++(has_id ? server_.counters.requests : server_.counters.invalid);
    if (!has_id) return Write(NotFoundResponse());
    ReportAttempt();
  }
  WatchForClose();
  if (admission_ != Admission::kPending) Serve();
}

void HttpUpstreamConnection::ReportAttempt() const {
  if (!server_.options.on_attempt) return;
  const auto& request = parser_->get();
  server_.options.on_attempt({server_.model.instance().index, ParseSidecarIndex(request[kSidecarHeader]),
                              ParseWork(request[kWorkHeader]), arrived_});
}

void HttpUpstreamConnection::Serve() {
  if (admission_ == Admission::kRefused) return RejectRequest(true);
  if (is_probe_) return AnswerProbe();
  if (server_.options.bypass_model) return HandleServed(ServeResult::kServed);
  const Duration work = ParseWork(parser_->get()[kWorkHeader]);
  call_ = server_.model.Serve(work, [weak = weak_from_this()](ServeResult result) {
    const auto self = weak.lock();
    if (!self || self->is_closed_) return;
    self->call_.reset();
    self->HandleServed(result);
  });
}

void HttpUpstreamConnection::HandleServed(ServeResult result) {
  if (result == ServeResult::kReset) return Reset();
  if (result == ServeResult::kRejected) return RejectRequest(false);
  ++server_.counters.served;
  const Duration service = server_.scheduler.Now() - arrived_;
  Write({200, std::string(kServiceHeader) + ": " + std::to_string(service.count()) + "\r\n",
         "served by " + server_.model.instance().id + "\n", false});
}

void HttpUpstreamConnection::RejectRequest(bool close) {
  if (!is_probe_) ++server_.counters.rejected;
  Write(NotProcessedResponse(close));
}

void HttpUpstreamConnection::AnswerProbe() {
  if (!server_.options.probes) return Write(NotFoundResponse());
  ++server_.counters.probes;
  server_.counters.probe_bytes += request_bytes_;
  const bool with_report = parser_->get().target() == "/metrics/load";
  const auto answer = [weak = weak_from_this(), with_report](const lb::LoadReport& load) {
    const auto self = weak.lock();
    if (!self || self->is_closed_) return;
    const UpstreamResponse response{200, "", with_report ? ToText(load) : "alive", false};
    self->server_.counters.probe_bytes += ToText(response).size();
    self->Write(response);
  };
  if (server_.options.bypass_model) return answer({});
  server_.model.Probe(answer);
}

void HttpUpstreamConnection::Write(const UpstreamResponse& response) {
  if (server_.is_silent()) return;  // the connection is ended when the machine is reachable again
  state_ = State::kWriting;
  outgoing_ = ToText(response);
  const bool close = response.close || !parser_->get().keep_alive();
  // Close(), Reset() or ReleaseSocket() may be called before the handler runs.
  boost::asio::async_write(socket_, boost::asio::buffer(outgoing_),
                           [self = shared_from_this(), close](error_code error, std::size_t) {
                             if (self->is_closed_) return;
                             if (error || close) return self->Close();
                             self->Read();
                           });
}

void HttpUpstreamConnection::WatchForClose() {
  if (is_watching_) return;
  is_watching_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
    self->is_watching_ = false;
    if (error || self->is_closed_ || self->state_ != State::kServing) return;
    const SocketState seen = PeekSocketState(self->socket_);
    if (seen == SocketState::kEnded) return self->Close();
    if (seen == SocketState::kNoData) self->WatchForClose();
  });
}

void HttpUpstreamConnection::End() {
  is_closed_ = true;
  if (state_ == State::kServing && !is_probe_) ++server_.counters.abandoned;
  if (const auto call = std::exchange(call_, std::nullopt)) server_.model.Abandon(*call);
  if (std::exchange(has_table_entry_, false)) server_.model.Disconnect();
  server_.Remove(shared_from_this());
}

}  // namespace lb::lab
