// One connection to an emulated upstream: reads a request, lets the model serve it, writes the response, and
// then reads the next request.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "lab/model/upstream_model.h"
#include "lab/real/http_upstream_messages.h"
#include "lab/real/http_upstream_server.h"

namespace lb::lab {

// States: kReading -> kServing (a request is complete) -> kWriting (its response) -> kReading. Close(),
// Reset() and ReleaseSocket() end the connection in any state. The model admits the connection independently
// of the state: a request may be complete before the connection is admitted.
class HttpUpstreamConnection : public std::enable_shared_from_this<HttpUpstreamConnection> {
 public:
  // `server` has to outlive this object.
  HttpUpstreamConnection(HttpUpstreamServer& server, boost::asio::ip::tcp::socket socket);

  void Start();
  // Closes the connection in an orderly way, on the upstream's initiative or after the caller's close.
  void Close();
  // Closes the connection with a TCP reset.
  void Reset();
  // Called when the emulated process dies, which clears the model's connection table and its calls.
  void HandleProcessDeath();
  // Ends the connection on this side without notice to the caller: returns the socket, still open.
  boost::asio::ip::tcp::socket ReleaseSocket();

  bool IsIdleSince(TimePoint time) const { return state_ == State::kReading && idle_since_ <= time; }

 private:
  enum class Admission { kPending, kAccepted, kRefused };
  enum class State { kReading, kServing, kWriting };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Connect();
  void HandleAdmission(ConnectResult result);
  void Read();
  void HandleReadError(boost::system::error_code error);
  void HandleRequest(std::size_t bytes);
  void ReportAttempt() const;
  void Serve();
  void HandleServed(ServeResult result);
  void RejectRequest(bool close);
  void AnswerProbe();
  void Write(const UpstreamResponse& response);
  // Closes the connection if the caller closes it while a request is being served. The wait may outlast that
  // request and then applies to the next one.
  void WatchForClose();
  void End();

  HttpUpstreamServer& server_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string outgoing_;
  State state_ = State::kReading;
  Admission admission_ = Admission::kPending;
  bool has_table_entry_ = false;  // whether it occupies an entry of the model's connection table
  bool is_closed_ = false;
  bool is_watching_ = false;  // a wait of WatchForClose() is pending, in any state
  bool is_probe_ = false;     // whether the current request is a probe
  std::size_t request_bytes_ = 0;
  std::optional<UpstreamModel::CallId> call_;
  TimePoint arrived_;
  TimePoint idle_since_;
};

}  // namespace lb::lab
