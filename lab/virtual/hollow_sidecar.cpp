#include "lab/virtual/hollow_sidecar.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace lb::lab {
namespace {

using lb::AttemptFinished;
using lb::AttemptId;
using lb::LoadReport;
using lb::MembershipUpdate;
using lb::Outcome;
using lb::RequestId;
using lb::UpstreamInfo;
using lb::UpstreamState;
using std::chrono::milliseconds;

// As the real sidecar has them (sidecar/sidecar.cpp, sidecar/upstreams.cpp).
constexpr Duration kTrip = milliseconds(2);           // from a client to its sidecar, taken off its deadline
constexpr Duration kSecondAnswer = milliseconds(20);  // after an answer a connection carries nothing so long
constexpr int kIdleShare = 10;
constexpr Duration kIdleMargin = milliseconds(500);
constexpr Duration kSweep = milliseconds(250);

Duration TrustedIdle(Duration limit) {
  return std::max(limit / 2, limit - std::max(limit / kIdleShare, kIdleMargin));
}

TimePoint Later(TimePoint from, Duration wait) {
  return wait >= TimePoint::max() - from ? TimePoint::max() : from + wait;
}

}  // namespace

// ---- The upstreams ----

void UpstreamDirectory::Add(UpstreamModel& model) {
  const UpstreamInstance& instance = model.instance();
  places_.emplace(instance.id, entries_.size());
  entries_.push_back({&model, {instance.region, instance.zone}});
}

std::optional<std::size_t> UpstreamDirectory::Find(const std::string& id) const {
  const auto it = places_.find(id);
  return it == places_.end() ? std::nullopt : std::optional(it->second);
}

// ---- The process, its clients and its list ----

HollowSidecar::HollowSidecar(const SidecarInstance& instance, lb::Settings settings,
                             const UpstreamDirectory& upstreams, NetworkModel& network, Scheduler& scheduler,
                             TrafficCounters& counters, OnSubscribe on_subscribe)
    : instance_(instance),
      settings_(std::move(settings)),
      location_{instance.region, instance.zone},
      trusted_idle_(TrustedIdle(settings_.limits.idle_close)),
      upstreams_(upstreams),
      network_(network),
      scheduler_(scheduler),
      counters_(counters),
      on_subscribe_(std::move(on_subscribe)) {}

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
  sweeping_ = false;
  for (const auto& [id, exchange] : std::exchange(exchanges_, {})) {
    if (exchange.call) upstreams_.model(exchange.upstream).Abandon(*exchange.call);
    if (exchange.connection.process != 0) Close(exchange.upstream, exchange.connection);
  }
  for (std::size_t place = 0; place < upstreams_.size(); ++place) CloseIdleOf(place);
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

// The module hears of the list before it hears of attempts that the list ended, and acts on it only when the
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

// Where it drains, is gone or started anew, its idle connections are closed and what has not begun to be
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
  CloseIdleOf(upstream);
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

// A task that was scheduled can't be called off: only an earlier time is scheduled anew.
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

// ---- Exchanges ----

void HollowSidecar::Begin(ExchangeId id, Exchange exchange, Duration max_idle) {
  const std::size_t upstream = exchange.upstream;
  if (listed_[upstream].state != UpstreamState::kServing) {
    return TellModule(exchange, Outcome::kNotSent, {});
  }
  auto connection = TakeIdle(upstream, max_idle);
  Exchange& begun = exchanges_.emplace(id, exchange).first->second;
  if (!connection) return OpenConnection(id, begun);
  begun.connection = *connection;
  begun.phase = Phase::kWaiting;
  Write(id, begun);
}

void HollowSidecar::OpenConnection(ExchangeId id, Exchange& exchange) {
  ++counters_.connects;
  exchange.connection.generation = listed_[exchange.upstream].generation;
  const TimePoint until =
      std::min({exchange.gives_up, exchange.sent + settings_.limits.connect_timeout, exchange.begin_by});
  scheduler_.At(until, [this, id] {
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end() || it->second.phase != Phase::kConnecting) return;
    const bool too_late = scheduler_.Now() >= it->second.begin_by;
    EndExchange(id, too_late ? Outcome::kNotSent : Outcome::kConnectFailed, false);
  });
  const Location& place = upstreams_.location(exchange.upstream);
  if (!network_.Reaches(location_, place)) return;
  scheduler_.After(network_.Delay(location_, place),
                   [this, id, upstream = exchange.upstream] { ArriveToConnect(id, upstream); });
}

