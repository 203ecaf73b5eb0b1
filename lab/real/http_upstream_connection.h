// One connection to an emulated upstream. It reads a request, has the model serve it, writes the response,
// and reads the next.
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
// Reset() and LeaveBehind() end it in any state. The model's admission of the connection is independent of
// the state: a request may be complete before it.
class HttpUpstreamConnection : public std::enable_shared_from_this<HttpUpstreamConnection> {
 public:
  // `server` has to outlive it.
  HttpUpstreamConnection(HttpUpstreamServer& server, boost::asio::ip::tcp::socket socket);

  void Start();
  // An orderly close by the upstream, or what follows the caller's.
  void Close();
  void Reset();
  // The process behind it dies: the connection has no place in the model's table any more.
  void HandleProcessDeath();
  // Ends the connection for this side, but the caller does not notice it. Returns its socket.
  boost::asio::ip::tcp::socket LeaveBehind();

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
  // Notices when the caller gives up. The wait may outlast the request and then tells of the next one.
  void WatchForClose();
  void End();

  HttpUpstreamServer& server_;
  boost::asio::ip::tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string outgoing_;
  State state_ = State::kReading;
  Admission admission_ = Admission::kPending;
  bool has_place_ = false;  // in the model's connection table
  bool is_closed_ = false;
  bool is_watching_ = false;  // a wait of WatchForClose() is out, in whatever state
  bool is_probe_ = false;     // of the request that is served
  std::size_t request_bytes_ = 0;
  std::optional<UpstreamModel::CallId> call_;
  TimePoint arrived_;
  TimePoint idle_since_;
};

}  // namespace lb::lab
