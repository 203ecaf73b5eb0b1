// RunReal(): the phases of a run on the real clock. real_measurements.h declares the measurements,
// machine_limits.h the limits on the machine's resources.
//
// Threads: one for discovery; one for the hollow sidecars with their models, clients and the faults; several
// for the control clients of hollow sidecars; one each for the HTTP upstreams and the HTTP load of real
// sidecars. The caller's thread starts processes, takes samples and checks the limits.
#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "lab/engine.h"
#include "lab/measure/fleet_rules.h"
#include "lab/model/scheduler.h"
#include "lab/real/cpu_clock.h"
#include "lab/real/discovery_server.h"
#include "lab/real/machine_limits.h"
#include "lab/real/real_fault_target.h"
#include "lab/real/real_fleet.h"
#include "lab/real/real_measurements.h"
#include "lab/real/sidecar_operator.h"
#include "lab/real/upstream_operator.h"
#include "lab/real/worker_thread.h"
#include "lab/spec/durations.h"
#include "lab/virtual/hollow_fleet.h"

namespace lb::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A run is aborted when it takes longer than this multiple of the planned time.
constexpr int kTimeLimitFactor = 3;

// ---- Phases ----
constexpr Duration kStartTime = seconds(10);  // planned, until all hollow sidecars have an endpoint list
constexpr Duration kIdleTime = 2 * sidecar::kAgentWatch;
constexpr Duration kStabilizationTime = milliseconds(500);
constexpr int kTrialChanges = 6;  // list changes made one at a time before the load starts
constexpr Duration kResultsMargin = seconds(1);
// Time to wait for membership notices in flight; notices not received by then count as missing.
constexpr Duration kNoticesMargin = seconds(15);
constexpr Duration kThreadTimeout = seconds(10);  // for a call on another, possibly busy thread
constexpr Duration kCheckInterval = milliseconds(200);

constexpr const char* kUnusedEndpoint = "127.0.0.1:9";  // for upstreams that no real sidecar calls

std::unique_ptr<RealFleet> MakeRealFleet(const Experiment& experiment, const Deployment& deployment,
                                         const std::string& program, FleetRules& rules) {
  CheckFitsMachine(experiment, deployment);
  EnsureDescriptorsForRun(experiment, deployment);
  if (CountRealSidecars(deployment) == 0) return nullptr;
  HttpUpstreamOptions options;
  options.on_attempt = [&rules](const ArrivedAttempt& attempt) {
    if (attempt.sidecar) rules.Attempted(*attempt.sidecar, attempt.upstream, attempt.work, attempt.at);
  };
  options.on_start = [&rules](std::size_t upstream, TimePoint at) { rules.Started(upstream, at); };
  return std::make_unique<RealFleet>(experiment, deployment, program, std::move(options));
}

Duration LongestDeadline(const Experiment& experiment) {
  Duration longest{};
  for (const ClassSpec& spec : experiment.classes) longest = std::max(longest, spec.deadline);
  return longest;
}

std::vector<MembershipEntry> InitialEntries(const Deployment& deployment, const RealFleet* real) {
  std::vector<MembershipEntry> entries;
  for (const UpstreamInstance& upstream : deployment.upstreams) {
    MembershipEntry entry;
    entry.id = upstream.id;
    entry.service = upstream.service;
    entry.zone = upstream.zone;
    entry.kind = upstream.kind->name;
    entry.endpoint = real != nullptr ? real->UpstreamAddress(upstream.index) : kUnusedEndpoint;
    entry.weight = upstream.weight;
    entries.push_back(std::move(entry));
  }
  return entries;
}

DiscoveryServerOptions ServerOptions(const Experiment& experiment, const Deployment& deployment,
                                     FleetRules& rules) {
  DiscoveryServerOptions options;
  options.on_request = experiment.discovery.on_request;
  options.on_known = [&rules](std::size_t sidecar, const MembershipEntry& entry, TimePoint at) {
    rules.RecordReceivedEntry(sidecar, entry, at);
  };
  options.notice_delay_s = experiment.discovery.notice_delay_s;
  options.seed = DeriveSeed(experiment.seed, "notices");
  for (const SidecarInstance& sidecar : deployment.sidecars) {
    // Sidecars that are not emulated are assigned a service without upstreams, and so get an empty list.
    const bool emulated = sidecar.real || !experiment.hollow_absent;
    options.services.push_back(emulated ? ListedService(experiment, sidecar) : experiment.services);
  }
  return options;
}

