// The upstreams that discovery knows, and the exchanges with them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "balancer/balancer.h"
#include "sidecar/clock.h"
#include "sidecar/connection_pool.h"
#include "sidecar/descriptors.h"
#include "sidecar/exchange.h"
#include "sidecar/upstream_connection.h"
#include "sidecar/upstream_location.h"

namespace lb::sidecar {

// Starts an exchange on a pooled connection or on a new one, and ends those
// that may not be sent any more when an upstream drains, moves, restarts, goes
// or is disabled. What is sent where, and what follows from an outcome, is
// decided elsewhere. Used on the event loop's thread only.
class Upstreams : private UpstreamConnection::Owner {
 public:
  using ExchangeId = sidecar::ExchangeId;
  using ExchangeRequest = sidecar::ExchangeRequest;
  using OnFinished = ExchangeRequest::OnFinished;

  // `load_by_probe`: load probes ask for the load itself rather than for any
  // response. `stream_capacity`: bytes held of each streamed response. `io` and
  // `descriptors` have to outlive this.
  Upstreams(boost::asio::io_context& io, const lb::Limits& limits, bool load_by_probe,
            std::size_t stream_capacity, Descriptors& descriptors);
  // Closes all connections; exchanges that have not finished never do.
  ~Upstreams() override;
  Upstreams(const Upstreams&) = delete;
  Upstreams& operator=(const Upstreams&) = delete;

  // What discovery says of one upstream. Where it drains, is gone, moved or
  // restarted, its idle connections are closed, and exchanges of which nothing
  // has been written finish as kNotSent, from within the call.
  void Update(const std::string& upstream, const Location& location);
  // What discovery says of all of them: those not in `locations` are gone.
  void ReplaceAll(const std::map<std::string, Location>& locations);
  bool empty() const { return pools_.empty(); }
  bool Contains(const std::string& upstream) const { return pools_.contains(upstream); }
  // An upstream disabled by the operators is treated as one that drains,
  // whatever discovery says of it, also where discovery does not know it yet.
  void SetDisabled(const std::string& upstream, bool disabled);

  // `request.on_finished` is called exactly once: from within the call, as
  // kNotSent or kLocalFailure, where there is no connection to send on, else
  // from the event loop or from within Cancel(), AbandonUnsent(), Update(),
  // ReplaceAll() or SetDisabled().
  void StartExchange(ExchangeId id, const std::string& upstream, ExchangeRequest request);
  // An exchange whose result has the load that the upstream reports. Its
  // timeout is that for connecting.
  void SendLoadProbe(ExchangeId id, const std::string& upstream, Duration max_connection_idle,
                     OnFinished on_finished);
  // Ends the exchange as kCancelled and closes its connection. Does nothing
  // once it has finished.
  void Cancel(ExchangeId id);
  // The request has had its response: from now on nothing of this exchange is
  // written. A connection that still comes up for it is pooled. An exchange
  // that has been written whole goes on, for what its outcome says of the
  // upstream.
  void AbandonUnsent(ExchangeId id);
  void CloseIdleConnections(const std::string& upstream);
  // Closes idle connections beyond the limit on descriptors.
  void EnforceCapacity() { connection_pool_.EnforceCapacity(); }

 private:
  using Pools = std::map<std::string, std::shared_ptr<UpstreamPool>>;

  void OnExchangeFinished(ExchangeId id) override;
  void OnReusable(const std::shared_ptr<UpstreamConnection>& connection) override;
  void OnIdleConnectionLost(UpstreamConnection& connection) override;

  // Returns the place after `at`, which is erased where the upstream is gone.
  Pools::iterator Apply(Pools::iterator at, const Location& location);
  // Closes the idle connections and ends what has not begun to be written.
  void RetirePool(const std::shared_ptr<UpstreamPool>& pool);
  void FailUnsent(const std::shared_ptr<UpstreamPool>& pool);
  bool AcceptsExchanges(const UpstreamPool& pool) const;
  // Null where the exchange has finished.
  std::shared_ptr<UpstreamConnection> FindExchange(ExchangeId id) const;

  const UpstreamConnection::Context context_;
  const std::string probe_target_;
  ConnectionPool connection_pool_;
  Pools pools_;                                                          // by upstream
  std::set<std::string> disabled_;                                       // upstreams
  std::map<ExchangeId, std::shared_ptr<UpstreamConnection>> exchanges_;  // that have not finished
};

}  // namespace lb::sidecar
