// Pools of idle upstream connections. Opens new connections within the limit on file descriptors.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "sidecar/clock.h"
#include "sidecar/upstream_connection.h"
#include "sidecar/upstream_location.h"

namespace lb::sidecar {

// The idle connections of all pools, longest idle first.
using IdleOrder = std::list<UpstreamConnection*>;

// The pool of one process of an upstream at one address. When the upstream changes its address or restarts,
// it gets a new pool, so that connections to the old process are not reused.
struct UpstreamPool {
  struct Entry {
    std::shared_ptr<UpstreamConnection> connection;
    IdleOrder::iterator position;  // in the list of the idle connections of all pools
  };

  std::string upstream;
  Location location;
  std::vector<Entry> idle;  // most recently used last; changed by ConnectionPool only
};

// Holds a connection from Insert() until it is taken, removed or closed. An upstream closes a connection
// after a fixed idle timeout, and a request that is written while the upstream closes is reset. So the pool
// retires a connection somewhat before that timeout.
class ConnectionPool {
 public:
  // `upstream_idle_timeout`: the time after which an upstream closes an idle connection. `context` and the
  // event loop must outlive the pool.
  ConnectionPool(const UpstreamConnection::Context& context, Duration upstream_idle_timeout);

  // Removes and returns the most recently used connection that is usable now and has been idle for less than
  // `max_idle`, or null. Closes the stale connections that it finds on the way.
  std::shared_ptr<UpstreamConnection> TakeUsable(UpstreamPool& pool, Duration max_idle);
  // Removes and returns a connection that becomes usable within kReuseDelay, or null. A fallback for when no
  // new connection can or should be opened.
  std::shared_ptr<UpstreamConnection> TakeSoonUsable(UpstreamPool& pool);
  // Whether a new connection would replace one that was in use just now, as the descriptors are used up, and
  // too many were replaced like this lately: each holds a local port for a minute after its close.
  bool IsReplacingTooOften() const;

  struct Opened {
    std::shared_ptr<UpstreamConnection> connection;  // null if none could be opened
    // The error of the system call; no error if the limit on file descriptors is reached.
    boost::system::error_code error{};
  };
  // Opens a connection. If file descriptors are short, closes idle connections of any pool to free one. Fails
  // only for reasons local to this machine, so a failure proves that nothing was sent.
  Opened Open(const std::shared_ptr<UpstreamPool>& pool);

  // Adds a connection, ordered by the start of its idle time.
  void Insert(UpstreamPool& pool, const std::shared_ptr<UpstreamConnection>& connection);
  // Removes a connection without closing it. Does nothing if the connection is not in the pool.
  void Remove(const UpstreamConnection& connection);
  // Closes all idle connections of the pool.
  void CloseIdle(UpstreamPool& pool);
  // Closes idle connections, longest idle first, until the sidecar is within its limit on file descriptors or
  // none is left.
  void EnforceCapacity();

 private:
  // Removes the entry from its pool and from `longest_idle_first_`, and returns its connection.
  std::shared_ptr<UpstreamConnection> Take(UpstreamPool& pool, std::size_t index);
  Opened TryOpen(const std::shared_ptr<UpstreamPool>& pool);
  // Closes the connection that has been idle longest. Returns false if there is none.
  bool EvictLongestIdle();
  // Does the same in order to open another, and counts it if that connection was in use just now.
  bool ReplaceLongestIdle();
  void ScheduleSweep();
  void Sweep();

  const UpstreamConnection::Context& context_;
  const Duration max_idle_;
  IdleOrder longest_idle_first_;
  TimePoint replacements_since_;  // the start of the time in which they are counted
  int replacements_ = 0;
  TimePoint no_eviction_before_;  // set after an eviction that did not end a shortage of descriptors
  boost::asio::steady_timer sweep_;
};

}  // namespace lb::sidecar