void HollowSidecar::ArriveToConnect(ExchangeId id, std::size_t upstream) {
  if (!exchanges_.contains(id)) return;
  UpstreamModel& model = upstreams_.model(upstream);
  model.Connect([this, id, upstream, process = model.process()](ConnectResult result) {
    const auto it = exchanges_.find(id);
    // Whoever connected has given up.
    if (it == exchanges_.end() && result == ConnectResult::kAccepted) {
      return Close(upstream, {process, 0, {}, {}, {}});
    }
    if (it == exchanges_.end()) return;
    if (result == ConnectResult::kAccepted) it->second.connection.process = process;
    SendBack(upstream, [this, id, result] { Connected(id, result); });
  });
}

void HollowSidecar::Connected(ExchangeId id, ConnectResult result) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  if (result != ConnectResult::kAccepted) return EndExchange(id, Outcome::kConnectFailed, false);
  Exchange& exchange = it->second;
  exchange.phase = Phase::kWaiting;
  // It is up, and there is nothing to send on it.
  const bool late = scheduler_.Now() >= exchange.begin_by;
  if (!exchange.wanted || late) return EndExchange(id, Outcome::kNotSent, true);
  Write(id, exchange);
}

void HollowSidecar::Write(ExchangeId id, Exchange& exchange) {
  const Location& place = upstreams_.location(exchange.upstream);
  if (exchange.request) {
    ++counters_.attempts;
    if (place.zone != location_.zone) ++counters_.crossings;
  } else {
    ++counters_.probes;
  }
  scheduler_.At(exchange.gives_up, [this, id] { EndExchange(id, Outcome::kTimeout, false); });
  if (!network_.Reaches(location_, place)) return;
  scheduler_.After(network_.Delay(location_, place), [this, id] { ArriveToServe(id); });
}

void HollowSidecar::ArriveToServe(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  Exchange& exchange = it->second;
  const std::size_t upstream = exchange.upstream;
  UpstreamModel& model = upstreams_.model(upstream);
  const auto answer = [this, id, upstream](ServeResult result, const LoadReport& load) {
    SendBack(upstream, [this, id, result, load] { Answered(id, result, load); });
  };
  if (model.silent()) return;
  if (!model.running() || model.process() != exchange.connection.process) {
    return answer(ServeResult::kReset, {});
  }
  if (exchange.request) {
    exchange.call = model.Serve(exchange.work, [answer](ServeResult result) { answer(result, {}); });
  } else {
    model.Probe([answer](LoadReport load) { answer(ServeResult::kServed, load); });
  }
}

void HollowSidecar::SendBack(std::size_t upstream, std::function<void()> task) {
  const Location& place = upstreams_.location(upstream);
  if (!network_.Reaches(place, location_)) return;
  scheduler_.After(network_.Delay(place, location_), std::move(task));
}

void HollowSidecar::Answered(ExchangeId id, ServeResult result, const LoadReport& load) {
  switch (result) {
    case ServeResult::kServed:
      return EndExchange(id, Outcome::kServed, true, settings_.load_by_probe ? load : LoadReport{});
    case ServeResult::kTurnedAway:
      return EndExchange(id, Outcome::kRejected, true);
    case ServeResult::kReset:
      return EndExchange(id, Outcome::kReset, false);
  }
}

void HollowSidecar::EndExchange(ExchangeId id, Outcome outcome, bool keep_connection,
                                const LoadReport& load) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  const Exchange exchange = it->second;
  exchanges_.erase(it);
  Count(exchange, outcome);
  if (keep_connection) {
    Connection connection = exchange.connection;
    const bool spare = outcome == Outcome::kNotSent;
    connection.idle_since = scheduler_.Now();
    connection.usable_from = connection.idle_since + (spare ? Duration::zero() : kSecondAnswer);
    Release(exchange.upstream, connection);
  } else {
    if (exchange.call) upstreams_.model(exchange.upstream).Abandon(*exchange.call);
    if (exchange.connection.process != 0) Close(exchange.upstream, exchange.connection);
  }
  TellModule(exchange, outcome, load);
}

