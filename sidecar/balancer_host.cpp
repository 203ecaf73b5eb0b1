#include "sidecar/balancer_host.h"

#include <algorithm>
#include <variant>

namespace lb::sidecar {
namespace {

// Fewer timers are not worth a pass over them.
constexpr std::size_t kMinTimersToDrop = 256;

}  // namespace

// The destructor restores the flag also when an exception is thrown: if the flag stayed set, the sidecar
// would not handle any further event.
BalancerHost::EventHold::EventHold(BalancerHost& host)
    : handling_(host.handling_), was_handling_(host.handling_) {
  handling_ = true;
}

BalancerHost::EventHold::~EventHold() { handling_ = was_handling_; }

BalancerHost::BalancerHost(const Settings& settings, std::uint64_t seed, BalancerClock& clock,
                           ActionHandler& handler, std::chrono::nanoseconds* balancer_time)
    : balancer_(settings, seed), clock_(clock), handler_(handler), balancer_time_(balancer_time) {}

void BalancerHost::Deliver(Event event) {
  Enqueue(std::move(event));
  HandleQueuedEvents();
}

const Event& BalancerHost::Enqueue(Event event) {
  events_.push_back(std::move(event));
  return events_.back();
}

void BalancerHost::HandleQueuedEvents() {
  if (handling_) return;
  const EventHold hold(*this);
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    actions_.clear();
    const auto begun =
        balancer_time_ ? std::chrono::steady_clock::now() : std::chrono::steady_clock::time_point();
    handled_at_ = clock_.Now();
    balancer_.Handle(handled_at_, next, actions_);
    if (balancer_time_) *balancer_time_ += std::chrono::steady_clock::now() - begun;
    for (const Action& action : actions_) Execute(action);
  }
  DropEndedTimers();
  ArmTimer();
}

void BalancerHost::Execute(const Action& action) {
  struct Dispatcher {
    BalancerHost& host;
    ActionHandler& handler;
    void operator()(const lb::SendAttempt& a) const { handler.StartAttempt(a); }
    void operator()(const lb::CancelAttempt& a) const { handler.CancelAttempt(a); }
    void operator()(const lb::RejectRequest& a) const { handler.RejectRequest(a); }
    void operator()(const lb::FailRequest& a) const { handler.FailRequest(a); }
    void operator()(const lb::SetTimer& a) const { host.AddTimer({a.at, a.token}); }
    void operator()(const lb::SendLoadProbe& a) const { handler.StartLoadProbe(a); }
    void operator()(const lb::CloseIdleConnections& a) const { handler.CloseIdleConnections(a); }
    void operator()(const lb::Subscribe& a) const { handler.Subscribe(a); }
    void operator()(const lb::LogLine& a) const { handler.WriteLogLine(a); }
  };
  std::visit(Dispatcher{*this, handler_}, action);
}

void BalancerHost::AddTimer(const Timer& timer) {
  timers_.push_back(timer);
  std::ranges::push_heap(timers_, std::greater());
}

BalancerHost::Timer BalancerHost::TakeFirstTimer() {
  std::ranges::pop_heap(timers_, std::greater());
  const Timer first = timers_.back();
  timers_.pop_back();
  return first;
}

void BalancerHost::DropEndedTimers() {
  if (timers_.size() < kMinTimersToDrop || timers_.size() < 2 * balancer_.pending_timers()) return;
  std::erase_if(timers_, [this](const Timer& timer) { return !balancer_.IsTimerPending(timer.second); });
  std::ranges::make_heap(timers_, std::greater());
}

void BalancerHost::ArmTimer() { clock_.ArmTimer(timers_.empty() ? TimePoint::max() : timers_.front().first); }

void BalancerHost::FireDueTimers() {
  const TimePoint now = clock_.Now();
  while (!timers_.empty() && timers_.front().first <= now) {
    Deliver(lb::TimerFired{TakeFirstTimer().second});
  }
  ArmTimer();
}

}  // namespace lb::sidecar
