// A sidecar without sockets: the module itself, with its actions carried out on models of the network and the
// upstreams as the real sidecar carries them out on sockets (sidecar/sidecar.cpp, sidecar/upstreams.cpp).
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

// One try of a client.
struct OfferedRequest {
  lb::ClassId request_class{};
  Duration work{};       // on a core of speed 1
  TimePoint deadline{};  // the client stops waiting
  bool client_retry = false;
};

enum class AnswerKind {
  kServed,
  kRefused,  // nothing was done: trying again is harmless
  kFailed,   // it may have taken effect
  kLost,     // the sidecar was down, or was killed with the request in its hands
};

struct Answer {
  AnswerKind kind = AnswerKind::kServed;
  Duration retry_after{};  // of a refusal; zero: no advice
};

class HollowSidecar : private sidecar::ActionHandler, private sidecar::BalancerClock {
 public:
  using OnAnswer = std::function<void(const Answer&)>;
  // The module asks for membership changes.
  using OnSubscribe = std::function<void()>;

  // Is down until Start(). All references have to outlive it, and `scheduler` must not run once it is gone.
  // `counters` are added to.
  HollowSidecar(const SidecarInstance& instance, lb::Settings settings, const UpstreamDirectory& upstreams,
                NetworkModel& network, Scheduler& scheduler, TrafficCounters& counters,
                OnSubscribe on_subscribe);
  ~HollowSidecar() override;
  HollowSidecar(const HollowSidecar&) = delete;
  HollowSidecar& operator=(const HollowSidecar&) = delete;

  // A new process with that seed, and the list that it holds from before.
  void Start(std::uint64_t seed, std::vector<lb::UpstreamInfo> known);
  // The process dies: the requests that it holds end as kLost, its connections are closed.
  void Kill();
  bool running() const { return host_.has_value(); }

  // `on_answer` is called once, by the deadline; kLost at once where the sidecar is down.
  void Offer(const OfferedRequest& request, OnAnswer on_answer);
  // What discovery tells. Ignored while the sidecar is down.
  void Apply(lb::MembershipUpdate update);

  // Requests that the module has left without an answer by their deadline and its grace, and answers beyond
  // the one: both are faults of the module, or of this class.
  std::uint64_t lost() const;
  std::size_t requests_open() const { return requests_.size(); }
  std::size_t idle_connections() const { return connections_.size(); }
  // Real time that the module has taken so far.
  std::chrono::nanoseconds module_time() const { return module_time_; }
  const SidecarInstance& instance() const { return instance_; }

 private:
  using ExchangeId = std::uint64_t;

  // What is known of one upstream by the list.
  struct Listed {
    lb::UpstreamState state = lb::UpstreamState::kGone;
    std::uint32_t generation = 0;  // grows as its connections are given up
    std::optional<TimePoint> started{};
  };
  enum class Phase { kConnecting, kWaiting };
  // An attempt or a probe that is out.
  struct Exchange {
    std::size_t upstream = 0;
    std::optional<lb::RequestId> request;  // absent: a probe
    lb::AttemptId attempt{};
    Duration work{};
    Phase phase = Phase::kConnecting;
    TimePoint sent;
    TimePoint gives_up;
    TimePoint begin_by;
    bool wanted = true;  // by the request
    HollowConnection connection;
    std::optional<UpstreamModel::CallId> call;
  };
  struct Pending {
    Duration work{};
    OnAnswer on_answer;  // empty once the request has its answer
    std::vector<ExchangeId> attempts;
    std::size_t out = 0;  // attempts that have not ended
  };

  TimePoint Now() const override { return scheduler_.Now(); }
  void ArmTimer(TimePoint next) override;
  void FireTimers();
  void FollowList(const lb::MembershipUpdate& update);
  void FollowListed(std::size_t upstream, const lb::UpstreamInfo& info);
  void GiveUpConnections(std::size_t upstream);
  void AbortUnsent(std::size_t upstream);

  void Begin(ExchangeId id, Exchange exchange, Duration max_idle);
  void OpenConnection(ExchangeId id, Exchange& exchange);
  void ArriveToConnect(ExchangeId id, std::size_t upstream);
  void Connected(ExchangeId id, ConnectResult result);
  void Write(ExchangeId id, Exchange& exchange);
  void ArriveToServe(ExchangeId id);
  void Answered(ExchangeId id, ServeResult result, const lb::LoadReport& load);
  void EndExchange(ExchangeId id, lb::Outcome outcome, bool keep_connection, const lb::LoadReport& load = {});
  void TellModule(const Exchange& exchange, lb::Outcome outcome, const lb::LoadReport& load);
  void Count(const Exchange& exchange, lb::Outcome outcome);
  void SendBack(std::size_t upstream, std::function<void()> task);

  // Keeps a connection for the next request, or closes it if its upstream drains, is gone or has restarted
  // since.
  void Release(std::size_t upstream, const HollowConnection& connection);

  void AnswerClient(Pending& pending, const Answer& answer);
  void ForgetIfDone(lb::RequestId id);
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
  std::optional<sidecar::BalancerHost> host_;  // absent while it is down
  std::uint64_t process_ = 0;                  // what was scheduled by an earlier one is void
  std::unordered_map<lb::RequestId, Pending> requests_;
  std::deque<std::pair<TimePoint, lb::RequestId>> answer_by_;  // about in order of time
  std::unordered_map<ExchangeId, Exchange> exchanges_;
  std::uint64_t last_request_ = 0;
  ExchangeId last_exchange_ = 0;
  TimePoint armed_for_ = TimePoint::max();
  std::vector<Listed> listed_;  // by the upstream's place
  HollowConnectionPool connections_;
  std::uint64_t lost_ = 0;
};

}  // namespace lb::lab
