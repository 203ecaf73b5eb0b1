// One HTTP/1.1 connection from an emulated application to its sidecar, carrying one request at a time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "balancer/types.h"

namespace lb::lab {

// Connects when the first request is sent, and stays open after a response that allows keep-alive. Not
// thread-safe: call it only on the thread of its io_context.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection> {
 public:
  using Response = boost::beast::http::response<boost::beast::http::string_body>;

  // How an exchange ended.
  enum class End {
    kAnswered,      // the response is complete
    kNotConnected,  // the connect failed
    kBroken,        // the connection ended in the middle of the response or before the request was written
    kUnread,   // a reused connection ended while the request was being written or shortly afterwards, so the
               // sidecar may not have read the request
    kDropped,  // the request was written completely, the connection ended without a byte of the response, and
               // the case is not kUnread
  };
  using OnEnd = std::function<void(End, const Response&)>;

  // `on_idle_end` is called when the sidecar closes the connection between two requests.
  HttpClientConnection(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& sidecar,
                       std::function<void()> on_idle_end);

  // Sends a request. No other request may be in flight. Calls `on_end` once, unless Close() is called first.
  void Send(std::string message, OnEnd on_end);

  // Closes the connection. Neither `on_end` nor `on_idle_end` is called afterwards.
  void Close();

  // True if the connection is open with no data to read, so that another request can be sent on it.
  bool IsUsable();

 private:
  void Write();
  void Read();
  void HandleConnectionError(bool is_written);
  void Finish(End end);
  // Closes this side when the sidecar closes an idle connection; the sidecar waits for that close.
  void WatchWhileIdle();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::ip::tcp::endpoint sidecar_;
  std::function<void()> on_idle_end_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  std::string message_;
  OnEnd on_end_;  // empty while no request is in flight
  std::size_t exchanges_ = 0;
  TimePoint written_at_;  // when the whole request had been written
  bool is_connected_ = false;
  bool is_closed_ = false;
  bool is_watching_ = false;  // a wait of WatchWhileIdle() is pending; it may outlast the next request
};

}  // namespace lb::lab
