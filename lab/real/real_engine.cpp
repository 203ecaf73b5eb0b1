// RunReal(): the phases of a run on the machine's clock. What it measures: real_measurements.h; what it may
// take of the machine: machine_limits.h.
//
// Threads: discovery; the hollow sidecars with their models, clients and the faults; a few for their control
// clients; the HTTP upstreams and the HTTP load of real sidecars. The caller's thread starts processes, takes
// samples and watches the limits.
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

// A run that takes so many times the planned time is given up.
constexpr int kTimeLimitFactor = 3;

// ---- Phases ----
constexpr Duration kStartTime = seconds(10);  // planned, until all hold lists
constexpr Duration kRestTime = 2 * sidecar::kAgentWatch;
constexpr Duration kSettleTime = milliseconds(500);
constexpr int kTrialChanges = 6;  // one by one, before the load
constexpr Duration kResultsMargin = seconds(1);
// Beyond the end, for notices in flight; what is not received by then counts as missing.
constexpr Duration kNoticesMargin = seconds(15);
constexpr Duration kThreadTimeout = seconds(10);  // of a busy thread
constexpr Duration kCheckInterval = milliseconds(200);

constexpr const char* kUnusedEndpoint = "127.0.0.1:9";  // of upstreams that no real sidecar calls

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

std::vector<MembershipEntry> FirstEntries(const Deployment& deployment, const RealFleet* real) {
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
    rules.Told(sidecar, entry, at);
  };
  options.notice_delay_s = experiment.discovery.notice_delay_s;
  options.seed = DeriveSeed(experiment.seed, "notices");
  for (const SidecarInstance& sidecar : deployment.sidecars) {
    // Those that are not played get the list of a service without upstreams: an empty one.
    const bool played = sidecar.real || !experiment.hollow_absent;
    options.services.push_back(played ? ListedService(experiment, sidecar) : experiment.services);
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
  void MeasureRest();
  void MeasureChanges();
  void ChangeAndWait(std::size_t upstream, double factor);
  ControlCost ControlCostSoFar();
  void PlayUntil(TimePoint end);  // taking samples
  void BeginMeasuring();
  void EndMeasuring();
  void PlayOut();  // until all requests have their results and all notices had their time

  void RunTasksUntil(TimePoint end);
  bool Await(const std::function<bool()>& condition, Duration patience);
  void CheckLimits();
  Duration PlannedTime() const;

  void TakeSample();
  Metrics Totals();

  // On the hollow sidecars' thread.
  template <typename Read>
  auto AskHollow(Read read) {
    return hollow_thread_.Ask(std::move(read), kThreadTimeout);
  }

  const Experiment& experiment_;
  const Deployment& deployment_;
  const OnSample& on_sample_;
  const TimePoint began_ = sidecar::Now();
  const TimePoint time_limit_ = began_ + kTimeLimitFactor * PlannedTime();
  const double memory_limit_mb_ = MemoryLimitMb();

  boost::asio::io_context tasks_{1};  // what other threads ask of the caller's thread
  const boost::asio::executor_work_guard<boost::asio::io_context::executor_type> tasks_stay_{
      tasks_.get_executor()};
  FleetRules rules_;
  const std::unique_ptr<RealFleet> real_;
  const MembershipRegistry first_registry_;
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
      first_registry_(FirstEntries(deployment, real_.get())),
      discovery_(FirstEntries(deployment, real_.get()), ServerOptions(experiment, deployment, rules_)),
      hollow_(hollow_thread_.io(), scheduler_, experiment, deployment, discovery_),
      upstreams_(deployment, first_registry_, scheduler_, discovery_, hollow_, real_.get()),
      real_operator_(MakeOperator()),
      fault_target_(deployment, scheduler_, discovery_, hollow_, real_.get(), real_operator_.get(),
                    upstreams_),
      faults_(deployment, scheduler_, fault_target_),
      measurements_(experiment, deployment) {}

// Its handlers refer to all the rest.
RealRun::~RealRun() { hollow_thread_.Stop(); }

std::unique_ptr<SidecarOperator> RealRun::MakeOperator() {
  if (!real_) return nullptr;
  return std::make_unique<SidecarOperator>(
      tasks_, *real_, discovery_, ShutdownTime(LongestDeadline(experiment_)), [this](std::size_t sidecar) {
        const auto service = ListedService(experiment_, deployment_.sidecars[sidecar]);
        return AskHollow([&] { return ToJson(upstreams_.registry().Since(std::nullopt, service)); });
      });
}

Metrics RealRun::Run() {
  StartSidecars();
  MeasureRest();
  MeasureChanges();
  const TimePoint start = sidecar::Now();
  measurements_.StartLoad(start);
  AskHollow([this, start] {
    hollow_.Take();
    hollow_.StartLoad();
    faults_.Schedule(start);
  });
  if (real_) real_->StartLoad();
  PlayUntil(start + experiment_.warm_up);
  BeginMeasuring();
  PlayUntil(measurements_.measured_until());
  EndMeasuring();
  PlayOut();
  if (measurements_.saturated() > Duration::zero()) {
    std::cerr << "warning: for " << ToSeconds(measurements_.saturated())
              << " s one thread could not carry the hollow sidecars; their requests took longer for it\n";
  }
  return Totals();
}

// ---- Phases ----

void RealRun::StartSidecars() {
  const double before_mb = ResidentMemoryMb();
  hollow_.StartSidecars(first_registry_);
  hollow_thread_.Start();
  const bool all = Await([this] { return AskHollow([this] { return hollow_.AllHoldLists(); }); }, kStartTime);
  if (!all && !experiment_.discovery.on_request) throw std::runtime_error("hollow sidecars got no list");
  measurements_.SetHollowMemory(std::max(0.0, ResidentMemoryMb() - before_mb));
  if (real_) real_->StartSidecars(discovery_, first_registry_);
  measurements_.SetDiscoveryCounters(discovery_.Counters());
}

void RealRun::MeasureRest() {
  if (hollow_.sidecars() == 0) return;
  RunTasksUntil(sidecar::Now() + kSettleTime);
  const TimePoint from = sidecar::Now();
  const ControlCost before = ControlCostSoFar();
  RunTasksUntil(from + kRestTime);
  const ControlCost after = ControlCostSoFar();
  measurements_.SetRest(ToSeconds(sidecar::Now() - from), after - before);
}

// Those of an experiment's changes, ahead of time: each alone, with no load beside it. Every second one takes
// the one before back.
void RealRun::MeasureChanges() {
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
  measurements_.SetChanges(ToSeconds(sidecar::Now() - from), after - before);
}

void RealRun::ChangeAndWait(std::size_t upstream, double factor) {
  AskHollow([=, this] { upstreams_.ChangeWeight(upstream, factor); });
  const double longest_delay_s = experiment_.discovery.notice_delay_s.high;
  RunTasksUntil(sidecar::Now() + kSettleTime +
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(longest_delay_s)));
  Await([this] { return AskHollow([this] { return hollow_.propagation().Missing(sidecar::Now()); }) == 0; },
        kNoticesMargin);
}

