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

// How often deadlines are looked at: they may be late by so much.
constexpr auto kSweepInterval = milliseconds(250);
// While clients are asked to leave: a planned stop should not wait for the sweep.
constexpr auto kLeavingSweepInterval = milliseconds(10);
// Clients go on opening connections for a moment after a planned stop began, until they know of it.
constexpr Duration kAcceptWhileStopping = milliseconds(800);
// Added to that where accepting fails just then; not longer, as the process may be killed soon after.
constexpr Duration kEmptyBacklogWithin = milliseconds(500);
// A connection opened within this time is about to carry a request.
constexpr Duration kNewConnection = milliseconds(300);

bool AwaitsFirstRequest(const ClientConnection& connection, TimePoint now) {
  return !connection.HasAnyRequestBegun() && now - connection.since() < kNewConnection;
}

}  // namespace

Listener::Listener(boost::asio::io_context& io, const Endpoint& endpoint, bool shared,
                   std::optional<int> listening, std::size_t body_capacity, Descriptors& descriptors,
                   Logger& log, OnRequest on_request, std::function<bool()> is_ready)
    : descriptors_(descriptors),
      log_(log),
      acceptor_(io),
      // Capacity for the next connection is made only once it is there: else the one closed for it would be
      // the newest, which has said nothing yet.
      accept_loop_(io, acceptor_, log, "clients", endpoint.protocol(),
                   {[this] { return EnsureCapacity(); },
                    [this] { return descriptors_.HasCapacity(Descriptors::Side::kClient); },
                    [this](tcp::socket socket) { AddConnection(std::move(socket)); }, [this] { Evict(); }}),
      sweep_(io),
      context_{
          io,
          descriptors,
          body_capacity,
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
  // A start after a kill must not wait until the former process's connections have left TIME_WAIT.
  acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
  // Where it is refused the address is this process's alone, and the next one has to wait for it.
  const int yes = 1;
  if (shared) ::setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_REUSEPORT, &yes, sizeof yes);
  acceptor_.bind(endpoint);
  acceptor_.listen(boost::asio::socket_base::max_listen_connections);
}

void Listener::Start() {
  if (started_) return;
  started_ = true;
  accept_loop_.Start();
}

bool Listener::EnsureCapacity() {
  while (!descriptors_.HasCapacity(Descriptors::Side::kClient)) {
    if (!Evict()) return false;
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
  BeginLeaving();
}

void Listener::ShutDown(bool handed_over, TimePoint stop_by, std::function<void()> done) {
  if (context_.drain.stopping) return;
  on_stopped_ = std::move(done);
  context_.drain.stopping = true;
  context_.drain.stop_by = stop_by;
  context_.drain.handed_over = handed_over;
  error_code ignored;
  if (handed_over) acceptor_.close(ignored);  // the other process's handle keeps the backlog
  stop_began_ = Now();
  BeginLeaving();
}

void Listener::BeginLeaving() {
  context_.drain.since = Now();
  sweep_.cancel();
  Sweep();
  ScheduleSweep();
}

void Listener::ScheduleSweep() {
  sweep_.expires_after(context_.drain.IsLeaving() ? kLeavingSweepInterval : kSweepInterval);
  // May come first: a change of draining or a planned stop, which cancel this and sweep at once.
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
    const bool may_stay = AwaitsFirstRequest(*connection, now) && now < drain.stop_by;
    if (drain.IsLeaving() && !may_stay && IsSafeToClose(*connection)) connection->EndIdle();
    connection->HandleDeadline(now);
  }
  const bool accepts = now - stop_began_ <= kAcceptWhileStopping && now < drain.stop_by;
  if (drain.stopping && acceptor_.is_open() && !accepts) CloseAcceptorOnceEmpty();
}

// What waits in the backlog counts as accepted: it is served before the socket closes. Errors put that off
// for a while, from sweep to sweep.
void Listener::CloseAcceptorOnceEmpty() {
  const bool emptied = accept_loop_.TakeWaiting();
  if (!emptied && Now() - stop_began_ < kAcceptWhileStopping + kEmptyBacklogWithin) return;
  if (!emptied) log_.Write(LogEvent(log_events::kAcceptBacklogAbandoned));
  error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace lb::sidecar
