// Routes each event to the components responsible for it: events about requests to the request dispatcher,
// the others in this file. The components are listed in components.h.
#include "balancer/balancer.h"

#include <utility>

#include "balancer/components.h"
#include "balancer/log_lines.h"
#include "balancer/request_dispatcher.h"
#include "balancer/upstream_selector.h"

namespace lb {
namespace {

// Distinct from the tokens of requests' timers, which are positive.
constexpr std::uint64_t kHousekeepingToken = 0;

}  // namespace

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : components_(std::move(settings), seed) {}

  void Handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
    components_.actions.Begin(actions);
    if (!started_) Start(now);
    std::visit([this, now](const auto& typed_event) { Route(typed_event, now); }, event);
  }

  std::size_t upstreams_visited() const { return components_.membership.visits(); }
  bool IsTimerPending(std::uint64_t token) const {
    return token == kHousekeepingToken || components_.requests.IsTimerPending(token);
  }
  std::size_t pending_timers() const { return components_.requests.pending_timers() + 1; }

 private:
  void Start(TimePoint now) {
    started_ = true;
    components_.traffic.Start(now);
    if (components_.settings.polled_membership) components_.actions.Add(Subscribe{});
    SetHousekeepingTimer(now);
  }

  void Route(const MembershipUpdate& event, TimePoint now) { HandleMembershipUpdate(event, now); }
  void Route(const OperatorOverride& event, TimePoint now) { HandleOperatorOverride(event, now); }
  void Route(const TimerFired& event, TimePoint now) { HandleTimerFired(event, now); }
  void Route(const RequestArrived& event, TimePoint now) { dispatcher_.HandleRequestArrived(event, now); }
  void Route(const RequestCompleted& event, TimePoint now) { dispatcher_.HandleRequestCompleted(event, now); }
  void Route(const ResponseStarted& event, TimePoint now) { dispatcher_.HandleResponseStarted(event, now); }
  void Route(const AttemptFinished& event, TimePoint now) { dispatcher_.HandleAttemptFinished(event, now); }
  void Route(const RequestCancelled& event, TimePoint) { dispatcher_.HandleRequestCancelled(event); }
  void Route(const LoadProbeFinished& event, TimePoint now) {
    dispatcher_.HandleLoadProbeFinished(event, now);
  }

  void HandleMembershipUpdate(const MembershipUpdate& update, TimePoint now) {
    using Kind = MembershipUpdate::Kind;
    if (update.kind == Kind::kFailed) return components_.polls.OnFailure(now);
    if (update.kind != Kind::kRestored) components_.polls.OnSuccess();
    if (update.kind != Kind::kChanges) components_.membership.BeginFullList();
    ApplyEntries(update.upstreams, now);
  }

  void HandleOperatorOverride(const OperatorOverride& event, TimePoint now) {
    const auto change = event.disabled ? Membership::Override::kDisable : Membership::Override::kEnable;
    const auto info = components_.membership.ApplyOverride(event.upstream.value, change, now);
    if (info) ApplyEntries({*info}, now);
  }

  void HandleTimerFired(const TimerFired& event, TimePoint now) {
    if (event.token == kHousekeepingToken) return HandleHousekeeping(now);
    dispatcher_.HandleRequestTimer(event.token, now);
  }

  void HandleHousekeeping(TimePoint now) {
    SetHousekeepingTimer(now);
    components_.traffic.Update(now, Components::kHousekeepingInterval,
                               components_.membership.listed_weight().value());
    components_.failures.Invalidate();
    components_.capacity.Update(now);
    components_.limiter.Update(components_.capacity.available_weight());
    components_.connections.RaiseMaxConnectionIdle();
    if (components_.shedding.EndIfQuiet(now)) components_.actions.Log(SheddingStoppedLine());
    for (Upstream* upstream : components_.membership.Monitored()) selector_.ReadmitIfExpired(*upstream, now);
    components_.membership.StopMonitoring([this, now](const Upstream& upstream) {
      return OutlierDetector::IsIdleAndHealthy(upstream) &&
             !components_.slow_start.IsWarmingUp(upstream, now);
    });
    if (components_.polls.TakeIfDue(now)) components_.actions.Add(Subscribe{});
  }

  // Applies the entries of a change, or of a full list that Membership::BeginFullList() began.
  void ApplyEntries(const std::vector<UpstreamInfo>& infos, TimePoint now) {
    std::vector<UpstreamPtr> entering;
    for (const UpstreamInfo& info : infos) {
      const auto [upstream, new_process, enters] = components_.membership.ApplyEntry(info);
      if (new_process) components_.slow_start.OnNewProcess(*upstream, now);
      components_.latency.AssignKind(*upstream);
      if (components_.slow_start.IsWarmingUp(*upstream, now)) components_.membership.Monitor(*upstream);
      if (enters) entering.push_back(upstream);
    }
    components_.membership.CommitUpdate();
    components_.failures.Invalidate();
    components_.rotation.Restart(entering, now);
  }

  void SetHousekeepingTimer(TimePoint now) {
    components_.actions.Add(SetTimer{now + Components::kHousekeepingInterval, kHousekeepingToken});
  }

  Components components_;
  UpstreamSelector selector_{components_};
  RequestDispatcher dispatcher_{components_, selector_};
  bool started_ = false;
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::Handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}

bool Balancer::IsTimerPending(std::uint64_t token) const { return impl_->IsTimerPending(token); }

std::size_t Balancer::pending_timers() const { return impl_->pending_timers(); }

std::size_t Balancer::upstreams_visited() const { return impl_->upstreams_visited(); }

}  // namespace lb
