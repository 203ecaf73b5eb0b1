#include "lab/real/http_upstream_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "lab/real/http_upstream_connection.h"
#include "lab/real/socket_state.h"

namespace lb::lab {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int kBacklog = 4096;
// Pause after a failed accept, for example because of too many open descriptors.
constexpr auto kAcceptPause = std::chrono::milliseconds(100);

}  // namespace

HttpUpstreamCounters& HttpUpstreamCounters::operator+=(const HttpUpstreamCounters& other) {
  connections += other.connections;
  requests += other.requests;
  served += other.served;
  rejected += other.rejected;
  abandoned += other.abandoned;
  invalid += other.invalid;
  probes += other.probes;
  probe_bytes += other.probe_bytes;
  return *this;
}

HttpUpstreamServer::HttpUpstreamServer(boost::asio::io_context& io, Scheduler& run_scheduler,
                                       const UpstreamInstance& instance, const UpstreamSpec& spec,
                                       HttpUpstreamOptions run_options)
    : scheduler(run_scheduler),
      model(instance, spec, run_scheduler),
      options(std::move(run_options)),
      io_(io),
      port_({boost::asio::ip::address_v4::loopback(), 0}),
      acceptor_(io),
      accept_timer_(io) {
  Listen();
}

HttpUpstreamServer::~HttpUpstreamServer() {
  while (!connections_.empty()) {
    const auto connection = *connections_.begin();
    connection->Close();
  }
}

void HttpUpstreamServer::Listen() {
  acceptor_.open(tcp::v4());
  acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint());
  acceptor_.listen(kBacklog);
  Accept();
}

void HttpUpstreamServer::Accept() {
  acceptor_.async_accept(io_, [this](error_code error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;  // `this` may have been destroyed
    OnAccept(error, std::move(socket));
  });
}

void HttpUpstreamServer::OnAccept(error_code error, tcp::socket socket) {
  // The kernel had completed the connection before the machine became silent or the process died.
  if (is_silent_ || !is_running_) {
    if (!error) (is_silent_ ? released_sockets_.push_back(std::move(socket)) : ResetConnection(socket));
    return;
  }
  if (error) return RetryAccept();
  error_code endpoint_error;
  const auto caller = socket.remote_endpoint(endpoint_error);
  if (!endpoint_error && !IsFiller(caller)) {
    ++counters.connections;
    const auto connection = std::make_shared<HttpUpstreamConnection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->Start();
  }
  Accept();
}

void HttpUpstreamServer::RetryAccept() {
  accept_timer_.expires_after(kAcceptPause);
  accept_timer_.async_wait([this](error_code stopped) {
    if (!stopped && acceptor_.is_open() && !is_silent_) Accept();
  });
}

bool HttpUpstreamServer::IsFiller(const tcp::endpoint& caller) const {
  return std::any_of(fillers_.begin(), fillers_.end(), [&](const tcp::socket& filler) {
    error_code ignored;
    return filler.local_endpoint(ignored) == caller;
  });
}

void HttpUpstreamServer::Crash() {
  is_running_ = false;
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->HandleProcessDeath();
    if (is_silent_) {
      released_sockets_.push_back(connection->ReleaseSocket());
    } else {
      connection->Reset();
    }
  }
  error_code ignored;
  accept_timer_.cancel();
  if (!is_silent_) acceptor_.close(ignored);
  model.Crash();
}

void HttpUpstreamServer::Start() {
  is_running_ = true;
  model.Start();
  if (options.on_start) options.on_start(model.instance().index, scheduler.Now());
  if (!acceptor_.is_open()) Listen();
}

void HttpUpstreamServer::SetSilent(bool silent) {
  if (silent == is_silent_) return;
  is_silent_ = silent;
  model.SetSilent(silent);
  error_code ignored;
  if (silent) {
    acceptor_.cancel(ignored);
    accept_timer_.cancel();
    if (acceptor_.is_open()) FillBacklog();
    return;
  }
  ResetReleasedSockets();
  if (!is_running_) {
    acceptor_.close(ignored);
    fillers_.clear();
    return;
  }
  if (acceptor_.is_open()) {
    acceptor_.listen(kBacklog, ignored);
    Accept();
  } else {
    Listen();
  }
}

void HttpUpstreamServer::FillBacklog() {
  error_code ignored;
  fillers_.clear();
  acceptor_.listen(0, ignored);
  tcp::socket& filler = fillers_.emplace_back(io_, tcp::v4());
  filler.native_non_blocking(true, ignored);
  // Calls connect() directly: async_connect() would wait for the connection to be established.
  [[maybe_unused]] const int connect_result =
      ::connect(filler.native_handle(), endpoint().data(), static_cast<socklen_t>(endpoint().size()));
}

void HttpUpstreamServer::ResetReleasedSockets() {
  for (tcp::socket& socket : released_sockets_) ResetConnection(socket);
  released_sockets_.clear();
}

void HttpUpstreamServer::CloseIdleSince(TimePoint time) {
  if (is_silent_) return;
  const auto connections = connections_;
  for (const auto& connection : connections) {
    if (connection->IsIdleSince(time)) connection->Close();
  }
}

}  // namespace lb::lab