ControlCost RealRun::ControlCostSoFar() {
  ControlCost cost = AskHollow([this] {
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

void RealRun::PlayUntil(TimePoint end) {
  while (sidecar::Now() < end) {
    RunTasksUntil(
        std::min(end, measurements_.sample_start() + std::max(experiment_.sample_every, kCheckInterval)));
    TakeSample();
  }
}

void RealRun::BeginMeasuring() {
  const TimePoint now = sidecar::Now();
  AskHollow([this, now] { hollow_.BeginMeasuring(now, now + experiment_.length); });
  measurements_.BeginMeasuring(now, discovery_.Counters());
}

void RealRun::EndMeasuring() {
  measurements_.EndMeasuring(discovery_.Counters());
  AskHollow([this] { hollow_.EndMeasuring(); });
}

void RealRun::PlayOut() {
  AskHollow([this] { hollow_.StopLoad(); });
  if (real_) real_->StopLoad();
  const Duration longest = LongestDeadline(experiment_);
  Await([this] { return AskHollow([this] { return hollow_.open_requests(); }) == 0; },
        longest + kResultsMargin);
  if (real_) {
    Await([this] { return real_->OpenRequests() == 0; },
          longest + experiment_.clients.listens_on + kResultsMargin);
    Await([this] { return real_->StalledClientsOpen() == 0; }, kStalledClientLimit + kResultsMargin);
    Await([this] { return real_operator_->idle(); }, kStartTime);
  }
  Await([this] { return AskHollow([this] { return hollow_.propagation().Missing(sidecar::Now()); }) == 0; },
        kNoticesMargin);
}

// ---- The caller's thread ----

void RealRun::RunTasksUntil(TimePoint end) {
  do {
    tasks_.run_until(sidecar::ToSteady(std::min(end, sidecar::Now() + kCheckInterval)));
    CheckLimits();
  } while (sidecar::Now() < end);
}

bool RealRun::Await(const std::function<bool()>& condition, Duration patience) {
  const TimePoint end = sidecar::Now() + patience;
  while (!condition()) {
    if (sidecar::Now() >= end) return false;
    RunTasksUntil(sidecar::Now() + kCheckInterval);
  }
  return true;
}

void RealRun::CheckLimits() {
  hollow_thread_.RethrowFailure();
  hollow_.RethrowFailure();
  if (sidecar::Now() > time_limit_) throw std::runtime_error("the run takes far longer than planned");
  const double resident_mb = ResidentMemoryMb();
  if (resident_mb > memory_limit_mb_) {
    throw std::runtime_error("the run has grown to " + std::to_string(resident_mb) + " MB, more than " +
                             std::to_string(memory_limit_mb_));
  }
}

Duration RealRun::PlannedTime() const {
  const auto trial = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(experiment_.discovery.notice_delay_s.high) + kSettleTime);
  const Duration deadline = LongestDeadline(experiment_);
  return kStartTime + kRestTime + kTrialChanges * trial + experiment_.warm_up + experiment_.length +
         deadline + kResultsMargin;
}

// ---- Results ----

void RealRun::TakeSample() {
  RealWindows windows;
  windows.hollow = AskHollow([this] { return hollow_.Take(); });
  if (real_) windows.real = real_->Take();
  windows.discovery = discovery_.Counters();
  const Sample sample = measurements_.AddWindows(windows, sidecar::Now());
  if (on_sample_) on_sample_(sample);
}

Metrics RealRun::Totals() {
  RealRunEnd end;
  end.notices_missing =
      static_cast<double>(AskHollow([this] { return hollow_.propagation().Missing(sidecar::Now()); }));
  hollow_thread_.Stop();
  end.hollow = hollow_.totals();
  end.notice_delays_ms = hollow_.propagation().delays_ms();
  if (real_) {
    measurements_.AddRest(real_->Take());
    end.rules = rules_.counters();
    end.stops = real_operator_->counters();
    for (const std::size_t i : real_->SidecarIndices()) end.sidecars_ended += real_->SidecarRuns(i) ? 0 : 1;
  }
  end.seconds = ToSeconds(sidecar::Now() - began_);
  return measurements_.Totals(end);
}

}  // namespace

Metrics RunReal(const Experiment& experiment, const Deployment& deployment, const std::string& program,
                const OnSample& on_sample) {
  return RealRun(experiment, deployment, program, on_sample).Run();
}

}  // namespace lb::lab