void HollowSidecar::Count(const Exchange& exchange, Outcome outcome) {
  if (outcome == Outcome::kConnectFailed) ++counters_.connects_failed;
  if (!exchange.request) return;
  if (outcome == Outcome::kRejected) ++counters_.attempts_full;
  if (outcome == Outcome::kTimeout) ++counters_.attempts_timed_out;
}

void HollowSidecar::TellModule(const Exchange& exchange, Outcome outcome, const LoadReport& load) {
  const Duration elapsed = scheduler_.Now() - exchange.sent;
  if (!exchange.request) {
    const std::string& id = upstreams_.model(exchange.upstream).instance().id;
    return host_->Deliver(lb::LoadProbeFinished{{id}, outcome, elapsed, load});
  }
  const RequestId request = *exchange.request;
  const auto it = requests_.find(request);
  if (it == requests_.end()) return;
  Pending& pending = it->second;
  --pending.out;
  if (outcome == Outcome::kServed && pending.on_answer) AnswerClient(pending, {AnswerKind::kServed, {}});
  const bool finished = !pending.on_answer;
  host_->Deliver(AttemptFinished{request, exchange.attempt, outcome, elapsed, finished, load,
                                 exchange.connection.idle_for, false});
  ForgetIfDone(request);
}

// ---- Connections ----

std::optional<HollowSidecar::Connection> HollowSidecar::TakeIdle(std::size_t upstream, Duration max_idle) {
  const auto it = idle_.find(upstream);
  if (it == idle_.end()) return std::nullopt;
  std::vector<Connection>& pool = it->second;
  const Duration trusted = std::min(trusted_idle_, max_idle);
  const TimePoint now = scheduler_.Now();
  for (std::size_t i = pool.size(); i-- > 0;) {
    if (now < pool[i].usable_from) continue;
    Connection connection = pool[i];
    pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(i));
    --idle_connections_;
    connection.idle_for = now - connection.idle_since;
    if (LooksAlive(upstream, connection) && *connection.idle_for < trusted) return connection;
    Close(upstream, connection);
  }
  return std::nullopt;
}

// A machine that vanished has closed nothing; of one that came back unseen the sidecar hears at the next use.
bool HollowSidecar::LooksAlive(std::size_t upstream, const Connection& connection) const {
  return connection.process > upstreams_.model(upstream).last_reset_process();
}

void HollowSidecar::Release(std::size_t upstream, Connection connection) {
  const Listed& listed = listed_[upstream];
  if (listed.state != UpstreamState::kServing || listed.generation != connection.generation) {
    return Close(upstream, connection);
  }
  idle_[upstream].push_back(connection);
  ++idle_connections_;
  ArmSweep();
}

void HollowSidecar::Close(std::size_t upstream, const Connection& connection) {
  UpstreamModel& model = upstreams_.model(upstream);
  if (model.process() == connection.process) model.Disconnect();
}

void HollowSidecar::CloseIdleOf(std::size_t upstream) {
  const auto it = idle_.find(upstream);
  if (it == idle_.end()) return;
  const std::vector<Connection> pool = std::move(it->second);
  idle_.erase(it);
  idle_connections_ -= pool.size();
  for (const Connection& connection : pool) Close(upstream, connection);
}

void HollowSidecar::ArmSweep() {
  if (std::exchange(sweeping_, true)) return;
  scheduler_.After(kSweep, [this, process = process_] {
    if (process == process_) Sweep();
  });
}

// Retires what has been idle nearly as long as the upstream allows.
void HollowSidecar::Sweep() {
  const TimePoint now = scheduler_.Now();
  std::vector<std::pair<std::size_t, Connection>> retired;
  for (auto& [upstream, pool] : idle_) {
    std::erase_if(pool, [&, place = upstream](const Connection& connection) {
      if (now - connection.idle_since < trusted_idle_ && LooksAlive(place, connection)) return false;
      retired.emplace_back(place, connection);
      return true;
    });
  }
  idle_connections_ -= retired.size();
  std::sort(retired.begin(), retired.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [upstream, connection] : retired) Close(upstream, connection);
  sweeping_ = false;
  if (idle_connections_ > 0) ArmSweep();
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
  if (const auto place = upstreams_.Find(action.upstream.value)) CloseIdleOf(*place);
}

void HollowSidecar::Subscribe(const lb::Subscribe&) {
  if (on_subscribe_) on_subscribe_();
}

}  // namespace lb::lab
