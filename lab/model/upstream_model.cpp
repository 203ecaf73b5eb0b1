#include "lab/model/upstream_model.h"

#include <algorithm>
#include <cmath>

namespace lb::lab {
namespace {

// The rise of a cold process is followed in so many steps.
constexpr int kWarmthSteps = 100;
// Work below this many microseconds is done: rounding of the sums is far below it.
constexpr double kWorkTolerance = 1e-3;

double Microseconds(Duration duration) { return static_cast<double>(duration.count()); }

std::size_t PerMachine(double per_core, int cores, std::size_t least) {
  return std::max(least, static_cast<std::size_t>(std::max(0.0, std::round(per_core * cores))));
}

}  // namespace

UpstreamModel::UpstreamModel(const UpstreamInstance& instance, const UpstreamSpec& spec, Scheduler& scheduler)
    : instance_(instance),
      spec_(spec),
      scheduler_(scheduler),
      cores_(instance.kind->cores),
      slots_(PerMachine(instance.kind->slots_per_core, instance.kind->cores, 1)),
      queue_(PerMachine(instance.kind->queue_per_core, instance.kind->cores, 0)),
      most_connections_(PerMachine(instance.kind->connections_per_core, instance.kind->cores, 1)),
      updated_(scheduler.Now()) {
  core_rate_ = CoreRate();
}

void UpstreamModel::Connect(std::function<void(ConnectResult)> done) {
  if (silent_ || hanging_) return;
  Advance();
  const auto tell = [done = std::move(done)](ServeResult result) {
    done(result == ServeResult::kServed ? ConnectResult::kAccepted : ConnectResult::kRefused);
  };
  if (!running_ || connections_ >= most_connections_) return TellLater(tell, ServeResult::kReset);
  ++connections_;
  Add(CallKind::kHandshake, spec_.handshake_work, tell);
  Settle();
}

void UpstreamModel::Disconnect() {
  if (connections_ == 0) return;
  Advance();
  --connections_;
  Settle();
}

UpstreamModel::CallId UpstreamModel::Serve(Duration work, OnServed done) {
  if (silent_) return CallId{++last_call_};
  if (!running_) {
    TellLater(std::move(done), ServeResult::kReset);
    return CallId{++last_call_};
  }
  Advance();
  const bool full = waiting_requests_ >= queue_ && in_work_.size() >= slots_;
  if (draining_ || full) {
    ++turned_away_;
    if (!hanging_) TellLater(std::move(done), ServeResult::kTurnedAway);
    return CallId{++last_call_};
  }
  const CallId id = Add(CallKind::kRequest, work, std::move(done));
  Settle();
  return id;
}

void UpstreamModel::Abandon(CallId id) {
  const auto key = static_cast<std::uint64_t>(id);
  const auto it = calls_.find(key);
  if (it == calls_.end()) return;
  it->second.done = nullptr;
  if (!spec_.cancel_stops_work) return;
  Advance();
  if (it->second.in_work) {
    in_work_.erase({it->second.finish, key});
  } else {
    --waiting_requests_;
  }
  --held_;
  calls_.erase(it);
  Settle();
}

void UpstreamModel::Probe(std::function<void(lb::LoadReport)> done) {
  if (silent_ || hanging_ || !running_) return;
  Advance();
  Add(CallKind::kProbe, spec_.probe_work, [this, done = std::move(done)](ServeResult result) {
    if (result == ServeResult::kServed) done(Report());
  });
  Settle();
}

void UpstreamModel::Crash() {
  if (!running_) return;
  Advance();
  running_ = false;
  if (!silent_) last_reset_process_ = process_;
  std::vector<std::uint64_t> ids;
  for (const auto& [id, call] : calls_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const std::uint64_t id : ids) {
    if (!silent_) TellLater(std::move(calls_.at(id).done), ServeResult::kReset);
  }
  calls_.clear();
  in_work_.clear();
  waiting_ahead_.clear();
  waiting_.clear();
  waiting_requests_ = held_ = connections_ = 0;
  crowded_ = false;
  crowding_since_.reset();
  Settle();
}

void UpstreamModel::Start() {
  if (running_) Crash();
  Advance();
  running_ = true;
  hanging_ = draining_ = false;
  ++process_;
  cold_since_ = scheduler_.Now();
  Settle();
}

void UpstreamModel::SetHanging(bool hanging) {
  Advance();
  hanging_ = hanging;
  Settle();
}

void UpstreamModel::SetSlowdown(double factor) {
  Advance();
  slowdown_ = std::max(factor, 1e-6);
  Settle();
}

void UpstreamModel::SetSilent(bool silent) { silent_ = silent; }

void UpstreamModel::SetDraining(bool draining) { draining_ = draining; }

Duration UpstreamModel::busy() const {
  const double since = core_rate_ > 0 ? Microseconds(scheduler_.Now() - updated_) : 0;
  const double cores = std::min<double>(cores_, static_cast<double>(in_work_.size()));
  return Duration(static_cast<Duration::rep>(busy_ + since * cores));
}

lb::LoadReport UpstreamModel::Report() const {
  lb::LoadReport report;
  report.in_flight = static_cast<double>(held_);
  report.queued = static_cast<double>(waiting_requests_);
  report.utilization = std::min(1.0, static_cast<double>(in_work_.size()) / cores_);
  return report;
}

UpstreamModel::CallId UpstreamModel::Add(CallKind kind, Duration work, OnServed done) {
  const std::uint64_t id = ++last_call_;
  calls_.emplace(id, Call{kind, std::max(0.0, Microseconds(work)), 0, false, std::move(done)});
  if (kind == CallKind::kRequest) {
    waiting_.push_back(id);
    ++waiting_requests_;
    ++held_;
  } else {
    waiting_ahead_.push_back(id);
  }
  return CallId{id};
}

void UpstreamModel::TellLater(OnServed done, ServeResult result) {
  if (!done) return;
  scheduler_.At(scheduler_.Now(), [done = std::move(done), result] { done(result); });
}

void UpstreamModel::Advance() {
  const TimePoint now = scheduler_.Now();
  const double passed = Microseconds(now - updated_);
  updated_ = now;
  if (passed <= 0 || in_work_.empty() || core_rate_ <= 0) return;
  attained_ += passed * JobRate();
  busy_ += passed * std::min<double>(cores_, static_cast<double>(in_work_.size()));
}

void UpstreamModel::Settle() {
  UpdateCrowding();
  core_rate_ = CoreRate();
  FillSlots();
  Arm();
}

void UpstreamModel::Wake(std::uint64_t wake) {
  if (wake != wake_) return;
  armed_for_ = TimePoint::max();
  Advance();
  std::vector<Finished> finished;
  FinishDue(finished);
  Settle();
  for (const Finished& one : finished) one.done(one.result);
}

void UpstreamModel::FinishDue(std::vector<Finished>& finished) {
  while (!in_work_.empty() && in_work_.begin()->first <= attained_ + kWorkTolerance) {
    const auto it = calls_.find(in_work_.begin()->second);
    in_work_.erase(in_work_.begin());
    Call call = std::move(it->second);
    calls_.erase(it);
    if (call.kind == CallKind::kRequest) {
      --held_;
      ++served_;
      served_work_ += call.work;
    }
    // The caller notices nothing and can't close it: it does not come up.
    if (call.kind == CallKind::kHandshake && silent_) --connections_;
    if (call.done && !silent_) finished.push_back({std::move(call.done), ServeResult::kServed});
  }
}

void UpstreamModel::FillSlots() {
  if (!running_ || hanging_) return;
  if (in_work_.empty()) attained_ = 0;  // keeps the sums small
  while (in_work_.size() < slots_) {
    const auto id = NextWaiting();
    if (!id) return;
    Call& call = calls_.at(*id);
    if (call.kind == CallKind::kRequest) --waiting_requests_;
    call.in_work = true;
    call.finish = attained_ + call.work;
    in_work_.emplace(call.finish, *id);
  }
}

std::optional<std::uint64_t> UpstreamModel::NextWaiting() {
  for (auto* queue : {&waiting_ahead_, &waiting_}) {
    while (!queue->empty()) {
      const std::uint64_t id = queue->front();
      queue->pop_front();
      if (calls_.contains(id)) return id;
    }
  }
  return std::nullopt;
}

void UpstreamModel::UpdateCrowding() {
  if (spec_.crowded_at <= 0) return;
  const TimePoint now = scheduler_.Now();
  const double per_core = static_cast<double>(held_) / cores_;
  const bool turning = crowded_ ? per_core < spec_.rested_below : per_core > spec_.crowded_at;
  if (!turning) return crowding_since_.reset();
  if (!crowding_since_) crowding_since_ = now;
  if (now - *crowding_since_ < (crowded_ ? spec_.rest_time : spec_.crowded_after)) return;
  crowded_ = !crowded_;
  crowding_since_.reset();
}

void UpstreamModel::Arm() {
  const TimePoint now = scheduler_.Now();
  TimePoint next = TimePoint::max();
  if (!in_work_.empty() && core_rate_ > 0) {
    const double left = std::max(0.0, in_work_.begin()->first - attained_) / JobRate();
    next = now + Duration(static_cast<Duration::rep>(std::ceil(left)));
  }
  if (crowding_since_) {
    next = std::min(next, *crowding_since_ + (crowded_ ? spec_.rest_time : spec_.crowded_after));
  }
  if (cold_since_ && running_) {
    if (now - *cold_since_ >= spec_.slow_start_duration) cold_since_.reset();
    if (cold_since_)
      next = std::min(next, now + std::max(spec_.slow_start_duration / kWarmthSteps, Duration(1)));
  }
  // An earlier wake-up arms this one again.
  if (next >= armed_for_) return;
  armed_for_ = next;
  scheduler_.At(next, [this, wake = ++wake_] { Wake(wake); });
}

double UpstreamModel::Warmth() const {
  if (!cold_since_ || spec_.slow_start_duration <= Duration::zero()) return 1;
  const double age = Microseconds(scheduler_.Now() - *cold_since_) / Microseconds(spec_.slow_start_duration);
  return std::clamp(spec_.slow_start_initial_share + (1 - spec_.slow_start_initial_share) * age, 0.0, 1.0);
}

double UpstreamModel::CoreRate() const {
  if (!running_ || hanging_) return 0;
  const double table = static_cast<double>(connections_) / static_cast<double>(most_connections_);
  const double left = std::max(0.0, 1 - spec_.full_table_cost * table);
  return instance_.speed * Warmth() * left / slowdown_ / (crowded_ ? spec_.crowded_slowdown : 1);
}

double UpstreamModel::JobRate() const {
  return core_rate_ * std::min(1.0, cores_ / static_cast<double>(in_work_.size()));
}

}  // namespace lb::lab
