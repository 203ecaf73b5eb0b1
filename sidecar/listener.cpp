#include "sidecar/listener.h"

#include <sys/socket.h>

#include <boost/asio/socket_base.hpp>
#include <chrono>
#include <memory>
#include <utility>
#include <vector>

#include "sidecar/log_events.h"

namespace lb::sidecar {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// How often the deadlines of connections are checked: a deadline is enforced late by up to this.
constexpr auto kSweepInterval = milliseconds(250);
// While draining or stopping: a planned stop should not have to wait for the usual interval.
constexpr auto kDrainSweepInterval = milliseconds(10);
// Clients keep opening connections for a moment after a planned stop began, until they learn of it.
constexpr Duration kAcceptWhileStopping = milliseconds(800);
// Extends kAcceptWhileStopping if accept() is failing at its end. Short, as the process may be killed soon
// after.
constexpr Duration kBacklogRetryTime = milliseconds(500);
// A connection younger than this is expected to send its first request shortly.
constexpr Duration kNewConnectionAge = milliseconds(300);

bool AwaitsFirstRequest(const ClientConnection& connection, TimePoint now) {
  return !connection.HasAnyRequestBegun() && now - connection.state_since() < kNewConnectionAge;
}

}  // namespace

Listener::Listener(boost::asio::io_context& io, const Endpoint& endpoint, bool shared,
                   std::optional<int> listening, BodyBuffering bodies, Descriptors& descriptors, Logger& log,
                   OnRequest on_request, std::function<bool()> is_ready, std::function<void()> evict_response)
    : descriptors_(descriptors),
      log_(log),
      evict_response_(std::move(evict_response)),
      acceptor_(io),
      // Room for a connection is made only once it is in the backlog. If room were made in advance, the
      // connection evicted for it could be the newest one, whose first request has not been read yet.
      accept_loop_(io, acceptor_, log, "clients", endpoint.protocol(),
                   {[this] { return EnsureCapacity(); },
                    [this] { return descriptors_.HasCapacity(Descriptors::Side::kClient); },
                    [this](tcp::socket socket) { AddConnection(std::move(socket)); }, [this] { Evict(); }}),
      sweep_(io),
      context_{
          io,
          descriptors,
          std::move(bodies),
          std::move(on_request),
          std::move(is_ready),
          [this](const std::shared_ptr<ClientConnection>& connection) { connections_.erase(connection); },
          {}} {
  if (listening) {
    acceptor_.assign(endpoint.protocol(), *listening);
  } else {
    Bind(endpoint, shared);
  }
  acceptor_.non_blocking(true);
  ScheduleSweep();
}

Listener::~Listener() {
  const ClientConnections dropped = std::move(connections_);
  connections_.clear();
  for (const auto& connection : dropped) connection->Drop();
}

void Listener::Bind(const Endpoint& endpoint, bool shared) {
  acceptor_.open(endpoint.protocol());
  // Lets a process that replaces a killed one bind at once, while the killed one's connections are in
  // TIME_WAIT.
  acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
  // If the system refuses SO_REUSEPORT, only this process can bind the address, and its successor has to wait
  // until the address is free.
  const int enabled = 1;
  if (shared) ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof enabled);
  acceptor_.bind(endpoint);
  acceptor_.listen(boost::asio::socket_base::max_listen_connections);
}

void Listener::Start() {
  if (started_) return;
  started_ = true;
  accept_loop_.Start();
}

// The connection of a response that was ended closes later, so that the next call finds its descriptor free.
bool Listener::EnsureCapacity() {
  while (!descriptors_.HasCapacity(Descriptors::Side::kClient)) {
    if (Evict()) continue;
    evict_response_();
    return descriptors_.HasCapacity(Descriptors::Side::kClient);
  }
  return true;
}

void Listener::AddConnection(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const auto connection = std::make_shared<ClientConnection>(context_, std::move(socket));
  connections_.insert(connection);
  connection->Start();
}

bool Listener::Evict() { return EvictConnection(connections_, Now()); }

void Listener::SetConnectionDraining(bool draining) {
  if (context_.drain.draining == draining) return;
  context_.drain.draining = draining;
  BeginDrain();
}

void Listener::ShutDown(bool handed_over, TimePoint stop_by, std::function<void()> done) {
  if (context_.drain.stopping) return;
  on_stopped_ = std::move(done);
  context_.drain.stopping = true;
  context_.drain.stop_by = stop_by;
  context_.drain.handed_over = handed_over;
  error_code ignored;
  if (handed_over) acceptor_.close(ignored);  // the other process's descriptor keeps the backlog
  stopping_since_ = Now();
  BeginDrain();
}

void Listener::BeginDrain() {
  context_.drain.changed_at = Now();
  sweep_.cancel();
  Sweep();
  ScheduleSweep();
}

void Listener::ScheduleSweep() {
  sweep_.expires_after(context_.drain.IsDrainingOrStopping() ? kDrainSweepInterval : kSweepInterval);
  // Before the timer expires, SetConnectionDraining() or ShutDown() may cancel it; both sweep at once.
  sweep_.async_wait([this](error_code error) {
    if (error) return;
    Sweep();
    if (context_.drain.stopping && !acceptor_.is_open() && connections_.empty()) return on_stopped_();
    ScheduleSweep();
  });
}

void Listener::Sweep() {
  const TimePoint now = Now();
  const DrainState& drain = context_.drain;
  const std::vector<std::shared_ptr<ClientConnection>> all(connections_.begin(), connections_.end());
  for (const auto& connection : all) {
    const bool awaits_first_request = AwaitsFirstRequest(*connection, now) && now < drain.stop_by;
    if (drain.IsDrainingOrStopping() && !awaits_first_request && IsSafeToClose(*connection))
      connection->DrainIdle();
    connection->HandleDeadline(now);
  }
  const bool still_accepting = now - stopping_since_ <= kAcceptWhileStopping && now < drain.stop_by;
  if (drain.stopping && acceptor_.is_open() && !still_accepting) CloseAcceptorOnceEmpty();
}

// Connections in the backlog count as accepted, so they are accepted before the socket is closed. If accept()
// fails, the close is put off to the next sweep, for kBacklogRetryTime at most.
void Listener::CloseAcceptorOnceEmpty() {
  const bool is_empty = accept_loop_.AcceptBacklog();
  if (!is_empty && Now() - stopping_since_ < kAcceptWhileStopping + kBacklogRetryTime) return;
  if (!is_empty) log_.Write(LogEvent(log_events::kAcceptBacklogAbandoned));
  error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace lb::sidecar
