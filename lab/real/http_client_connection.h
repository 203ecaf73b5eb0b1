// One HTTP/1.1 connection of an application to its sidecar.
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

// All on the thread of one io_context. Connects with its first request, and is kept after a response that
// allows it.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection> {
 public:
  using Response = boost::beast::http::response<boost::beast::http::string_body>;

  // How an exchange ended.
  enum class End {
    kAnswered,      // the response is complete
    kNotConnected,  // the connect failed
    kBroken,        // the connection ended in the middle of the response, or the request was not written
    kUnread,   // the connection had been used before, and ended as the request was written: the sidecar need
               // not have read it
    kDropped,  // the request was written whole, did not cross the end, and no byte of a response came
  };
  using OnEnd = std::function<void(End, const Response&)>;

  // `on_idle_end` is called when the sidecar closes the connection between two requests.
  HttpClientConnection(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& sidecar,
                       std::function<void()> on_idle_end);

  // Sends a request; not while another one is in flight. Calls `on_end` once, unless Close() comes before.
  void Send(std::string message, OnEnd on_end);

  // Calls neither `on_end` nor `on_idle_end` from then on.
  void Close();

  // True if another request can be sent.
  bool IsUsable();

 private:
  void Write();
  void Read();
  void HandleBreak(bool is_written);
  void Finish(End end);
  // The sidecar may close it between requests, and waits for this side's close, too.
  void WatchWhileIdle();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::ip::tcp::endpoint sidecar_;
  std::function<void()> on_idle_end_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  std::string message_;
  OnEnd on_end_;  // empty while no request is in flight
  std::size_t exchanges_ = 0;
  TimePoint written_at_;  // the whole request
  bool is_connected_ = false;
  bool is_closed_ = false;
  bool is_watching_ = false;  // a wait of WatchWhileIdle() is out; it may outlast the next request
};

}  // namespace lb::lab
