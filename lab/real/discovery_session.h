// One connection of a sidecar to its agent in the emulated discovery service.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "balancer/types.h"

namespace lb::lab {

// Counters of one sidecar's agent since the start. Bytes are those of HTTP messages, including headers.
struct AgentCounters {
  std::uint64_t calls = 0;
  std::uint64_t bad_calls = 0;    // answered 400, 404 or 503
  std::uint64_t bytes_in = 0;     // received from the sidecar
  std::uint64_t bytes_out = 0;    // sent to the sidecar
  std::uint64_t whole_lists = 0;  // answers with the whole list
  std::uint64_t changes = 0;      // entries sent in answers that hold changes only
  std::uint64_t bytes() const { return bytes_in + bytes_out; }
  AgentCounters& operator+=(const AgentCounters& other);
};

class DiscoverySession;

// The emulated discovery agent on one sidecar's machine.
struct DiscoveryAgent {
  DiscoveryAgent(boost::asio::io_context& io, std::size_t number, std::optional<std::size_t> service_of_list)
      : index(number), service(service_of_list), acceptor(io), accept_pause(io), known_delay_timer(io) {}

  const std::size_t index;                   // index of the sidecar
  const std::optional<std::size_t> service;  // service that its list is restricted to
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::endpoint endpoint;
  boost::asio::steady_timer accept_pause;
  std::uint64_t revision = 1;            // latest revision available to the sidecar
  std::uint64_t newest_revision = 1;     // latest revision with a change in its list
  std::uint64_t lost_revision = 1;       // latest revision whose notice was lost
  std::uint64_t reported_revision = 1;   // latest revision reported to on_known
  std::uint64_t address_generation = 0;  // number of previous addresses
  bool is_known_delayed = false;         // delivered changes do not count as known yet, see DelayKnown()
  boost::asio::steady_timer known_delay_timer;
  std::vector<std::shared_ptr<DiscoverySession>> watches;
  AgentCounters counters;
};

// The body of an answer with its properties. Immutable: a new revision makes a new answer.
struct DiscoveryAnswer {
  std::string body;
  std::uint64_t revision = 0;
  bool is_whole = true;  // the whole list instead of changes
  std::size_t entries = 0;
};

// Interface of a session to its server.
class DiscoverySessionHost {
 public:
  virtual ~DiscoverySessionHost() = default;

  // While down, no call is answered.
  virtual bool IsDown() const = 0;
  // While slow, answers are delayed and sent in pieces.
  virtual bool IsSlow() const = 0;
  // Counts a call while discovery is slow, and returns whether to reject it.
  virtual bool ShouldRejectCall() = 0;
  // Called when a list is to be answered. Returns how long the answer has to wait.
  virtual Duration EnterQueue() = 0;
  // Called for each valid call, before it is answered: makes changes whose notice was lost available.
  virtual void HandleCall(DiscoveryAgent& agent) = 0;
  // The agent's answer to a caller with this revision of the list; std::nullopt: with none.
  virtual std::shared_ptr<const DiscoveryAnswer> AnswerFor(DiscoveryAgent& agent,
                                                           std::optional<std::uint64_t> caller_revision) = 0;
  // Called when an answer with this revision has been written.
  virtual void HandleAnswerWritten(DiscoveryAgent& agent, std::uint64_t revision) = 0;
};

// Reads a call, answers it at once or when its watch ends, and reads the next one. Use only on the server's
// thread.
class DiscoverySession : public std::enable_shared_from_this<DiscoverySession> {
 public:
  // `io`, `host` and `agent` must outlive the session.
  DiscoverySession(boost::asio::io_context& io, DiscoverySessionHost& host, DiscoveryAgent& agent,
                   boost::asio::ip::tcp::socket socket);

  void Read();

  // The revision that the caller of the open watch has. Requires an open watch.
  std::uint64_t caller_revision() const { return *caller_revision_; }
  // Ends the watch with an answer: a newer revision is available, or its wait has expired.
  void AnswerWatch();
  // Ends the watch without an answer and keeps the connection open until the sidecar closes it.
  void LeaveUnanswered();

 private:
  void HandleReadError(boost::system::error_code error);
  void HandleCall();
  void Watch(std::uint64_t caller_revision, std::chrono::milliseconds wait);
  // Closes the connection once it is readable: a sidecar that waits for an answer sends nothing but its end.
  void WatchForClose();
  void EndWatch();
  // Answers with the list as it is once the answer's turn has come.
  void AnswerList(std::optional<std::uint64_t> caller_revision);
  void WriteList(std::optional<std::uint64_t> caller_revision);
  void AnswerError(const char* status, bool keep_alive);
  // `body` must stay valid until it has been written.
  void Write(const char* status, const std::string& body, bool keep_alive);
  void WriteSlowly(std::string response);
  void WritePiece(std::size_t from, std::chrono::milliseconds pause);
  void HandleWritten(boost::system::error_code error, std::size_t bytes);
  void Close();

  DiscoverySessionHost& host_;
  DiscoveryAgent& agent_;
  const std::uint64_t address_generation_;  // the agent's address_generation when the connection was accepted
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;  // for the wait of a watch, or the pause before a piece
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::empty_body>> parser_;
  bool keep_alive_ = true;
  std::optional<std::uint64_t> caller_revision_;  // of the caller of a watch
  std::uint64_t step_number_ = 0;  // incremented when a call proceeds: earlier completions are ignored
  std::string head_;
  std::string slow_response_;  // an answer that is sent in pieces
  std::size_t piece_size_ = 0;
  std::shared_ptr<const DiscoveryAnswer> answer_;
};

}  // namespace lb::lab
