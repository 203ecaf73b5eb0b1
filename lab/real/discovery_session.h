// One connection of a sidecar to its agent of the discovery stand-in.
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

// What one sidecar's agent has carried since the start. Bytes are those of HTTP messages, heads included.
struct AgentCounters {
  std::uint64_t calls = 0;
  std::uint64_t bad_calls = 0;    // answered 400, 404 or 503
  std::uint64_t bytes_in = 0;     // from the sidecar
  std::uint64_t bytes_out = 0;    // to it
  std::uint64_t whole_lists = 0;  // answers with the whole list
  std::uint64_t changes = 0;      // changed entries sent, over all answers that are not the whole list
  std::uint64_t bytes() const { return bytes_in + bytes_out; }
  AgentCounters& operator+=(const AgentCounters& other);
};

class DiscoverySession;

// What stands on one sidecar's machine for discovery.
struct DiscoveryAgent {
  DiscoveryAgent(boost::asio::io_context& io, std::size_t number, std::optional<std::size_t> service_of_list)
      : index(number), service(service_of_list), acceptor(io), accept_pause(io), grace_timer(io) {}

  const std::size_t index;                   // of the sidecar
  const std::optional<std::size_t> service;  // what its list is restricted to
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::endpoint endpoint;
  boost::asio::steady_timer accept_pause;
  std::uint64_t revision = 1;    // what the sidecar can be sent
  std::uint64_t newest = 1;      // the last that concerns it, sent or not
  std::uint64_t missed = 1;      // the last whose notice was lost
  std::uint64_t counted = 1;     // the last that counts as known to the sidecar
  std::uint64_t address_no = 0;  // how many addresses it had before this one
  bool has_grace = false;        // what it is sent does not count as known yet
  boost::asio::steady_timer grace_timer;
  std::vector<std::shared_ptr<DiscoverySession>> watches;
  AgentCounters counters;
};

// A view of the registry as text. It never changes: an older revision's view stays what it was.
struct DiscoveryAnswer {
  std::string body;
  std::uint64_t revision = 0;
  bool is_whole = true;  // the whole list, not changes
  std::size_t entries = 0;
};

// What a session needs of its server.
class DiscoverySessionHost {
 public:
  virtual ~DiscoverySessionHost() = default;

  // While down, no call is answered.
  virtual bool IsDown() const = 0;
  // While slow, answers come late and in pieces.
  virtual bool IsSlow() const = 0;
  // Counts a call, and says whether slow discovery rejects it.
  virtual bool RejectsCall() = 0;
  // A sound call came: notices that were lost are made up for.
  virtual void HandleCall(DiscoveryAgent& agent) = 0;
  // What the agent answers to a caller that holds this revision.
  virtual std::shared_ptr<const DiscoveryAnswer> AnswerFor(DiscoveryAgent& agent,
                                                           std::optional<std::uint64_t> held) = 0;
  // An answer with this revision was written.
  virtual void HandleAnswerWritten(DiscoveryAgent& agent, std::uint64_t revision) = 0;
};

// On the server's thread only. Reads a call, answers it at once or when the watch ends, and reads the next
// one.
class DiscoverySession : public std::enable_shared_from_this<DiscoverySession> {
 public:
  // `io`, `host` and `agent` have to outlive it.
  DiscoverySession(boost::asio::io_context& io, DiscoverySessionHost& host, DiscoveryAgent& agent,
                   boost::asio::ip::tcp::socket socket);

  void Read();

  // Of a watch: the revision that its caller holds.
  std::uint64_t held() const { return *held_; }
  // Ends a watch: something newer is there, or its time is over.
  void AnswerWatch();
  // Leaves the call that is open without an answer.
  void Silence();

 private:
  void HandleReadError(boost::system::error_code error);
  void HandleCall();
  void Watch(std::uint64_t held, std::chrono::milliseconds wait);
  // Nothing but the connection's end is expected of a sidecar that waits.
  void WatchForClose();
  void EndWatch();
  void AnswerList(std::optional<std::uint64_t> held);
  void AnswerError(const char* status, bool keep_alive);
  // `body` has to live until it is written.
  void Write(const char* status, const std::string& body, bool keep_alive);
  void WriteSlowly(std::string text);
  void WritePiece(std::size_t from, std::chrono::milliseconds pause);
  void HandleWritten(boost::system::error_code error, std::size_t bytes);
  void Close();

  DiscoverySessionHost& host_;
  DiscoveryAgent& agent_;
  const std::uint64_t address_no_;  // of the agent, when this connection came
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;  // of a watch, or of a pause between pieces
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::empty_body>> parser_;
  bool keep_alive_ = true;
  std::optional<std::uint64_t> held_;  // by the caller of a watch
  std::uint64_t step_ = 0;             // grows as a call goes on: completions of earlier steps are void
  std::string head_;
  std::string slow_text_;  // of an answer in pieces
  std::size_t piece_size_ = 0;
  std::shared_ptr<const DiscoveryAnswer> answer_;
};

}  // namespace lb::lab
