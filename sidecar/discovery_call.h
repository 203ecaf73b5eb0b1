// One connection to discovery and the HTTP call on it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
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
    kBroken,   // no connection, no whole response in time, or a list that can't be taken
    kRefused,  // another status than 200: the service is there and has no time for the call
  };
  Kind kind = Kind::kBroken;
  std::string text;  // for people
};

class DiscoveryCall : public std::enable_shared_from_this<DiscoveryCall> {
 public:
  // Told how a call ended: one of the two, once for each Start(), unless the call is dropped before.
  class Observer {
   public:
    virtual ~Observer() = default;
    virtual void HandleResponse(DiscoveryCall& call, const std::string& body) = 0;
    virtual void HandleFailure(DiscoveryCall& call, const DiscoveryFailure& failure) = 0;
  };

  // `observer` has to outlive the call, or to drop it.
  DiscoveryCall(boost::asio::io_context& io, const Endpoint& endpoint, Observer& observer)
      : endpoint_(endpoint), observer_(&observer), stream_(io) {}

  // Asks for `target`; fails where no whole response has come within `timeout`. Only once the call before on
  // this connection is over and IsReusable().
  void Start(const std::string& target, Duration timeout);
  bool IsReusable() const { return connected_; }

  // How much of the response has come, in no unit: the value grows for as long as more comes.
  std::size_t Progress();

  // Closes the connection; the observer is not called any more.
  void Drop();

 private:
  void Write();
  void ReadHeader();
  void ReadBody();
  void Fail(boost::system::error_code error);

  const Endpoint endpoint_;
  Observer* observer_;  // null once the call is dropped
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  bool connected_ = false;
};

}  // namespace lb::sidecar
