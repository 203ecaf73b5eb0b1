// Connections to upstreams: pools, attempts and probes, and what became of each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "balancer/balancer.h"
#include "sidecar/clock.h"
#include "sidecar/descriptors.h"
#include "sidecar/exchange.h"
#include "sidecar/upstream_location.h"

namespace lb::sidecar {

// An upstream may answer a second time, some milliseconds behind the first: so long nothing else is sent on
// that connection, or the next request would be answered with those bytes.
constexpr Duration kSecondAnswer = std::chrono::milliseconds(20);

class Upstreams {
 public:
  using ExchangeId = sidecar::ExchangeId;
  using ExchangeRequest = sidecar::ExchangeRequest;
  using OnFinished = ExchangeRequest::OnFinished;

  // `pipe`: how much of a body that passes through is held.
  Upstreams(boost::asio::io_context& io, const lb::Limits& limits, bool load_by_probe, std::size_t pipe,
            Descriptors& descriptors);
  ~Upstreams();

  // What discovery tells of one upstream. Where it drains, is gone, moved or started anew, its idle
  // connections are closed and what has not begun to be written to it ends as not sent.
  void Update(const std::string& uid, const Location& location);
  // What discovery tells of all: those that `locations` does not name are gone.
  void ReplaceAll(const std::map<std::string, Location>& locations);
  bool empty() const { return pools_.empty(); }
  bool Contains(const std::string& uid) const { return pools_.contains(uid); }
  // Taken out by the operators: as one that drains, whatever discovery tells of it.
  void SetDisabled(const std::string& uid, bool out);

  // `on_end` is called exactly once, also where nothing could be sent, and `on_start` before it where the
  // answer passes through. The request is sent with its X-Timeout-Ms set to the time-out, on a connection
  // that has been idle for `max_idle` at most, or a new one.
  void StartExchange(ExchangeId id, const std::string& uid, ExchangeRequest call);
  void SendLoadProbe(ExchangeId id, const std::string& uid, Duration max_connection_idle,
                     OnFinished on_finished);
  // Stops waiting: the connection is closed.
  void Cancel(ExchangeId id);
  // Its request has had its answer: what is not written by now is not written any more. A connection that
  // still comes up is kept for the next one.
  void AbandonUnsent(ExchangeId id);
  void CloseIdleConnections(const std::string& uid);
  // Closes idle connections for which there is no room any more.
  void EnforceCapacity();

 private:
  class Connection;
  struct Pool {
    std::string uid;
    Location location;
    std::vector<std::shared_ptr<Connection>> idle;  // the most recently used one last
  };
  using Pools = std::map<std::string, std::shared_ptr<Pool>>;

  std::shared_ptr<Connection> TakeIdle(Pool& pool, Duration max_connection_idle);
  std::shared_ptr<Connection> TakeSoonUsable(Pool& pool);
  struct Opened {
    std::shared_ptr<Connection> connection;  // null where none could be opened
    boost::system::error_code error{};       // what the system said to that; none where the limit is reached
  };
  Opened Open(const std::shared_ptr<Pool>& pool);
  Opened TryOpen(const std::shared_ptr<Pool>& pool);
  // Closes the connection that has been idle longest; false where there is none.
  bool EvictIdle();
  bool MayOpen(const Pool& pool) const;
  // The one that follows it.
  Pools::iterator Apply(Pools::iterator at, const Location& location);
  // Ends what nobody may use any more: idle connections, and what has not begun to be written.
  void Empty(const std::shared_ptr<Pool>& pool);
  void AbortUnsent(const std::shared_ptr<Pool>& pool);
  void Release(const std::shared_ptr<Connection>& connection);
  void Forget(const Connection& connection);
  void ScheduleSweep();
  void Sweep();

  boost::asio::io_context& io_;
  const Duration connect_timeout_;
  const Duration trusted_idle_;
  const std::string probe_target_;
  const std::size_t pipe_;
  Descriptors& descriptors_;
  Pools pools_;
  std::list<Connection*> idle_;  // of all pools, the one that has been idle longest first
  std::set<std::string> out_;
  std::map<ExchangeId, std::shared_ptr<Connection>> exchanges_;
  TimePoint evicts_again_;  // closing an idle connection did not help: none is closed for that before then
  boost::asio::steady_timer sweep_;
};

}  // namespace lb::sidecar
