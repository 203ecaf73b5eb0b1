#include "lab/virtual/hollow_sidecar.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace lb::lab {
namespace {

using lb::AttemptId;
using lb::MembershipUpdate;
using lb::Outcome;
using lb::RequestId;
using lb::UpstreamInfo;
using lb::UpstreamState;
using std::chrono::milliseconds;

// The value of the real sidecar (sidecar/request_intake.cpp).
constexpr Duration kClientToSidecarDelay = milliseconds(2);  // subtracted from the client's deadline

TimePoint AddSaturating(TimePoint from, Duration wait) {
  return wait >= TimePoint::max() - from ? TimePoint::max() : from + wait;
}

}  // namespace

// ---- Process, client requests and endpoint list ----

HollowSidecar::HollowSidecar(const SidecarInstance& instance, lb::Settings settings,
                             const UpstreamDirectory& upstreams, NetworkModel& network, Scheduler& scheduler,
                             TrafficCounters& counters, OnSubscribe on_subscribe)
    : instance_(instance),
      settings_(std::move(settings)),
      location_{instance.region, instance.zone},
      upstreams_(upstreams),
      network_(network),
      scheduler_(scheduler),
      counters_(counters),
      on_subscribe_(std::move(on_subscribe)),
      connections_(upstreams, scheduler, settings_.limits.idle_close) {}

HollowSidecar::~HollowSidecar() = default;

void HollowSidecar::Start(std::uint64_t seed, std::vector<UpstreamInfo> list) {
  if (running()) Kill();
  ++process_;
  sidecar::BalancerClock& clock = *this;
  sidecar::ActionHandler& handler = *this;
  host_.emplace(settings_, seed, clock, handler, &module_time_);
  listed_.assign(upstreams_.size(), {});
  Apply({MembershipUpdate::Kind::kRestored, std::move(list)});
}

void HollowSidecar::Kill() {
  if (!running()) return;
  host_.reset();
  ++process_;
  timer_due_ = TimePoint::max();
  for (const auto& [id, exchange] : std::exchange(exchanges_, {})) {
    if (exchange.call) upstreams_.model(exchange.upstream).Abandon(*exchange.call);
    if (exchange.connection.process != 0) connections_.Close(exchange.upstream, exchange.connection);
  }
  connections_.CloseAll();
  std::vector<std::pair<RequestId, OnAnswer>> waiting;
  for (auto& [id, pending] : std::exchange(requests_, {})) {
    if (pending.on_answer) waiting.emplace_back(id, std::move(pending.on_answer));
  }
  answer_deadlines_.clear();
  std::sort(waiting.begin(), waiting.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  for (auto& [id, on_answer] : waiting) {
    scheduler_.After({}, [on_answer = std::move(on_answer)] { on_answer({AnswerKind::kLost, {}}); });
  }
}

void HollowSidecar::Offer(const OfferedRequest& request, OnAnswer on_answer) {
  if (!running()) {
    scheduler_.After({}, [on_answer = std::move(on_answer)] { on_answer({AnswerKind::kLost, {}}); });
    return;
  }
  const TimePoint now = scheduler_.Now();
  lb::RequestArrived event;
  event.request = RequestId{++last_request_};
  event.request_class = request.request_class;
  event.deadline = std::max(request.deadline - kClientToSidecarDelay, now + milliseconds(1));
  event.client_retry = request.client_retry;
  requests_.emplace(event.request, Pending{request.work, std::move(on_answer), {}, 0});
  CountUnanswered(now);
  answer_deadlines_.emplace_back(event.deadline + settings_.fleet_limits.answer_grace, event.request);
  host_->Deliver(event);
}

// The module must process the list before the outcomes of attempts that the list aborts, and its actions must
// find connections that already reflect the list. Events are therefore held until the list has been applied.
void HollowSidecar::Apply(MembershipUpdate update) {
  if (!running()) return;
  {
    const sidecar::BalancerHost::EventHold hold(*host_);
    const auto& queued = std::get<MembershipUpdate>(host_->Enqueue(std::move(update)));
    if (queued.kind != MembershipUpdate::Kind::kFailed) ApplyListToConnections(queued);
  }
  host_->HandleQueuedEvents();
}

void HollowSidecar::ApplyListToConnections(const MembershipUpdate& update) {
  if (update.kind != MembershipUpdate::Kind::kChanges) {
    std::vector<bool> in_list(listed_.size());
    for (const UpstreamInfo& info : update.upstreams) {
      if (const auto index = upstreams_.Find(info.id.value)) in_list[*index] = true;
    }
    for (std::size_t index = 0; index < listed_.size(); ++index) {
      if (in_list[index] || listed_[index].state == UpstreamState::kGone) continue;
      listed_[index].state = UpstreamState::kGone;
      RetireConnections(index);
    }
  }
  for (const UpstreamInfo& info : update.upstreams) {
    if (const auto index = upstreams_.Find(info.id.value)) ApplyEntryToConnections(*index, info);
  }
}

// If the upstream drains, is gone or has restarted, closes its idle connections and ends exchanges that have
// not begun to be written as not sent.
void HollowSidecar::ApplyEntryToConnections(std::size_t upstream, const UpstreamInfo& info) {
  Listed& listed = listed_[upstream];
  const bool restarted = listed.state != UpstreamState::kGone && listed.started != info.started;
  listed.state = info.state;
  listed.started = info.started;
  if (info.state != UpstreamState::kServing || restarted) RetireConnections(upstream);
}

void HollowSidecar::RetireConnections(std::size_t upstream) {
  ++listed_[upstream].generation;
  connections_.CloseIdleOf(upstream);
  AbortUnsent(upstream);
}

void HollowSidecar::AbortUnsent(std::size_t upstream) {
  std::vector<ExchangeId> unsent;
  for (const auto& [id, exchange] : exchanges_) {
    if (exchange.upstream == upstream && exchange.phase == Phase::kConnecting) unsent.push_back(id);
  }
  std::sort(unsent.begin(), unsent.end());
  for (const ExchangeId id : unsent) EndExchange(id, Outcome::kNotSent, false);
}

std::uint64_t HollowSidecar::answer_faults() const {
  const auto overdue = [this](const auto& entry) {
    const auto it = requests_.find(entry.second);
    return scheduler_.Now() > entry.first && it != requests_.end() && it->second.on_answer;
  };
  return answer_faults_ + static_cast<std::uint64_t>(
                              std::count_if(answer_deadlines_.begin(), answer_deadlines_.end(), overdue));
}

void HollowSidecar::CountUnanswered(TimePoint now) {
  while (!answer_deadlines_.empty() && answer_deadlines_.front().first < now) {
    const auto it = requests_.find(answer_deadlines_.front().second);
    if (it != requests_.end() && it->second.on_answer) ++answer_faults_;
    answer_deadlines_.pop_front();
  }
}

// ---- Timers ----

// Scheduled tasks cannot be cancelled, so that a new task is scheduled only for an earlier time.
void HollowSidecar::ArmTimer(TimePoint next) {
  if (next >= timer_due_) return;
  timer_due_ = next;
  scheduler_.At(timer_due_, [this, process = process_] {
    if (process == process_) FireTimers();
  });
}

void HollowSidecar::FireTimers() {
  if (scheduler_.Now() < timer_due_) return;  // superseded: an earlier timer fired and a later one was set
  timer_due_ = TimePoint::max();
  host_->FireDueTimers();
}

// ---- Requests ----

void HollowSidecar::AnswerClient(Pending& pending, const Answer& answer) {
  const OnAnswer on_answer = std::exchange(pending.on_answer, nullptr);
  if (!on_answer) {
    ++answer_faults_;
    return;
  }
  // A half-open probe continues after the client has its answer. But an attempt whose connection is not yet
  // established must not send the request any more.
  for (const ExchangeId id : pending.attempts) {
    if (const auto it = exchanges_.find(id); it != exchanges_.end()) it->second.needed = false;
  }
  on_answer(answer);
}

void HollowSidecar::EraseIfDone(RequestId id) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && !it->second.on_answer && it->second.open_attempts == 0) requests_.erase(it);
}