class RealRun {
 public:
  RealRun(const Experiment& experiment, const Deployment& deployment, const std::string& program,
          const OnSample& on_sample);
  ~RealRun();
  Metrics Run();

 private:
  std::unique_ptr<SidecarOperator> MakeOperator();
  void StartSidecars();
  void MeasureIdleCost();
  void MeasureChangeCost();
  void ChangeAndWait(std::size_t upstream, double factor);
  ControlCost ControlCostSoFar();
  void RunLoadUntil(TimePoint end);  // takes samples
  void BeginMeasuring();
  void EndMeasuring();
  // Stops the load and waits, with time limits, for open requests, stalled clients, restarting sidecars and
  // notices.
  void FinishRequests();

  void RunTasksUntil(TimePoint end);
  bool Await(const std::function<bool()>& condition, Duration timeout);
  void CheckLimits();
  Duration PlannedTime() const;

  void TakeSample();
  Metrics Totals();

  // Runs `read` on the thread of the hollow sidecars and returns its result.
  template <typename Read>
  auto CallOnHollowThread(Read read) {
    return hollow_thread_.RunAndWait(std::move(read), kThreadTimeout);
  }

  const Experiment& experiment_;
  const Deployment& deployment_;
  const OnSample& on_sample_;
  const TimePoint started_at_ = sidecar::Now();
  const TimePoint time_limit_ = started_at_ + kTimeLimitFactor * PlannedTime();
  const double memory_limit_mb_ = MemoryLimitMb();

  boost::asio::io_context tasks_{1};  // tasks that other threads post to the caller's thread
  const boost::asio::executor_work_guard<boost::asio::io_context::executor_type> tasks_work_guard_{
      tasks_.get_executor()};
  FleetRules rules_;
  const std::unique_ptr<RealFleet> real_;
  const MembershipRegistry initial_registry_;
  DiscoveryServer discovery_;
  WorkerThread hollow_thread_{"the thread of the hollow sidecars"};
  RealScheduler scheduler_{hollow_thread_.io()};
  HollowFleet hollow_;
  UpstreamOperator upstreams_;
  const std::unique_ptr<SidecarOperator> real_operator_;  // null without real sidecars
  RealFaultTarget fault_target_;
  FaultSchedule faults_;

  RealMeasurements measurements_;
};

RealRun::RealRun(const Experiment& experiment, const Deployment& deployment, const std::string& program,
                 const OnSample& on_sample)
    : experiment_(experiment),
      deployment_(deployment),
      on_sample_(on_sample),
      rules_(experiment, deployment, SidecarSettings(experiment, deployment, deployment.sidecars.front())),
      real_(MakeRealFleet(experiment, deployment, program, rules_)),
      initial_registry_(InitialEntries(deployment, real_.get())),
      discovery_(InitialEntries(deployment, real_.get()), ServerOptions(experiment, deployment, rules_)),
      hollow_(hollow_thread_.io(), scheduler_, experiment, deployment, discovery_),
      upstreams_(deployment, initial_registry_, scheduler_, discovery_, hollow_, real_.get()),
      real_operator_(MakeOperator()),
      fault_target_(deployment, scheduler_, discovery_, hollow_, real_.get(), real_operator_.get(),
                    upstreams_),
      faults_(deployment, scheduler_, fault_target_),
      measurements_(experiment, deployment) {}

// Stops the thread before the members are destroyed, as its handlers refer to them.
RealRun::~RealRun() { hollow_thread_.Stop(); }

std::unique_ptr<SidecarOperator> RealRun::MakeOperator() {
  if (!real_) return nullptr;
  return std::make_unique<SidecarOperator>(
      tasks_, *real_, discovery_, ShutdownTime(LongestDeadline(experiment_)), [this](std::size_t sidecar) {
        const auto service = ListedService(experiment_, deployment_.sidecars[sidecar]);
        return CallOnHollowThread([&] { return ToJson(upstreams_.registry().Since(std::nullopt, service)); });
      });
}

