#include "lab/model/upstream_model.h"

#include <algorithm>
#include <cmath>

namespace lb::lab {
namespace {

// The core rate is recomputed in this many steps over the slow start.
constexpr int kSlowStartSteps = 100;
// A call with less than this many microseconds of work left counts as done; rounding errors of the sums are
// far smaller.
constexpr double kWorkTolerance = 1e-3;

double Microseconds(Duration duration) { return static_cast<double>(duration.count()); }

std::size_t ScaleToCores(double per_core, int cores, std::size_t least) {
  return std::max(least, static_cast<std::size_t>(std::max(0.0, std::round(per_core * cores))));
}

}  // namespace

UpstreamModel::UpstreamModel(const UpstreamInstance& instance, const UpstreamSpec& spec, Scheduler& scheduler)
    : instance_(instance),
      spec_(spec),
      scheduler_(scheduler),
      cores_(instance.kind->cores),
      slots_(ScaleToCores(instance.kind->slots_per_core, instance.kind->cores, 1)),
      queue_(ScaleToCores(instance.kind->queue_per_core, instance.kind->cores, 0)),
      max_connections_(ScaleToCores(instance.kind->connections_per_core, instance.kind->cores, 1)),
      updated_(scheduler.Now()) {
  core_rate_ = CoreRate();
}

void UpstreamModel::Connect(std::function<void(ConnectResult)> done) {
  if (silent_ || hanging_) return;
  UpdateAttainedService();
  const auto on_handshake_done = [done = std::move(done)](ServeResult result) {
    done(result == ServeResult::kServed ? ConnectResult::kAccepted : ConnectResult::kRefused);
  };
  if (!running_ || connections_ >= max_connections_)
    return ScheduleCallback(on_handshake_done, ServeResult::kReset);
  ++connections_;
  Add(CallKind::kHandshake, spec_.handshake_work, on_handshake_done);
  DispatchAndSchedule();
}

void UpstreamModel::Disconnect() {
  if (connections_ == 0) return;
  UpdateAttainedService();
  --connections_;
  DispatchAndSchedule();
}

UpstreamModel::CallId UpstreamModel::Serve(Duration work, OnServed done) {
  if (silent_) return CallId{++last_call_};
  if (!running_) {
    ScheduleCallback(std::move(done), ServeResult::kReset);
    return CallId{++last_call_};
  }
  UpdateAttainedService();
  const bool full = waiting_requests_ >= queue_ && in_work_.size() >= slots_;
  if (draining_ || full) {
    ++rejected_requests_;
    if (!hanging_) ScheduleCallback(std::move(done), ServeResult::kRejected);
    return CallId{++last_call_};
  }
  const CallId id = Add(CallKind::kRequest, work, std::move(done));
  DispatchAndSchedule();
  return id;
}

void UpstreamModel::Abandon(CallId id) {
  const auto key = static_cast<std::uint64_t>(id);
  const auto it = calls_.find(key);
  if (it == calls_.end()) return;
  it->second.done = nullptr;
  if (!spec_.cancel_stops_work) return;
  UpdateAttainedService();
  if (it->second.in_work) {
    in_work_.erase({it->second.finish, key});
  } else {
    --waiting_requests_;
  }
  --outstanding_requests_;
  calls_.erase(it);
  DispatchAndSchedule();
}

void UpstreamModel::Probe(std::function<void(lb::LoadReport)> done) {
  if (silent_ || hanging_ || !running_) return;
  UpdateAttainedService();
  Add(CallKind::kProbe, spec_.probe_work, [this, done = std::move(done)](ServeResult result) {
    if (result == ServeResult::kServed) done(Report());
  });
  DispatchAndSchedule();
}

void UpstreamModel::Crash() {
  if (!running_) return;
  UpdateAttainedService();
  running_ = false;
  if (!silent_) last_reset_process_ = process_;
  std::vector<std::uint64_t> ids;
  for (const auto& [id, call] : calls_) ids.push_back(id);
  std::sort(ids.begin(), ids.end());
  for (const std::uint64_t id : ids) {
    if (!silent_) ScheduleCallback(std::move(calls_.at(id).done), ServeResult::kReset);
  }
  calls_.clear();
  in_work_.clear();
  waiting_ahead_.clear();
  waiting_.clear();
  waiting_requests_ = outstanding_requests_ = connections_ = 0;
  overloaded_ = false;
  overload_change_since_.reset();
  DispatchAndSchedule();
}

void UpstreamModel::Start() {
  if (running_) Crash();
  UpdateAttainedService();
  running_ = true;
  hanging_ = draining_ = false;
  ++process_;
  cold_since_ = scheduler_.Now();
  DispatchAndSchedule();
}

void UpstreamModel::SetHanging(bool hanging) {
  UpdateAttainedService();
  hanging_ = hanging;
  DispatchAndSchedule();
}

void UpstreamModel::SetSlowdown(double factor) {
  UpdateAttainedService();
  slowdown_ = std::max(factor, 1e-6);
  DispatchAndSchedule();
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
  report.in_flight = static_cast<double>(outstanding_requests_);
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
    ++outstanding_requests_;
  } else {
    waiting_ahead_.push_back(id);
  }
  return CallId{id};
}

