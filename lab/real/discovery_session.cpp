#include "lab/real/discovery_session.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "lab/real/discovery_query.h"
#include "lab/real/malformed_message.h"

namespace lb::lab {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// Of slow discovery: delay before the first piece of an answer, between pieces, and number of pieces.
constexpr auto kSlowFirstPieceDelay = milliseconds(300);
constexpr auto kSlowPieceDelay = milliseconds(100);
constexpr std::size_t kSlowPieceCount = 4;

std::string ResponseHead(const char* status, std::size_t length, bool keep_alive) {
  return std::string("HTTP/1.1 ") + status +
         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(length) +
         (keep_alive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
}

}  // namespace

AgentCounters& AgentCounters::operator+=(const AgentCounters& other) {
  calls += other.calls;
  bad_calls += other.bad_calls;
  bytes_in += other.bytes_in;
  bytes_out += other.bytes_out;
  whole_lists += other.whole_lists;
  changes += other.changes;
  return *this;
}

DiscoverySession::DiscoverySession(boost::asio::io_context& io, DiscoverySessionHost& host,
                                   DiscoveryAgent& agent, tcp::socket socket)
    : host_(host),
      agent_(agent),
      address_generation_(agent.address_generation),
      socket_(std::move(socket)),
      timer_(io) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
}

void DiscoverySession::Read() {
  parser_.emplace();
  http::async_read(socket_, buffer_, *parser_,
                   [self = shared_from_this()](error_code error, std::size_t bytes) {
                     self->agent_.counters.bytes_in += bytes;
                     if (error) return self->HandleReadError(error);
                     self->HandleCall();
                   });
}

void DiscoverySession::HandleReadError(error_code error) {
  if (!IsMalformedMessage(error)) return Close();
  AnswerError("400 Bad Request", false);
}

void DiscoverySession::AnswerWatch() {
  EndWatch();
  AnswerList(caller_revision_);
}

void DiscoverySession::LeaveUnanswered() {
  EndWatch();
  WatchForClose();
}

void DiscoverySession::HandleCall() {
  ++agent_.counters.calls;
  keep_alive_ = parser_->get().keep_alive();
  if (host_.IsDown() || address_generation_ != agent_.address_generation) return WatchForClose();
  if (parser_->get().method() != http::verb::get) return AnswerError("400 Bad Request", keep_alive_);
  if (host_.ShouldRejectCall()) return AnswerError("503 Service Unavailable", keep_alive_);
  const auto target = parser_->get().target();
  const DiscoveryQuery query = ParseDiscoveryTarget({target.data(), target.size()});
  if (query.fault == QueryFault::kNotFound) return AnswerError("404 Not Found", keep_alive_);
  if (query.fault == QueryFault::kMalformed) return AnswerError("400 Bad Request", keep_alive_);
  host_.HandleCall(agent_);
  const bool has_nothing_newer = query.index && *query.index == agent_.revision;
  if (!has_nothing_newer || query.wait == milliseconds::zero()) return AnswerList(query.index);
  Watch(*query.index, query.wait);
}

void DiscoverySession::Watch(std::uint64_t caller_revision, milliseconds wait) {
  caller_revision_ = caller_revision;
  agent_.watches.push_back(shared_from_this());
  timer_.expires_after(wait);
  // AnswerWatch(), LeaveUnanswered() or the end of the connection may precede the queued completion.
  timer_.async_wait([self = shared_from_this(), step = step_number_](error_code error) {
    if (!error && step == self->step_number_) self->AnswerWatch();
  });
  WatchForClose();
}

void DiscoverySession::WatchForClose() {
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this(), step = step_number_](error_code error) {
                       if (step != self->step_number_ || error == boost::asio::error::operation_aborted)
                         return;
                       self->EndWatch();
                       self->Close();
                     });
}

void DiscoverySession::EndWatch() {
  ++step_number_;
  timer_.cancel();
  std::erase(agent_.watches, shared_from_this());
}

void DiscoverySession::AnswerList(std::optional<std::uint64_t> caller_revision) {
  const Duration wait = host_.EnterQueue();
  if (wait == Duration::zero()) return WriteList(caller_revision);
  timer_.expires_after(wait);
  timer_.async_wait([self = shared_from_this(), caller_revision](error_code error) {
    if (!error) self->WriteList(caller_revision);
  });
}

void DiscoverySession::WriteList(std::optional<std::uint64_t> caller_revision) {
  answer_ = host_.AnswerFor(agent_, caller_revision);
  if (answer_->is_whole) {
    ++agent_.counters.whole_lists;
  } else {
    agent_.counters.changes += answer_->entries;
  }
  Write("200 OK", answer_->body, keep_alive_);
}

void DiscoverySession::AnswerError(const char* status, bool keep_alive) {
  ++agent_.counters.bad_calls;
  keep_alive_ = keep_alive;
  static const std::string kEmptyObject = "{}";
  Write(status, kEmptyObject, keep_alive);
}

void DiscoverySession::Write(const char* status, const std::string& body, bool keep_alive) {
  ++step_number_;
  head_ = ResponseHead(status, body.size(), keep_alive);
  if (host_.IsSlow()) return WriteSlowly(head_ + body);
  const std::array<boost::asio::const_buffer, 2> parts = {boost::asio::buffer(head_),
                                                          boost::asio::buffer(body)};
  boost::asio::async_write(socket_, parts, [self = shared_from_this()](error_code error, std::size_t bytes) {
    self->HandleWritten(error, bytes);
  });
}

void DiscoverySession::WriteSlowly(std::string response) {
  slow_response_ = std::move(response);
  piece_size_ = slow_response_.size() / kSlowPieceCount + 1;
  WritePiece(0, kSlowFirstPieceDelay);
}

void DiscoverySession::WritePiece(std::size_t from, milliseconds pause) {
  timer_.expires_after(pause);
  timer_.async_wait([self = shared_from_this(), from](error_code stopped) {
    if (stopped) return;
    const auto rest = boost::asio::buffer(self->slow_response_) + from;
    boost::asio::async_write(self->socket_, boost::asio::buffer(rest, self->piece_size_),
                             [self, from](error_code error, std::size_t bytes) {
                               const std::size_t written = from + bytes;
                               if (!error && written < self->slow_response_.size()) {
                                 return self->WritePiece(written, kSlowPieceDelay);
                               }
                               self->HandleWritten(error, written);
                             });
  });
}

void DiscoverySession::HandleWritten(error_code error, std::size_t bytes) {
  agent_.counters.bytes_out += bytes;
  if (!error && answer_) host_.HandleAnswerWritten(agent_, answer_->revision);
  answer_.reset();
  if (error || !keep_alive_) return Close();
  Read();
}

void DiscoverySession::Close() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
}

}  // namespace lb::lab
