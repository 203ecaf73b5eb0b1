#include "sidecar/admin.h"

#include <algorithm>
#include <boost/asio/socket_base.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <optional>
#include <utility>

namespace lb::sidecar {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// Limits of a request: enough for the request line and a few headers. A body is read and ignored.
constexpr std::uint32_t kMaxAdminHeaderBytes = 4096;
constexpr std::uint64_t kMaxAdminBodyBytes = 4096;
// Time limit for receiving a whole request, and again for sending its response.
constexpr Duration kTransferTimeout = std::chrono::seconds(2);
// How long the connection is read after the response until the client closes it. Closing with unread data
// would send a reset, which could discard the response before the client has read it.
constexpr Duration kLingerTimeout = milliseconds(250);

}  // namespace

class AdminInterface::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(AdminInterface& owner, tcp::socket socket) : owner_(&owner), stream_(std::move(socket)) {
    buffer_.max_size(std::size_t{2} * kMaxAdminHeaderBytes);
    parser_.header_limit(kMaxAdminHeaderBytes);
    parser_.body_limit(kMaxAdminBodyBytes);
  }

  void Start() {
    stream_.expires_after(kTransferTimeout);
    // The header is read separately: Beast 1.74 does not enforce the limit on a body whose first bytes are
    // parsed together with the header (see request_framing.cpp).
    http::async_read_header(stream_, buffer_, parser_,
                            [self = shared_from_this()](error_code error, std::size_t) {
                              if (self->owner_ == nullptr) return;
                              if (error) return self->HandleReadError(error);
                              if (const char* fault = FramingFault(ToRequestHead(self->parser_.get()))) {
                                return self->Respond(PlainResponse(http::status::bad_request, fault));
                              }
                              self->ReadBody();
                            });
  }

  bool responding() const { return response_.has_value(); }

  void Close() {
    if (owner_ == nullptr) return;
    AdminInterface& owner = *owner_;
    owner_ = nullptr;
    stream_.close();
    owner.connections_.remove(shared_from_this());
  }

 private:
  void ReadBody() {
    http::async_read(stream_, buffer_, parser_, [self = shared_from_this()](error_code error, std::size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->HandleReadError(error);
      const auto& request = self->parser_.get();
      self->Respond(self->owner_->on_request_(request.method(), std::string(request.target())));
    });
  }

  // Closes without a response if the client has closed the connection or has not sent a whole request in
  // time; otherwise responds with the error.
  void HandleReadError(error_code error) {
    if (error == http::error::body_limit) {
      return Respond(PlainResponse(http::status::payload_too_large, "call too large"));
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
      return Respond(PlainResponse(http::status::request_header_fields_too_large, "call too large"));
    }
    if (error.category() != make_error_code(http::error::bad_method).category() ||
        error == http::error::end_of_stream || error == http::error::partial_message) {
      return Close();
    }
    Respond(PlainResponse(http::status::bad_request, error.message()));
  }

  void Respond(HttpResponse response) {
    response_ = std::move(response);
    response_->version(11);
    response_->keep_alive(false);
    response_->prepare_payload();
    stream_.expires_after(kTransferTimeout);
    http::async_write(stream_, *response_, [self = shared_from_this()](error_code error, std::size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->Close();
      error_code ignored;
      self->stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
      self->stream_.expires_after(kLingerTimeout);
      self->Linger();
    });
  }

  void Linger() {
    buffer_.clear();
    stream_.async_read_some(buffer_.prepare(1024),
                            [self = shared_from_this()](error_code error, std::size_t) {
                              if (self->owner_ == nullptr) return;
                              if (error) return self->Close();
                              self->Linger();
                            });
  }

  AdminInterface* owner_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  http::request_parser<http::string_body> parser_;
  std::optional<HttpResponse> response_;
};

AdminInterface::AdminInterface(boost::asio::io_context& io, const Endpoint& endpoint, Logger& log,
                               OnRequest on_request)
    : on_request_(std::move(on_request)),
      acceptor_(io),
      accept_loop_(
          io, acceptor_, log, "admin", endpoint.protocol(),
          {[this] { return EnsureCapacity(); }, [this] { return connections_.size() < kMaxConnections; },
           [this](tcp::socket socket) { Admit(std::move(socket)); }, nullptr}) {
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(boost::asio::socket_base::max_listen_connections);
  accept_loop_.Start();
}

AdminInterface::~AdminInterface() {
  while (!connections_.empty()) connections_.front()->Close();
}

bool AdminInterface::EnsureCapacity() {
  if (connections_.size() < kMaxConnections) return true;
  const auto unfinished =
      std::ranges::find_if(connections_, [](const auto& connection) { return !connection->responding(); });
  const auto evicted = unfinished == connections_.end() ? connections_.front() : *unfinished;
  evicted->Close();
  return true;
}

void AdminInterface::Admit(tcp::socket socket) {
  const auto connection = std::make_shared<Connection>(*this, std::move(socket));
  connections_.push_back(connection);
  connection->Start();
}

}  // namespace lb::sidecar
