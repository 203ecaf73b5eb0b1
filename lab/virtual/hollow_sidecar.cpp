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

// As the real sidecar has them (sidecar/request_intake.cpp, sidecar/connection_pool.cpp).
constexpr Duration kTrip = milliseconds(2);  // from a client to its sidecar, taken off its deadline

TimePoint Later(TimePoint from, Duration wait) {
  return wait >= TimePoint::max() - from ? TimePoint::max() : from + wait;
}

}  // namespace

// ---- The process, its clients and its list ----

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

void HollowSidecar::Start(std::uint64_t seed, std::vector<UpstreamInfo> known) {
  if (running()) Kill();
  ++process_;
  sidecar::BalancerClock& clock = *this;
  sidecar::ActionHandler& handler = *this;
  host_.emplace(settings_, seed, clock, handler, &module_time_);
  listed_.assign(upstreams_.size(), {});
  Apply({MembershipUpdate::Kind::kRestored, std::move(known)});
}

void HollowSidecar::Kill() {
  if (!running()) return;
  host_.reset();
  ++process_;
  armed_for_ = TimePoint::max();
  for (const auto& [id, exchange] : std::exchange(exchanges_, {})) {
    if (exchange.call) upstreams_.model(exchange.upstream).Abandon(*exchange.call);
    if (exchange.connection.process != 0) connections_.Close(exchange.upstream, exchange.connection);
  }
  connections_.CloseAll();
  std::vector<std::pair<RequestId, OnAnswer>> waiting;
  for (auto& [id, pending] : std::exchange(requests_, {})) {
    if (pending.on_answer) waiting.emplace_back(id, std::move(pending.on_answer));
  }
  answer_by_.clear();
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
  event.deadline = std::max(request.deadline - kTrip, now + milliseconds(1));
  event.client_retry = request.client_retry;
  requests_.emplace(event.request, Pending{request.work, std::move(on_answer), {}, 0});
  CountUnanswered(now);
  answer_by_.emplace_back(event.deadline + settings_.fleet_limits.answer_grace, event.request);
  host_->Deliver(event);
}

// The module handles the list before the ends of attempts that follow from it, and acts on it only when the
// connections have followed.
void HollowSidecar::Apply(MembershipUpdate update) {
  if (!running()) return;
  {
    const sidecar::BalancerHost::EventHold hold(*host_);
    const auto& told = std::get<MembershipUpdate>(host_->Enqueue(std::move(update)));
    if (told.kind != MembershipUpdate::Kind::kFailed) FollowList(told);
  }
  host_->HandleQueuedEvents();
}

void HollowSidecar::FollowList(const MembershipUpdate& update) {
  if (update.kind != MembershipUpdate::Kind::kChanges) {
    std::vector<bool> in_list(listed_.size());
    for (const UpstreamInfo& info : update.upstreams) {
      if (const auto place = upstreams_.Find(info.id.value)) in_list[*place] = true;
    }
    for (std::size_t place = 0; place < listed_.size(); ++place) {
      if (in_list[place] || listed_[place].state == UpstreamState::kGone) continue;
      listed_[place].state = UpstreamState::kGone;
      GiveUpConnections(place);
    }
  }
  for (const UpstreamInfo& info : update.upstreams) {
    if (const auto place = upstreams_.Find(info.id.value)) FollowListed(*place, info);
  }
}

// Where it drains, is gone or restarted, its idle connections are closed and what has not begun to be
// written to it ends as not sent.
void HollowSidecar::FollowListed(std::size_t upstream, const UpstreamInfo& info) {
  Listed& listed = listed_[upstream];
  const bool restarted = listed.state != UpstreamState::kGone && listed.started != info.started;
  listed.state = info.state;
  listed.started = info.started;
  if (info.state != UpstreamState::kServing || restarted) GiveUpConnections(upstream);
}

void HollowSidecar::GiveUpConnections(std::size_t upstream) {
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

std::uint64_t HollowSidecar::lost() const {
  const auto overdue = [this](const auto& entry) {
    const auto it = requests_.find(entry.second);
    return scheduler_.Now() > entry.first && it != requests_.end() && it->second.on_answer;
  };
  return lost_ + static_cast<std::uint64_t>(std::count_if(answer_by_.begin(), answer_by_.end(), overdue));
}

void HollowSidecar::CountUnanswered(TimePoint now) {
  while (!answer_by_.empty() && answer_by_.front().first < now) {
    const auto it = requests_.find(answer_by_.front().second);
    if (it != requests_.end() && it->second.on_answer) ++lost_;
    answer_by_.pop_front();
  }
}

// ---- Timers ----

// A task that was scheduled can't be cancelled: only an earlier time is scheduled again.
void HollowSidecar::ArmTimer(TimePoint next) {
  if (next >= armed_for_) return;
  armed_for_ = next;
  scheduler_.At(armed_for_, [this, process = process_] {
    if (process == process_) FireTimers();
  });
}

void HollowSidecar::FireTimers() {
  if (scheduler_.Now() < armed_for_) return;  // an earlier one came in between; this one is armed again
  armed_for_ = TimePoint::max();
  host_->FireDueTimers();
}

// ---- Requests ----

void HollowSidecar::AnswerClient(Pending& pending, const Answer& answer) {
  const OnAnswer on_answer = std::exchange(pending.on_answer, nullptr);
  if (!on_answer) {
    ++lost_;
    return;
  }
  // The module lets a trial go on behind the answer. But where its connection has not come up by now the
  // request must not be sent on any more.
  for (const ExchangeId id : pending.attempts) {
    if (const auto it = exchanges_.find(id); it != exchanges_.end()) it->second.wanted = false;
  }
  on_answer(answer);
}

void HollowSidecar::ForgetIfDone(RequestId id) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && !it->second.on_answer && it->second.out == 0) requests_.erase(it);
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
  exchange.gives_up = Later(exchange.sent, action.timeout);
  exchange.begin_by = Later(exchange.sent, action.begin_within);
  pending.attempts.push_back(id);
  ++pending.out;
  const auto place = upstreams_.Find(action.upstream.value);
  if (!place || !pending.on_answer) return TellModule(exchange, Outcome::kNotSent, {});
  exchange.upstream = *place;
  Begin(id, exchange, action.max_connection_idle);
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
    ++lost_;
    return;
  }
  AnswerClient(it->second, {AnswerKind::kRefused, action.retry_after});
  ForgetIfDone(action.request);
}

void HollowSidecar::FailRequest(const lb::FailRequest& action) {
  const auto it = requests_.find(action.request);
  if (it == requests_.end()) {
    ++lost_;
    return;
  }
  AnswerClient(it->second, {AnswerKind::kFailed, {}});
  ForgetIfDone(action.request);
}

void HollowSidecar::StartLoadProbe(const lb::SendLoadProbe& action) {
  const auto place = upstreams_.Find(action.upstream.value);
  if (!place) return host_->Deliver(lb::LoadProbeFinished{action.upstream, Outcome::kNotSent, {}, {}});
  Exchange exchange;
  exchange.upstream = *place;
  exchange.sent = scheduler_.Now();
  exchange.gives_up = exchange.sent + settings_.limits.connect_timeout;
  exchange.begin_by = TimePoint::max();
  Begin(++last_exchange_, exchange, action.max_connection_idle);
}

void HollowSidecar::CloseIdleConnections(const lb::CloseIdleConnections& action) {
  if (const auto place = upstreams_.Find(action.upstream.value)) connections_.CloseIdleOf(*place);
}

void HollowSidecar::Subscribe(const lb::Subscribe&) {
  if (on_subscribe_) on_subscribe_();
}

}  // namespace lb::lab
