// Idle connections to the upstreams, and the opening of new ones within the limit on descriptors.
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

// All pools' idle connections, the one that has been idle for longest first.
using IdleOrder = std::list<UpstreamConnection*>;

// The pool of one upstream, at one place and of one process: where it moves or restarts it gets a new pool,
// and connections that are in use then find theirs gone.
struct UpstreamPool {
  struct Entry {
    std::shared_ptr<UpstreamConnection> connection;
    IdleOrder::iterator place;
  };

  std::string upstream;
  Location location;
  std::vector<Entry> idle;  // the most recently used one last; changed by ConnectionPool only
};

// A connection is in here from Insert() until it is taken, removed or closed. As idle connections are closed
// by the upstream after a time that it knows, and a request written to one that is being closed ends as a
// reset, they are used and kept for a little less than that time.
class ConnectionPool {
 public:
  // `upstream_idle_timeout`: after which an upstream closes a connection that is idle. `context` and the
  // event loop have to outlive the pool.
  ConnectionPool(const UpstreamConnection::Context& context, Duration upstream_idle_timeout);

  // The most recently used connection that can be used now and has been idle for less than `max_idle`; null
  // where there is none. Closes those that it comes across and that can't be used any more.
  std::shared_ptr<UpstreamConnection> TakeUsable(UpstreamPool& pool, Duration max_idle);
  // One that will be usable within kReuseDelay, for where no other can be opened; null where there is none.
  std::shared_ptr<UpstreamConnection> TakeSoonUsable(UpstreamPool& pool);

  struct Opened {
    std::shared_ptr<UpstreamConnection> connection;  // null where none could be opened
    // What the system said to that; none where the limit on descriptors is reached.
    boost::system::error_code error{};
  };
  // Opens a connection; closes idle ones of any pool if that frees a descriptor for it. Failure is this
  // machine's, not the upstream's, and proves that nothing ran.
  Opened Open(const std::shared_ptr<UpstreamPool>& pool);

  // Takes a connection in, in its place by age.
  void Insert(UpstreamPool& pool, const std::shared_ptr<UpstreamConnection>& connection);
  // Without closing it. Does nothing where it is not in here.
  void Remove(const UpstreamConnection& connection);
  // Closes all idle connections of the pool.
  void CloseIdle(UpstreamPool& pool);
  // Closes idle connections until they keep to the limit on descriptors, or none is left.
  void EnforceCapacity();

 private:
  // Takes the entry out of its pool and of the order.
  std::shared_ptr<UpstreamConnection> Take(UpstreamPool& pool, std::size_t index);
  Opened TryOpen(const std::shared_ptr<UpstreamPool>& pool);
  // Closes the connection that has been idle for longest; false where there is none.
  bool EvictLongestIdle();
  void ScheduleSweep();
  void Sweep();

  const UpstreamConnection::Context& context_;
  const Duration max_idle_;
  IdleOrder longest_idle_first_;
  TimePoint no_eviction_before_;  // for a shortage that an eviction did not help
  boost::asio::steady_timer sweep_;
};

}  // namespace lb::sidecar
