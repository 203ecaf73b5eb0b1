// A sidecar without sockets: the real decision module (balancer/), whose actions are carried out on models of
// the network and the upstreams in the same way as the real sidecar carries them out on sockets
// (sidecar/sidecar.cpp, sidecar/upstreams.cpp). Called hollow sidecar.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balancer/balancer.h"
#include "lab/measure/metrics.h"
#include "lab/model/network_model.h"
#include "lab/model/scheduler.h"
#include "lab/model/upstream_model.h"
#include "lab/spec/deployment.h"
#include "lab/virtual/hollow_connection_pool.h"
#include "lab/virtual/upstream_directory.h"
#include "sidecar/balancer_host.h"

namespace lb::lab {

// A request that a client sends to its sidecar; each client retry is another one.
struct OfferedRequest {
  lb::ClassId request_class{};
  Duration work{};       // processing time on a core of speed 1
  TimePoint deadline{};  // when the client stops waiting
  bool client_retry = false;
};

enum class AnswerKind {
  kServed,
  kRefused,  // not processed by any upstream: safe to retry
  kFailed,   // may have been processed
  kLost,     // the sidecar was down, or was killed before it answered
};

struct Answer {
  AnswerKind kind = AnswerKind::kServed;
  Duration retry_after{};  // for kRefused; zero if the sidecar gives none
};

class HollowSidecar : private sidecar::ActionHandler, private sidecar::BalancerClock {
 public:
  using OnAnswer = std::function<void(const Answer&)>;
  // Called when the module requests membership changes.
  using OnSubscribe = std::function<void()>;

  // The sidecar is down until Start(). All references must outlive it, and `scheduler` must not run after its
  // destruction. Increments `counters`.
  HollowSidecar(const SidecarInstance& instance, lb::Settings settings, const UpstreamDirectory& upstreams,
                NetworkModel& network, Scheduler& scheduler, TrafficCounters& counters,
                OnSubscribe on_subscribe);
  ~HollowSidecar() override;
  HollowSidecar(const HollowSidecar&) = delete;
  HollowSidecar& operator=(const HollowSidecar&) = delete;

  // Starts a new process with that random seed and the endpoint list restored from the previous process.
  void Start(std::uint64_t seed, std::vector<lb::UpstreamInfo> list);
  // Ends the process without a drain: answers its open requests with kLost and closes its connections.
  void Kill();
  bool running() const { return host_.has_value(); }

  // Calls `on_answer` exactly once, normally by the deadline; with kLost at once if the sidecar is down.
  void Offer(const OfferedRequest& request, OnAnswer on_answer);
  // Applies an update from discovery. Ignored while the sidecar is down.
  void Apply(lb::MembershipUpdate update);

  // Number of requests that were not answered within their deadline plus FleetLimits::answer_grace, and of
  // surplus answers. Both are defects of the module or of this class, so that tests expect 0.
  std::uint64_t answer_faults() const;
  std::size_t requests_open() const { return requests_.size(); }
  std::size_t idle_connections() const { return connections_.size(); }
  // Real time spent in the module so far, over all starts.
  std::chrono::nanoseconds module_time() const { return module_time_; }
  const SidecarInstance& instance() const { return instance_; }

 private:
  using ExchangeId = std::uint64_t;

  // State of one upstream according to the endpoint list.
  struct Listed {
    lb::UpstreamState state = lb::UpstreamState::kGone;
    std::uint32_t generation = 0;  // incremented when connections opened so far must not be reused
    std::optional<TimePoint> started{};
  };
  enum class Phase { kConnecting, kWaiting };
  // An attempt or a load probe that has not ended.
  struct Exchange {
    std::size_t upstream = 0;
    std::optional<lb::RequestId> request;  // absent for a load probe
    lb::AttemptId attempt{};
    Duration work{};
    Phase phase = Phase::kConnecting;
    TimePoint sent;
    TimePoint timeout_at;
    TimePoint begin_by;  // after this time the request must not begin to be written
    bool needed = true;  // false once the client has its answer
    HollowConnection connection;
    std::optional<UpstreamModel::CallId> call;
  };
  struct Pending {
    Duration work{};
    OnAnswer on_answer;  // empty once the request is answered
    std::vector<ExchangeId> attempts;
    std::size_t open_attempts = 0;  // number of attempts that have not ended
  };

  TimePoint Now() const override { return scheduler_.Now(); }
  void ArmTimer(TimePoint next) override;
  void FireTimers();
  void ApplyListToConnections(const lb::MembershipUpdate& update);
  void ApplyEntryToConnections(std::size_t upstream, const lb::UpstreamInfo& info);
  void RetireConnections(std::size_t upstream);
  void AbortUnsent(std::size_t upstream);

  void StartExchange(ExchangeId id, Exchange exchange, Duration max_idle);
  void OpenConnection(ExchangeId id, Exchange& exchange);
  void HandleConnectArrival(ExchangeId id, std::size_t upstream);
  void HandleConnectResult(ExchangeId id, ConnectResult result);
  void SendRequest(ExchangeId id, Exchange& exchange);
  void HandleRequestArrival(ExchangeId id);
  void HandleResponse(ExchangeId id, ServeResult result, const lb::LoadReport& load);
  void EndExchange(ExchangeId id, lb::Outcome outcome, bool keep_connection, const lb::LoadReport& load = {});
  void ReportOutcome(const Exchange& exchange, lb::Outcome outcome, const lb::LoadReport& load);
  void CountOutcome(const Exchange& exchange, lb::Outcome outcome);
  void SendToSidecar(std::size_t upstream, std::function<void()> task);

  // Returns a connection to the pool, or closes it if its upstream drains, is gone or has restarted since the
  // connection was opened.
  void Release(std::size_t upstream, const HollowConnection& connection);

  void AnswerClient(Pending& pending, const Answer& answer);
  void EraseIfDone(lb::RequestId id);
  void CountUnanswered(TimePoint now);

  void StartAttempt(const lb::SendAttempt& action) override;
  void CancelAttempt(const lb::CancelAttempt& action) override;
  void RejectRequest(const lb::RejectRequest& action) override;
  void FailRequest(const lb::FailRequest& action) override;
  void StartLoadProbe(const lb::SendLoadProbe& action) override;
  void CloseIdleConnections(const lb::CloseIdleConnections& action) override;
  void Subscribe(const lb::Subscribe& action) override;
  void WriteLogLine(const lb::LogLine&) override {}

  const SidecarInstance& instance_;
  const lb::Settings settings_;
  const Location location_;
  const UpstreamDirectory& upstreams_;
  NetworkModel& network_;
  Scheduler& scheduler_;
  TrafficCounters& counters_;
  const OnSubscribe on_subscribe_;

  std::chrono::nanoseconds module_time_{};
  std::optional<sidecar::BalancerHost> host_;  // absent while the sidecar is down
  std::uint64_t process_ = 0;  // number of the process: tasks scheduled by an earlier one are ignored
  std::unordered_map<lb::RequestId, Pending> requests_;
  std::deque<std::pair<TimePoint, lb::RequestId>> answer_deadlines_;  // approximately in order of time
  std::unordered_map<ExchangeId, Exchange> exchanges_;
  std::uint64_t last_request_ = 0;
  ExchangeId last_exchange_ = 0;
  TimePoint timer_due_ = TimePoint::max();
  std::vector<Listed> listed_;  // by index in the directory
  HollowConnectionPool connections_;
  std::uint64_t answer_faults_ = 0;
};

}  // namespace lb::lab
