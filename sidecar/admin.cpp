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

// A call is a line and a few headers; what it may carry besides is not looked at.
constexpr std::uint32_t kMostHead = 4096;
constexpr std::uint64_t kMostCallBody = 4096;
// Whoever has not made a whole call by then is let go; so is one that does not take its answer.
constexpr Duration kPatience = std::chrono::seconds(2);
// After the answer the caller's close is waited for: a reset could overtake the answer.
constexpr Duration kLinger = milliseconds(250);

}  // namespace

class Admin::Caller : public std::enable_shared_from_this<Caller> {
 public:
  Caller(Admin& owner, tcp::socket socket) : owner_(&owner), stream_(std::move(socket)) {
    buffer_.max_size(2 * kMostHead);
    parser_.header_limit(kMostHead);
    parser_.body_limit(kMostCallBody);
  }

  void Start() {
    stream_.expires_after(kPatience);
    // The header on its own first, or the bound on the body does not hold (see upstreams.cpp).
    http::async_read_header(stream_, buffer_, parser_,
                            [self = shared_from_this()](error_code error, std::size_t) {
                              if (self->owner_ == nullptr) return;
                              if (error) return self->Unreadable(error);
                              if (const char* fault = FramingFault(self->parser_.get())) {
                                return self->Answer(PlainResponse(http::status::bad_request, fault));
                              }
                              self->ReadBody();
                            });
  }

  bool answering() const { return answer_.has_value(); }

  void Close() {
    if (owner_ == nullptr) return;
    Admin& owner = *std::exchange(owner_, nullptr);
    stream_.close();
    owner.callers_.remove(shared_from_this());
  }

 private:
  void ReadBody() {
    http::async_read(stream_, buffer_, parser_, [self = shared_from_this()](error_code error, std::size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->Unreadable(error);
      const auto& call = self->parser_.get();
      self->Answer(self->owner_->on_call_(call.method(), std::string(call.target())));
    });
  }

  // One that closed or said too little in its time has nobody to answer.
  void Unreadable(error_code error) {
    if (error == http::error::body_limit) {
      return Answer(PlainResponse(http::status::payload_too_large, "call too large"));
    }
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
      return Answer(PlainResponse(http::status::request_header_fields_too_large, "call too large"));
    }
    if (error.category() != make_error_code(http::error::bad_method).category() ||
        error == http::error::end_of_stream || error == http::error::partial_message) {
      return Close();
    }
    Answer(PlainResponse(http::status::bad_request, error.message()));
  }

  void Answer(HttpResponse answer) {
    answer_ = std::move(answer);
    answer_->version(11);
    answer_->keep_alive(false);
    answer_->prepare_payload();
    stream_.expires_after(kPatience);
    http::async_write(stream_, *answer_, [self = shared_from_this()](error_code error, std::size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->Close();
      error_code ignored;
      self->stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
      self->stream_.expires_after(kLinger);
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

  Admin* owner_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  http::request_parser<http::string_body> parser_;
  std::optional<HttpResponse> answer_;
};

Admin::Admin(boost::asio::io_context& io, const Endpoint& endpoint, Logger& log, OnCall on_call)
    : on_call_(std::move(on_call)),
      acceptor_(io),
      accept_loop_(io, acceptor_, log, "admin: accept", endpoint.protocol(),
                   {[this] { return EnsureCapacity(); }, [this] { return callers_.size() < kMostCallers; },
                    [this](tcp::socket socket) { Admit(std::move(socket)); }, nullptr}) {
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(boost::asio::socket_base::max_listen_connections);
  accept_loop_.Start();
}

Admin::~Admin() {
  while (!callers_.empty()) callers_.front()->Close();
}

// Callers that say nothing must keep nobody out: the one that has waited longest without a whole call makes
// room. A call comes with its connection, so a new one is soon answered.
bool Admin::EnsureCapacity() {
  if (callers_.size() < kMostCallers) return true;
  const auto unfinished = std::ranges::find_if(callers_, [](const auto& c) { return !c->answering(); });
  const auto spared = unfinished == callers_.end() ? callers_.front() : *unfinished;
  spared->Close();
  return true;
}

void Admin::Admit(tcp::socket socket) {
  const auto caller = std::make_shared<Caller>(*this, std::move(socket));
  callers_.push_back(caller);
  caller->Start();
}

}  // namespace lb::sidecar