Metrics RealRun::Run() {
  StartSidecars();
  MeasureIdleCost();
  MeasureChangeCost();
  const TimePoint start = sidecar::Now();
  measurements_.StartLoad(start);
  CallOnHollowThread([this, start] {
    hollow_.Take();
    hollow_.StartLoad();
    faults_.Schedule(start);
  });
  if (real_) real_->StartLoad();
  RunLoadUntil(start + experiment_.warm_up);
  BeginMeasuring();
  RunLoadUntil(measurements_.measured_until());
  EndMeasuring();
  FinishRequests();
  if (measurements_.saturated() > Duration::zero()) {
    std::cerr
        << "warning: for " << ToSeconds(measurements_.saturated())
        << " s the hollow sidecars' thread was saturated; the latencies of their requests are too high\n";
  }
  return Totals();
}

// ---- Phases ----

void RealRun::StartSidecars() {
  const double before_mb = ResidentMemoryMb();
  hollow_.StartSidecars(initial_registry_);
  hollow_thread_.Start();
  const bool all =
      Await([this] { return CallOnHollowThread([this] { return hollow_.AllReceivedLists(); }); }, kStartTime);
  if (!all && !experiment_.discovery.on_request)
    throw std::runtime_error("not all hollow sidecars received an endpoint list");
  measurements_.SetHollowMemory(std::max(0.0, ResidentMemoryMb() - before_mb));
  if (real_) real_->StartSidecars(discovery_, initial_registry_);
  measurements_.SetDiscoveryCounters(discovery_.Counters());
}

void RealRun::MeasureIdleCost() {
  if (hollow_.sidecars() == 0) return;
  RunTasksUntil(sidecar::Now() + kStabilizationTime);
  const TimePoint from = sidecar::Now();
  const ControlCost before = ControlCostSoFar();
  RunTasksUntil(from + kIdleTime);
  const ControlCost after = ControlCostSoFar();
  measurements_.SetIdleCost(ToSeconds(sidecar::Now() - from), after - before);
}

// Makes changes like those of the experiment's first change fault before the load starts, one at a time.
// Every second change reverts the one before.
void RealRun::MeasureChangeCost() {
  const auto fault = std::find_if(
      deployment_.faults.begin(), deployment_.faults.end(),
      [](const FaultEvent& event) { return event.kind == FaultKind::kChange && !event.upstreams.empty(); });
  if (fault == deployment_.faults.end() || hollow_.sidecars() == 0) return;
  const TimePoint from = sidecar::Now();
  const ControlCost before = ControlCostSoFar();
  for (std::size_t i = 0; i < kTrialChanges; ++i) {
    const std::size_t upstream = fault->upstreams[i / 2 % fault->upstreams.size()];
    ChangeAndWait(upstream, i % 2 == 0 ? kChangedWeight : 1);
  }
  const ControlCost after = ControlCostSoFar();
  measurements_.SetChangeCost(ToSeconds(sidecar::Now() - from), after - before);
}

void RealRun::ChangeAndWait(std::size_t upstream, double factor) {
  CallOnHollowThread([=, this] { upstreams_.ChangeWeight(upstream, factor); });
  const double longest_delay_s = experiment_.discovery.notice_delay_s.high;
  RunTasksUntil(sidecar::Now() + kStabilizationTime +
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(longest_delay_s)));
  Await(
      [this] {
        return CallOnHollowThread(
                   [this] { return hollow_.propagation().CountUndelivered(sidecar::Now()); }) == 0;
      },
      kNoticesMargin);
}

ControlCost RealRun::ControlCostSoFar() {
  ControlCost cost = CallOnHollowThread([this] {
    return ControlCost{hollow_.CpuSeconds(), 0,
                       static_cast<double>(hollow_.propagation().delays_ms().count())};
  });
  const DiscoveryCounters counters = discovery_.Counters();
  for (const SidecarInstance& sidecar : deployment_.sidecars) {
    if (!sidecar.real)
      cost.bytes_to_sidecars += static_cast<double>(counters.agents[sidecar.index].bytes_out);
  }
  return cost;
}

void RealRun::RunLoadUntil(TimePoint end) {
  while (sidecar::Now() < end) {
    RunTasksUntil(
        std::min(end, measurements_.sample_start() + std::max(experiment_.sample_every, kCheckInterval)));
    TakeSample();
  }
}