// ---- Actions ----

void HollowSidecar::StartAttempt(const lb::SendAttempt& action) {
  const auto it = requests_.find(action.request);
  if (it == requests_.end()) return;
  Pending& pending = it->second;
  const ExchangeId id = ++last_exchange_;
  Exchange exchange;
  exchange.request = action.request;
  exchange.attempt = AttemptId{pending.attempts.size()};
  exchange.work = pending.work;
  exchange.sent = scheduler_.Now();
  exchange.timeout_at = AddSaturating(exchange.sent, action.timeout);
  exchange.begin_by = AddSaturating(exchange.sent, action.begin_within);
  pending.attempts.push_back(id);
  ++pending.open_attempts;
  const auto index = upstreams_.Find(action.upstream.value);
  if (!index || !pending.on_answer) return ReportOutcome(exchange, Outcome::kNotSent, {});
  exchange.upstream = *index;
  StartExchange(id, exchange, action.max_connection_idle);
}

void HollowSidecar::CancelAttempt(const lb::CancelAttempt& action) {
  const auto it = requests_.find(action.request);
  const auto attempt = static_cast<std::size_t>(action.attempt);
  if (it == requests_.end() || attempt >= it->second.attempts.size()) return;
  EndExchange(it->second.attempts[attempt], Outcome::kCancelled, false);
}

void HollowSidecar::RejectRequest(const lb::RejectRequest& action) {
  const auto it = requests_.find(action.request);
  if (it == requests_.end()) {
    ++answer_faults_;
    return;
  }
  AnswerClient(it->second, {AnswerKind::kRefused, action.retry_after});
  EraseIfDone(action.request);
}

void HollowSidecar::FailRequest(const lb::FailRequest& action) {
  const auto it = requests_.find(action.request);
  if (it == requests_.end()) {
    ++answer_faults_;
    return;
  }
  AnswerClient(it->second, {AnswerKind::kFailed, {}});
  EraseIfDone(action.request);
}

void HollowSidecar::StartLoadProbe(const lb::SendLoadProbe& action) {
  const auto index = upstreams_.Find(action.upstream.value);
  if (!index) return host_->Deliver(lb::LoadProbeFinished{action.upstream, Outcome::kNotSent, {}, {}});
  Exchange exchange;
  exchange.upstream = *index;
  exchange.sent = scheduler_.Now();
  exchange.timeout_at = exchange.sent + settings_.limits.connect_timeout;
  exchange.begin_by = TimePoint::max();
  StartExchange(++last_exchange_, exchange, action.max_connection_idle);
}

void HollowSidecar::CloseIdleConnections(const lb::CloseIdleConnections& action) {
  if (const auto index = upstreams_.Find(action.upstream.value)) connections_.CloseIdleOf(*index);
}

void HollowSidecar::Subscribe(const lb::Subscribe&) {
  if (on_subscribe_) on_subscribe_();
}

}  // namespace lb::lab
