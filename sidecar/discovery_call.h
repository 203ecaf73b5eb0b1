// A connection to the discovery service, and the HTTP calls made on it, one at a time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "settings/config.h"
#include "sidecar/clock.h"
#include "sidecar/http.h"

namespace lb::sidecar {

struct DiscoveryFailure {
  enum class Kind {
    kBroken,   // connection failure, timeout, or an invalid endpoint list
    kRefused,  // a status other than 200: the service is reachable but rejects the call
  };
  Kind kind = Kind::kBroken;
  std::string text;  // description for the log
};

class DiscoveryCall : public std::enable_shared_from_this<DiscoveryCall> {
 public:
  // Receives the result of a call: exactly one of the two functions is called for each Start(), unless Drop()
  // is called first.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void HandleResponse(DiscoveryCall& call, const std::string& body) = 0;
    virtual void HandleFailure(DiscoveryCall& call, const DiscoveryFailure& failure) = 0;
  };

  // `observer` must outlive the call or call Drop().
  DiscoveryCall(boost::asio::io_context& io, const Endpoint& endpoint, Observer& observer)
      : endpoint_(endpoint), observer_(&observer), stream_(io) {}

  // Sends a GET request for `target`. The call fails if the complete response is not received within
  // `timeout`. A second Start() on the same object is allowed only after the previous call has completed, and
  // only if IsReusable().
  void Start(const std::string& target, Duration timeout);
  bool IsReusable() const { return connected_; }

  // How much of the response has been received, without a unit: the value grows whenever more data arrives.
  std::size_t Progress();

  // Closes the connection. The observer is not called again.
  void Drop();

 private:
  void Write();
  void ReadHeader();
  void ReadBody();
  void Fail(boost::system::error_code error);

  const Endpoint endpoint_;
  Observer* observer_;  // null after Drop()
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  bool connected_ = false;
};

}  // namespace lb::sidecar
