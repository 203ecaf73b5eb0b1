// All hollow sidecars of a run on the real clock, with the upstream models that they call and their clients.
// They share the thread of one io_context; their control clients run on other threads.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "lab/measure/metrics.h"
#include "lab/measure/propagation_log.h"
#include "lab/model/client_model.h"
#include "lab/model/membership.h"
#include "lab/model/network_model.h"
#include "lab/model/scheduler.h"
#include "lab/model/upstream_model.h"
#include "lab/real/control_client.h"
#include "lab/real/discovery_server.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"
#include "lab/virtual/hollow_sidecar.h"

namespace lb::lab {

// Counts requests by result and collects the latencies of served requests.
struct RequestResults {
  TrafficCounters counters;
  Distribution latency_ms;
  void Add(const RequestResult& result);
};

// Measurements since the last HollowFleet::Take().
struct HollowWindow {
  RequestResults results;   // of requests that ended in the window
  TrafficCounters traffic;  // attempts, connects, probes and client retries; no request results
  Distribution notice_delays_ms;
  double thread_cpu_s = 0;   // of the fleet's thread, which runs modules, models and clients
  double control_cpu_s = 0;  // of the control clients' threads
  double load_spread = 0;    // 95th percentile / mean of the upstreams' served work per capacity
  std::uint64_t overloaded_upstreams = 0;
  std::uint64_t outstanding_requests = 0;
};

// Measurements of the measured time. A request counts if it arrived within it.
struct HollowTotals {
  RequestResults results;
  RequestResults last_third;
  TrafficCounters traffic;
  double load_spread = 0;
};

// The service that the sidecar's endpoint list is restricted to; std::nullopt if it holds all upstreams.
std::optional<std::size_t> ListedService(const Experiment& experiment, const SidecarInstance& sidecar);

// All members must be called on the io_context's thread or while the io_context does not run, except as
// noted.
class HollowFleet {
 public:
  // Creates the upstream models as running. All references must outlive the fleet.
  HollowFleet(boost::asio::io_context& io, Scheduler& scheduler, const Experiment& experiment,
              const Deployment& deployment, DiscoveryServer& discovery);

  // Starts every hollow sidecar and its control client, with the list in `registry`. Starts none if the
  // experiment excludes hollow sidecars.
  void StartSidecars(const MembershipRegistry& registry);
  // Kill or restart one sidecar. No effect for sidecars that are not hollow.
  void KillSidecar(std::size_t sidecar);
  void StartSidecar(std::size_t sidecar, const MembershipRegistry& registry);

  void StartLoad() { clients_.Start(); }
  void StopLoad() { clients_.Stop(); }
  void SetLoadFactor(double factor) { clients_.SetLoadFactor(factor); }
  std::size_t open_requests() const { return clients_.open(); }

  UpstreamModel& model(std::size_t upstream) { return *models_[upstream]; }
  NetworkModel& network() { return network_; }
  PropagationLog& propagation() { return propagation_; }
  const PropagationLog& propagation() const { return propagation_; }
  std::size_t sidecars() const { return hollow_count_; }

  // Whether every hollow sidecar has received its first list.
  bool AllReceivedLists() const;
  // Processor time of the fleet's thread and the control clients' threads, in seconds.
  double CpuSeconds();
  // Throws the exception that ended a control client thread, if any. Callable from any thread.
  void RethrowFailure() { control_.RethrowFailure(); }

  // Starts the measured time [now, end).
  void BeginMeasuring(TimePoint now, TimePoint end);
  // Ends all measurements except for requests that arrived before `end`: these are counted when they end.
  void EndMeasuring();
  HollowWindow Take();
  const HollowTotals& totals() const { return totals_; }

 private:
  struct Member {
    std::unique_ptr<HollowSidecar> sidecar;
    std::uint64_t starts = 0;    // notices for an earlier start are discarded
    std::uint64_t revision = 0;  // of its endpoint list; 0 before the first
  };

  struct ReceivedNotice {
    std::size_t sidecar = 0;
    std::uint64_t start = 0;  // Member::starts when the control client was started
    ControlNotice notice;
  };

  void HandleNotice(ReceivedNotice received);
  void ApplyQueuedNotices();
  void Offer(std::size_t sidecar, const OfferedRequest& request, HollowSidecar::OnAnswer on_answer);
  void CountResult(const RequestResult& result);
  std::vector<double> ServedWork() const;
  double LoadSpread(const std::vector<double>& before) const;

  boost::asio::io_context& io_;
  Scheduler& scheduler_;
  const Experiment& experiment_;
  const Deployment& deployment_;
  const Deployment hollow_load_;  // the deployment, with a request rate of 0 for sidecars that are not hollow
  DiscoveryServer& discovery_;
  const sidecar::UnixClock unix_clock_;
  NetworkModel network_;
  std::vector<std::unique_ptr<UpstreamModel>> models_;
  UpstreamDirectory directory_;
  PropagationLog propagation_;
  std::vector<Member> members_;  // by sidecar index; no sidecar where it is not hollow
  std::size_t hollow_count_ = 0;
  std::deque<ReceivedNotice> queued_notices_;  // received, but not yet applied to the modules
  TrafficCounters traffic_;                    // since the last Take()
  ClientModel clients_;

  RequestResults window_;
  double last_cpu_s_ = 0;
  double last_control_cpu_s_ = 0;
  std::vector<double> last_work_;
  HollowTotals totals_;
  std::vector<double> work_at_start_;
  bool measuring_ = false;
  TimePoint measured_from_ = TimePoint::max();
  TimePoint measured_until_ = TimePoint::max();
  ControlFleet control_;  // last member, so that its threads are stopped first
};

}  // namespace lb::lab
