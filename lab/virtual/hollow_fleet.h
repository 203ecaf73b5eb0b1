// All hollow sidecars of a run on the real clock, with the upstream models they call and their clients, on
// the thread of one io_context; their control clients beside it.
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

// How requests ended, with the latencies of the served ones.
struct RequestResults {
  TrafficCounters counters;
  Distribution latency_ms;
  void Add(const RequestResult& result);
};

// What happened since the last look.
struct HollowWindow {
  RequestResults results;   // of the requests that ended
  TrafficCounters traffic;  // to the upstreams, and clients' retries; no results
  Distribution notice_delays_ms;
  double thread_cpu_s = 0;   // of the fleet's thread: modules, models and clients
  double control_cpu_s = 0;  // of the control clients' threads
  double load_spread = 0;    // 95th percentile over mean of the upstreams' served work by capacity
  std::uint64_t crowded_upstreams = 0;
  std::uint64_t held = 0;
};

// Of the measured time. Requests count by their arrival.
struct HollowTotals {
  RequestResults results;
  RequestResults last_third;
  TrafficCounters traffic;
  double load_spread = 0;
};

// What a sidecar's discovery list is restricted to, if at all.
std::optional<std::size_t> ListedService(const Experiment& experiment, const SidecarInstance& sidecar);

// All members have to be called on the io_context's thread, or while it does not run.
class HollowFleet {
 public:
  // Makes the upstream models, which run from then on. All references have to outlive it.
  HollowFleet(boost::asio::io_context& io, Scheduler& scheduler, const Experiment& experiment,
              const Deployment& deployment, DiscoveryServer& discovery);

  // Starts every hollow sidecar (none where the experiment leaves them out), each with what `registry` lists,
  // and its control client.
  void StartSidecars(const MembershipRegistry& registry);
  // A sidecar dies, and restarts. Nothing happens for a real one.
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

  // Whether every sidecar has had its first list.
  bool AllHoldLists() const;
  // Processor time of the fleet's thread and of the control clients'.
  double CpuSeconds();
  void RethrowFailure() { control_.RethrowFailure(); }  // of the control clients; from any thread

  // The measured time, from now on.
  void BeginMeasuring(TimePoint now, TimePoint end);
  // What is measured by time alone ends here; requests that arrived before count until they have ended.
  void EndMeasuring();
  HollowWindow Take();
  const HollowTotals& totals() const { return totals_; }

 private:
  struct Member {
    std::unique_ptr<HollowSidecar> sidecar;
    std::uint64_t starts = 0;    // notices for an earlier one are void
    std::uint64_t revision = 0;  // of the list that it holds
  };

  struct HeardNotice {
    std::size_t sidecar = 0;
    std::uint64_t start = 0;  // of the sidecar that it was meant for
    ControlNotice notice;
  };

  void Hear(HeardNotice heard);
  void ApplyHeard();
  void Offer(std::size_t sidecar, const OfferedRequest& request, HollowSidecar::OnAnswer on_answer);
  void CountResult(const RequestResult& result);
  std::vector<double> ServedWork() const;
  double LoadSpread(const std::vector<double>& before) const;

  boost::asio::io_context& io_;
  Scheduler& scheduler_;
  const Experiment& experiment_;
  const Deployment& deployment_;
  const Deployment offered_;  // the same with no requests for those that are not played here
  DiscoveryServer& discovery_;
  const sidecar::UnixClock unix_clock_;
  NetworkModel network_;
  std::vector<std::unique_ptr<UpstreamModel>> models_;
  UpstreamDirectory directory_;
  PropagationLog propagation_;
  std::vector<Member> members_;  // by the sidecar's index; empty for one that is not played here
  std::size_t hollow_count_ = 0;
  std::deque<HeardNotice> heard_;  // and not handed to the modules yet
  TrafficCounters traffic_;        // since the last look
  ClientModel clients_;

  RequestResults window_;
  double cpu_at_look_s_ = 0;
  double control_cpu_at_look_s_ = 0;
  std::vector<double> work_at_look_;
  HollowTotals totals_;
  std::vector<double> work_at_start_;
  bool measuring_ = false;
  TimePoint measured_from_ = TimePoint::max();
  TimePoint measured_until_ = TimePoint::max();
  ControlFleet control_;  // its threads end first
};

}  // namespace lb::lab
