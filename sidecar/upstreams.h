// The upstreams of the current endpoint list, with their connection pools and the exchanges in progress.
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
#include "sidecar/memory_budget.h"
#include "sidecar/upstream_connection.h"
#include "sidecar/upstream_location.h"

namespace lb::sidecar {

// Starts exchanges on pooled or new connections. When an upstream drains, changes its address, restarts, is
// removed from the endpoint list or is disabled, ends its exchanges that have not been sent yet. The choice
// of the upstream and the reaction to an outcome belong to the balancer. Used on the event loop's thread
// only.
class Upstreams : private UpstreamConnection::Owner {
 public:
  using ExchangeId = sidecar::ExchangeId;
  using ExchangeRequest = sidecar::ExchangeRequest;
  using OnFinished = ExchangeRequest::OnFinished;

  // `load_probes_report_load`: load probes request the upstream's load report; otherwise they only check that
  // it responds. `bodies`: of the responses. `io` and `descriptors` must outlive this object.
  Upstreams(boost::asio::io_context& io, const lb::Limits& limits, bool load_probes_report_load,
            BodyBuffering bodies, Descriptors& descriptors);
  // Closes all connections. The callbacks of unfinished exchanges are never called.
  ~Upstreams() override;
  Upstreams(const Upstreams&) = delete;
  Upstreams& operator=(const Upstreams&) = delete;

  // Applies discovery's latest state of one upstream. If the upstream drains, is gone, or has a new address
  // or process, closes its idle connections and finishes the exchanges of which nothing has been written as
  // kNotSent, from within this call.
  void Update(const std::string& upstream, const Location& location);
  // Applies a complete endpoint list: upstreams that are not in `locations` are gone.
  void ReplaceAll(const std::map<std::string, Location>& locations);
  bool empty() const { return pools_.empty(); }
  bool Contains(const std::string& upstream) const { return pools_.contains(upstream); }
  // A disabled upstream is treated as draining, whatever state discovery reports. The setting also applies to
  // an upstream that discovery lists only later.
  void SetDisabled(const std::string& upstream, bool disabled);

  // Calls `request.on_finished` exactly once. If there is no connection to send on, the call comes from
  // within this function, with kNotSent or kLocalFailure; otherwise from the event loop or from within
  // Cancel(), AbandonUnsent(), FailIncomplete(), Update(), ReplaceAll() or SetDisabled().
  void StartExchange(ExchangeId id, const std::string& upstream, ExchangeRequest request);
  // Starts an exchange whose result contains the load that the upstream reports. Its timeout is the connect
  // timeout.
  void SendLoadProbe(ExchangeId id, const std::string& upstream, Duration max_connection_idle,
                     OnFinished on_finished);
  // Ends the exchange as kCancelled and closes its connection. Does nothing if the exchange has finished.
  void Cancel(ExchangeId id);
  // Called when the client's request has its response. If nothing of the exchange has been written yet,
  // nothing will be, and its connection is pooled once it is established. An exchange with a pending write is
  // cancelled. Any other exchange continues, because its outcome is a sample of the upstream's health.
  void AbandonUnsent(ExchangeId id);
  // Ends the exchange and closes its connection if the last byte of its request has not been written: as
  // kConnectFailed, which proves that nothing ran. Does nothing to any other exchange.
  void FailIncomplete(ExchangeId id);
  void CloseIdleConnections(const std::string& upstream);
  // Ends the streamed response that has been silent longest, if that is StreamDeadline::kEvictableStall or
  // more, to free the descriptors of both its connections. That of its client's is free soon after. Returns
  // false if there is none.
  bool EvictSilentResponse();
  // Call when the process begins to stop, and ends its last response at `last_response_by`.
  void LimitResponses(TimePoint last_response_by);
  // Closes idle connections until the sidecar is within its limit on file descriptors.
  void EnforceCapacity() { connection_pool_.EnforceCapacity(); }

 private:
  using Pools = std::map<std::string, std::shared_ptr<UpstreamPool>>;

  void OnExchangeFinished(ExchangeId id) override;
  void OnReusable(const std::shared_ptr<UpstreamConnection>& connection) override;
  void OnIdleConnectionLost(UpstreamConnection& connection) override;

  // Sets the location of the pool at `at`, and erases the pool if the upstream is gone. Returns the iterator
  // after `at`.
  Pools::iterator Apply(Pools::iterator at, const Location& location);
  // Closes the idle connections of the pool and ends its exchanges of which nothing has been written.
  void RetirePool(const std::shared_ptr<UpstreamPool>& pool);
  void FailUnsent(const std::shared_ptr<UpstreamPool>& pool);
  bool AcceptsExchanges(const UpstreamPool& pool) const;
  // Returns null if the exchange has finished.
  std::shared_ptr<UpstreamConnection> FindExchange(ExchangeId id) const;

  const UpstreamConnection::Context context_;
  const std::string probe_target_;
  ConnectionPool connection_pool_;
  Pools pools_;                                                          // by upstream id
  std::set<std::string> disabled_;                                       // upstream ids
  std::map<ExchangeId, std::shared_ptr<UpstreamConnection>> exchanges_;  // unfinished ones
};

}  // namespace lb::sidecar