void UpstreamModel::ScheduleCallback(OnServed done, ServeResult result) {
  if (!done) return;
  scheduler_.At(scheduler_.Now(), [done = std::move(done), result] { done(result); });
}

void UpstreamModel::UpdateAttainedService() {
  const TimePoint now = scheduler_.Now();
  const double passed = Microseconds(now - updated_);
  updated_ = now;
  if (passed <= 0 || in_work_.empty() || core_rate_ <= 0) return;
  attained_ += passed * JobRate();
  busy_ += passed * std::min<double>(cores_, static_cast<double>(in_work_.size()));
}

void UpstreamModel::DispatchAndSchedule() {
  UpdateOverload();
  core_rate_ = CoreRate();
  FillSlots();
  ScheduleTimer();
}

void UpstreamModel::OnTimer(std::uint64_t generation) {
  if (generation != timer_generation_) return;
  timer_due_ = TimePoint::max();
  UpdateAttainedService();
  std::vector<Finished> finished;
  FinishDue(finished);
  DispatchAndSchedule();
  for (const Finished& one : finished) one.done(one.result);
}

void UpstreamModel::FinishDue(std::vector<Finished>& finished) {
  while (!in_work_.empty() && in_work_.begin()->first <= attained_ + kWorkTolerance) {
    const auto it = calls_.find(in_work_.begin()->second);
    in_work_.erase(in_work_.begin());
    Call call = std::move(it->second);
    calls_.erase(it);
    if (call.kind == CallKind::kRequest) {
      --outstanding_requests_;
      ++served_;
      served_work_ += call.work;
    }
    // The caller of a silent machine never learns of the connection and cannot close it, so it is released
    // here.
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

void UpstreamModel::UpdateOverload() {
  if (spec_.overload_at <= 0) return;
  const TimePoint now = scheduler_.Now();
  const double per_core = static_cast<double>(outstanding_requests_) / cores_;
  const bool meets_change_condition =
      overloaded_ ? per_core < spec_.recovered_below : per_core > spec_.overload_at;
  if (!meets_change_condition) return overload_change_since_.reset();
  if (!overload_change_since_) overload_change_since_ = now;
  if (now - *overload_change_since_ < (overloaded_ ? spec_.recovery_time : spec_.overload_after)) return;
  overloaded_ = !overloaded_;
  overload_change_since_.reset();
}

void UpstreamModel::ScheduleTimer() {
  const TimePoint now = scheduler_.Now();
  TimePoint next = TimePoint::max();
  if (!in_work_.empty() && core_rate_ > 0) {
    const double left = std::max(0.0, in_work_.begin()->first - attained_) / JobRate();
    next = now + Duration(static_cast<Duration::rep>(std::ceil(left)));
  }
  if (overload_change_since_) {
    next =
        std::min(next, *overload_change_since_ + (overloaded_ ? spec_.recovery_time : spec_.overload_after));
  }
  if (cold_since_ && running_) {
    if (now - *cold_since_ >= spec_.slow_start_duration) cold_since_.reset();
    if (cold_since_)
      next = std::min(next, now + std::max(spec_.slow_start_duration / kSlowStartSteps, Duration(1)));
  }
  // A timer that is due earlier reschedules this one when it runs.
  if (next >= timer_due_) return;
  timer_due_ = next;
  scheduler_.At(next, [this, generation = ++timer_generation_] { OnTimer(generation); });
}

double UpstreamModel::SlowStartFactor() const {
  if (!cold_since_ || spec_.slow_start_duration <= Duration::zero()) return 1;
  const double age = Microseconds(scheduler_.Now() - *cold_since_) / Microseconds(spec_.slow_start_duration);
  return std::clamp(spec_.slow_start_initial_share + (1 - spec_.slow_start_initial_share) * age, 0.0, 1.0);
}

double UpstreamModel::CoreRate() const {
  if (!running_ || hanging_) return 0;
  const double table = static_cast<double>(connections_) / static_cast<double>(max_connections_);
  const double left = std::max(0.0, 1 - spec_.full_table_cost * table);
  return instance_.speed * SlowStartFactor() * left / slowdown_ / (overloaded_ ? spec_.overload_slowdown : 1);
}

double UpstreamModel::JobRate() const {
  return core_rate_ * std::min(1.0, cores_ / static_cast<double>(in_work_.size()));
}

}  // namespace lb::lab