void RealRun::BeginMeasuring() {
  const TimePoint now = sidecar::Now();
  CallOnHollowThread([this, now] { hollow_.BeginMeasuring(now, now + experiment_.length); });
  measurements_.BeginMeasuring(now, discovery_.Counters());
}

void RealRun::EndMeasuring() {
  measurements_.EndMeasuring(discovery_.Counters());
  CallOnHollowThread([this] { hollow_.EndMeasuring(); });
}

void RealRun::FinishRequests() {
  CallOnHollowThread([this] { hollow_.StopLoad(); });
  if (real_) real_->StopLoad();
  const Duration longest = LongestDeadline(experiment_);
  Await([this] { return CallOnHollowThread([this] { return hollow_.open_requests(); }) == 0; },
        longest + kResultsMargin);
  if (real_) {
    Await([this] { return real_->OpenRequests() == 0; },
          longest + experiment_.clients.late_answer_wait + kResultsMargin);
    Await([this] { return real_->StalledClientsOpen() == 0; }, kStalledClientLimit + kResultsMargin);
    Await([this] { return real_operator_->idle(); }, kStartTime);
  }
  Await(
      [this] {
        return CallOnHollowThread(
                   [this] { return hollow_.propagation().CountUndelivered(sidecar::Now()); }) == 0;
      },
      kNoticesMargin);
}

// ---- The caller's thread ----

void RealRun::RunTasksUntil(TimePoint end) {
  do {
    tasks_.run_until(sidecar::ToSteady(std::min(end, sidecar::Now() + kCheckInterval)));
    CheckLimits();
  } while (sidecar::Now() < end);
}

bool RealRun::Await(const std::function<bool()>& condition, Duration timeout) {
  const TimePoint end = sidecar::Now() + timeout;
  while (!condition()) {
    if (sidecar::Now() >= end) return false;
    RunTasksUntil(sidecar::Now() + kCheckInterval);
  }
  return true;
}

void RealRun::CheckLimits() {
  hollow_thread_.RethrowFailure();
  hollow_.RethrowFailure();
  if (sidecar::Now() > time_limit_) throw std::runtime_error("the run exceeds its time limit");
  const double resident_mb = ResidentMemoryMb();
  if (resident_mb > memory_limit_mb_) {
    throw std::runtime_error("the run uses " + std::to_string(resident_mb) + " MB of memory, more than " +
                             std::to_string(memory_limit_mb_) + " MB");
  }
}

Duration RealRun::PlannedTime() const {
  const auto trial = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(experiment_.discovery.notice_delay_s.high) + kStabilizationTime);
  const Duration deadline = LongestDeadline(experiment_);
  return kStartTime + kIdleTime + kTrialChanges * trial + experiment_.warm_up + experiment_.length +
         deadline + kResultsMargin;
}

// ---- Results ----

void RealRun::TakeSample() {
  RealWindows windows;
  windows.hollow = CallOnHollowThread([this] { return hollow_.Take(); });
  if (real_) windows.real = real_->Take();
  windows.discovery = discovery_.Counters();
  const Sample sample = measurements_.AddWindows(windows, sidecar::Now());
  if (on_sample_) on_sample_(sample);
}

Metrics RealRun::Totals() {
  RealRunEnd end;
  end.notices_missing = static_cast<double>(
      CallOnHollowThread([this] { return hollow_.propagation().CountUndelivered(sidecar::Now()); }));
  hollow_thread_.Stop();
  end.hollow = hollow_.totals();
  end.notice_delays_ms = hollow_.propagation().delays_ms();
  if (real_) {
    measurements_.AddRemaining(real_->Take());
    end.rules = rules_.counters();
    end.stops = real_operator_->counters();
    for (const std::size_t i : real_->SidecarIndices()) end.sidecars_ended += real_->SidecarRuns(i) ? 0 : 1;
  }
  end.seconds = ToSeconds(sidecar::Now() - started_at_);
  return measurements_.Totals(end);
}

}  // namespace

Metrics RunReal(const Experiment& experiment, const Deployment& deployment, const std::string& program,
                const OnSample& on_sample) {
  return RealRun(experiment, deployment, program, on_sample).Run();
}

}  // namespace lb::lab
