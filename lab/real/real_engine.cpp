// RunReal(): the phases of a run on the machine's clock, its guard rails, samples and totals.
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
#include "lab/real/real_fault_target.h"
#include "lab/real/real_fleet.h"
#include "lab/real/sidecar_operator.h"
#include "lab/real/upstream_operator.h"
#include "lab/real/worker_thread.h"
#include "lab/virtual/hollow_fleet.h"

namespace lb::lab {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- Guard rails ----
constexpr std::size_t kMostProcesses = 300;
constexpr double kMemoryShare = 0.5;  // of the machine's
constexpr int kTimeLimitFactor = 3;   // of the planned time
// What a run takes by reckoning, in MB: the program, a hollow sidecar and each line of its list, an upstream.
constexpr double kProgramMb = 100;
constexpr double kHollowSidecarMb = 0.25;
constexpr double kListLineMb = 0.002;
constexpr double kUpstreamMb = 0.05;
// Sockets of a hollow sidecar beside those of its agent; what else the program holds.
constexpr std::size_t kDescriptorsPerSidecar = 6;
constexpr std::size_t kOtherDescriptors = 1000;
// The hollow sidecars' thread has nothing to spare where it is so busy: requests take longer for it.
constexpr double kSaturatedShare = 0.97;

// ---- Phases ----
constexpr Duration kStartTime = seconds(10);  // planned, until all hold lists
constexpr Duration kRestTime = 2 * sidecar::kAgentWatch;
constexpr Duration kSettleTime = milliseconds(500);
constexpr int kTrialChanges = 6;  // one by one, before the load
constexpr Duration kResultsMargin = seconds(1);
// Beyond the end, for notices under way; what is not told by then counts as missing.
constexpr Duration kNoticesMargin = seconds(15);
constexpr Duration kAskPatience = seconds(10);  // of a busy thread
constexpr Duration kLookEvery = milliseconds(200);

constexpr std::uint64_t kTellingRequests = 100;  // a sample with fewer tells nothing of the worst second
constexpr const char* kNobodysEndpoint = "127.0.0.1:9";

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
double Share(double part, double whole) { return whole > 0 ? part / whole : 0; }
double Share(std::uint64_t part, std::uint64_t whole) {
  return Share(static_cast<double>(part), static_cast<double>(whole));
}

std::size_t RealSidecars(const Deployment& deployment) {
  return static_cast<std::size_t>(std::count_if(deployment.sidecars.begin(), deployment.sidecars.end(),
                                                [](const SidecarInstance& s) { return s.real; }));
}

std::size_t HollowSidecars(const Experiment& experiment, const Deployment& deployment) {
  return experiment.hollow_absent ? 0 : deployment.sidecars.size() - RealSidecars(deployment);
}

double ReckonedMemoryMb(const Experiment& experiment, const Deployment& deployment) {
  const auto upstreams = static_cast<double>(deployment.upstreams.size());
  const auto real = static_cast<double>(RealSidecars(deployment));
  const auto hollow = static_cast<double>(HollowSidecars(experiment, deployment));
  const double services =
      experiment.list == ListScope::kService ? static_cast<double>(experiment.services) : 1;
  return kProgramMb + hollow * (kHollowSidecarMb + upstreams / services * kListLineMb) +
         upstreams * kUpstreamMb + real * experiment.sidecars.memory_mb;
}

void CheckFitsMachine(const Experiment& experiment, const Deployment& deployment) {
  const double reckoned_mb = ReckonedMemoryMb(experiment, deployment);
  const double most_mb = MachineMemoryMb() * kMemoryShare;
  if (reckoned_mb > most_mb) {
    throw std::runtime_error("the run would take about " + std::to_string(reckoned_mb) + " MB, more than " +
                             std::to_string(most_mb));
  }
  const std::size_t processes = 1 + ChildProcesses() + RealSidecars(deployment);
  if (processes > kMostProcesses) {
    throw std::runtime_error("the run would be " + std::to_string(processes) + " processes, more than " +
                             std::to_string(kMostProcesses));
  }
}

std::unique_ptr<RealFleet> MakeRealFleet(const Experiment& experiment, const Deployment& deployment,
                                         const std::string& program, FleetRules& rules) {
  CheckFitsMachine(experiment, deployment);
  const std::size_t real = RealSidecars(deployment);
  // A real sidecar holds no more connections to upstreams than it may have sockets; each sidecar has an
  // agent.
  const std::size_t connections =
      std::min(deployment.upstreams.size(), static_cast<std::size_t>(experiment.sidecars.sockets));
  EnsureDescriptorLimit(deployment.sidecars.size() +
                        (HollowSidecars(experiment, deployment) + real) * kDescriptorsPerSidecar +
                        deployment.upstreams.size() + real * connections + kOtherDescriptors);
  if (real == 0) return nullptr;
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
    entry.endpoint = real != nullptr ? real->UpstreamAddress(upstream.index) : kNobodysEndpoint;
    entry.weight = upstream.weight;
    entries.push_back(std::move(entry));
  }
  return entries;
}

DiscoveryServerOptions ServerOptions(const Experiment& experiment, const Deployment& deployment,
                                     FleetRules& rules) {
  DiscoveryServerOptions options;
  options.on_request = experiment.discovery.on_request;
  options.on_told = [&rules](std::size_t sidecar, const MembershipEntry& entry, TimePoint at) {
    rules.Told(sidecar, entry, at);
  };
  options.notice_delay_s = experiment.discovery.notice_delay_s;
  options.seed = DeriveSeed(experiment.seed, "notices");
  for (const SidecarInstance& sidecar : deployment.sidecars) {
    // Those that are not played are told of a service that nobody belongs to: of nothing.
    const bool played = sidecar.real || !experiment.hollow_absent;
    options.services.push_back(played ? ListedService(experiment, sidecar) : experiment.services);
  }
  return options;
}

// Of the hollow sidecars together, over some time.
struct ControlCost {
  double cpu_s = 0;
  double bytes_to_sidecars = 0;
  double told = 0;  // changes, over all sidecars
};

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
  void AddHollow(const HollowWindow& window, double passed_s, Sample& sample) const;
  void AddReal(const RealWindow& window, double passed_s, Sample& sample) const;
  void AddDiscovery(double passed_s, Sample& sample);
  std::size_t PlayedSidecars() const { return hollow_.sidecars() + (real_ ? real_->sidecars() : 0); }
  void AddRealTotals(Metrics& metrics) const;
  void CountRealMeasured(const RealWindow& window, TimePoint now);
  Metrics Totals();
  void AddRequestTotals(Metrics& metrics) const;
  void AddTrafficTotals(Metrics& metrics) const;
  void AddRuleTotals(Metrics& metrics);

  // On the hollow sidecars' thread.
  template <typename Read>
  auto AskHollow(Read read) {
    return hollow_thread_.Ask(std::move(read), kAskPatience);
  }

  const Experiment& experiment_;
  const Deployment& deployment_;
  const OnSample& on_sample_;
  const TimePoint began_ = sidecar::Now();
  const TimePoint time_limit_ = began_ + kTimeLimitFactor * PlannedTime();
  const double memory_limit_mb_ = MachineMemoryMb() * kMemoryShare;

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

  TimePoint start_;  // of the load and the faults' time
  TimePoint sample_start_;
  DiscoveryCounters discovery_at_sample_;
  Duration saturated_{};
  double worst_second_ = 1;
  bool any_telling_second_ = false;
  // Of the measured time.
  bool measuring_ = false;
  TimePoint measured_until_;
  RealWindow measured_real_;
  std::uint64_t dropped_ = 0;      // over the whole run
  StalledClientCounters stalled_;  // likewise
  TrafficCounters real_last_third_;
  RealWindow last_real_;   // for what each has now or has had at most
  double real_cpu_s_ = 0;  // of all, since their start
  DiscoveryCounters discovery_at_start_;
  DiscoveryCounters discovery_at_end_;
  // Of the phases before the load.
  double hollow_memory_mb_ = 0;  // all, without the models
  double rest_s_ = 0;
  ControlCost rest_;
  double changes_s_ = 0;
  ControlCost changes_;
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
      faults_(deployment, scheduler_, fault_target_) {}

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
  start_ = sidecar::Now();
  sample_start_ = start_;
  AskHollow([this] {
    hollow_.Take();
    hollow_.StartLoad();
    faults_.Schedule(start_);
  });
  if (real_) real_->StartLoad();
  PlayUntil(start_ + experiment_.warm_up);
  BeginMeasuring();
  PlayUntil(measured_until_);
  EndMeasuring();
  PlayOut();
  if (saturated_ > Duration::zero()) {
    std::cerr << "warning: for " << Seconds(saturated_)
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
  hollow_memory_mb_ = std::max(0.0, ResidentMemoryMb() - before_mb);
  if (real_) real_->StartSidecars(discovery_, first_registry_);
  discovery_at_sample_ = discovery_.Counters();
}

void RealRun::MeasureRest() {
  if (hollow_.sidecars() == 0) return;
  RunTasksUntil(sidecar::Now() + kSettleTime);
  const TimePoint from = sidecar::Now();
  const ControlCost before = ControlCostSoFar();
  RunTasksUntil(from + kRestTime);
  const ControlCost after = ControlCostSoFar();
  rest_s_ = Seconds(sidecar::Now() - from);
  rest_ = {after.cpu_s - before.cpu_s, after.bytes_to_sidecars - before.bytes_to_sidecars, 0};
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
  changes_s_ = Seconds(sidecar::Now() - from);
  changes_ = {after.cpu_s - before.cpu_s, after.bytes_to_sidecars - before.bytes_to_sidecars,
              after.told - before.told};
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
    RunTasksUntil(std::min(end, sample_start_ + std::max(experiment_.sample_every, kLookEvery)));
    TakeSample();
  }
}

void RealRun::BeginMeasuring() {
  const TimePoint now = sidecar::Now();
  measured_until_ = now + experiment_.length;
  AskHollow([this, now] { hollow_.BeginMeasuring(now, measured_until_); });
  discovery_at_start_ = discovery_.Counters();
  measuring_ = true;
}

void RealRun::EndMeasuring() {
  measuring_ = false;
  discovery_at_end_ = discovery_.Counters();
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
    tasks_.run_until(sidecar::ToSteady(std::min(end, sidecar::Now() + kLookEvery)));
    CheckLimits();
  } while (sidecar::Now() < end);
}

bool RealRun::Await(const std::function<bool()>& condition, Duration patience) {
  const TimePoint end = sidecar::Now() + patience;
  while (!condition()) {
    if (sidecar::Now() >= end) return false;
    RunTasksUntil(sidecar::Now() + kLookEvery);
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

// ---- Samples ----

void RealRun::TakeSample() {
  const HollowWindow hollow = AskHollow([this] { return hollow_.Take(); });
  RealWindow real;
  if (real_) real = real_->Take();
  dropped_ += real.load.dropped;
  stalled_ += real.stalled;
  const TimePoint now = sidecar::Now();
  const Duration passed = now - sample_start_;
  Sample sample;
  sample.at_s = Seconds(now - start_);
  AddHollow(hollow, Seconds(passed), sample);
  AddReal(real, Seconds(passed), sample);
  AddDiscovery(Seconds(passed), sample);
  sample.in_time_share = Share(sample.traffic.in_time, sample.traffic.requests);
  Distribution latency_ms = hollow.results.latency_ms;
  latency_ms.Merge(real.load.latency_ms);
  sample.latency_p50_ms = latency_ms.Percentile(0.5);
  sample.latency_p99_ms = latency_ms.Percentile(0.99);
  real_cpu_s_ += real.cpu_s;
  if (measuring_) CountRealMeasured(real, now);
  if (measuring_ && sample.traffic.requests >= kTellingRequests) {
    worst_second_ = std::min(worst_second_, sample.in_time_share);
    any_telling_second_ = true;
  }
  sample_start_ = now;
  if (hollow.thread_cpu_s > kSaturatedShare * Seconds(passed)) saturated_ += passed;
  if (on_sample_) on_sample_(sample);
}

void RealRun::AddHollow(const HollowWindow& window, double passed_s, Sample& sample) const {
  const auto sidecars = static_cast<double>(hollow_.sidecars());
  sample.traffic += window.results.counters;
  sample.traffic += window.traffic;
  sample.notice_p50_ms = window.notice_delays_ms.Percentile(0.5);
  sample.notice_p99_ms = window.notice_delays_ms.Percentile(0.99);
  sample.notice_last_ms = window.notice_delays_ms.Percentile(1);
  sample.hollow_cpu = Share(window.thread_cpu_s + window.control_cpu_s, passed_s * sidecars);
  sample.hollow_memory_mb = Share(hollow_memory_mb_, sidecars);
  sample.load_spread = window.load_spread;
  sample.crowded_upstreams += window.crowded_upstreams;
  sample.held += window.held;
}

void RealRun::AddReal(const RealWindow& window, double passed_s, Sample& sample) const {
  if (!real_) return;
  sample.traffic += window.load.traffic;
  sample.traffic += window.traffic;
  sample.added_p50_ms = window.load.added_ms.Percentile(0.5);
  sample.added_p99_ms = window.load.added_ms.Percentile(0.99);
  sample.real_cpu = Share(window.cpu_s, passed_s * static_cast<double>(real_->sidecars()));
  sample.real_memory_mb = window.memory_mb;
  sample.crowded_upstreams += window.crowded_upstreams;
  sample.held += window.held;
}

void RealRun::AddDiscovery(double passed_s, Sample& sample) {
  const DiscoveryCounters now = discovery_.Counters();
  const DiscoveryCounters before = std::exchange(discovery_at_sample_, now);
  sample.discovery_cpu = Share(Seconds(now.processor_time - before.processor_time), passed_s);
  const auto bytes = now.Total().bytes() - before.Total().bytes();
  sample.control_bytes_per_s =
      Share(static_cast<double>(bytes), passed_s * static_cast<double>(PlayedSidecars()));
}

void RealRun::CountRealMeasured(const RealWindow& window, TimePoint now) {
  measured_real_.load.traffic += window.load.traffic;
  measured_real_.load.latency_ms.Merge(window.load.latency_ms);
  measured_real_.load.added_ms.Merge(window.load.added_ms);
  measured_real_.traffic += window.traffic;
  measured_real_.cpu_s += window.cpu_s;
  last_real_ = window;
  if (now > measured_until_ - experiment_.length / 3) real_last_third_ += window.load.traffic;
}

// ---- Totals ----

Metrics RealRun::Totals() {
  const double length_s = Seconds(experiment_.length);
  const auto hollow = static_cast<double>(hollow_.sidecars());
  Metrics metrics;
  metrics.upstreams = static_cast<double>(deployment_.upstreams.size());
  metrics.sidecars = static_cast<double>(PlayedSidecars());
  metrics.notices_missing =
      static_cast<double>(AskHollow([this] { return hollow_.propagation().Missing(sidecar::Now()); }));
  hollow_thread_.Stop();
  AddRequestTotals(metrics);
  AddTrafficTotals(metrics);
  AddRuleTotals(metrics);
  const Distribution& notices_ms = hollow_.propagation().delays_ms();
  metrics.notice_p50_ms = notices_ms.Percentile(0.5);
  metrics.notice_p99_ms = notices_ms.Percentile(0.99);
  metrics.notice_last_ms = notices_ms.Percentile(1);
  metrics.hollow_cpu = Share(rest_.cpu_s, rest_s_ * hollow);
  metrics.hollow_memory_mb = Share(hollow_memory_mb_, hollow);
  AddRealTotals(metrics);
  metrics.discovery_cpu =
      Share(Seconds(discovery_at_end_.processor_time - discovery_at_start_.processor_time), length_s);
  const auto bytes = discovery_at_end_.Total().bytes() - discovery_at_start_.Total().bytes();
  metrics.control_bytes_per_s = Share(static_cast<double>(bytes), length_s * metrics.sidecars);
  const double rest_share = Share(changes_s_, rest_s_);
  metrics.change_cpu_ms =
      1e3 * Share(std::max(0.0, changes_.cpu_s - rest_.cpu_s * rest_share), changes_.told);
  metrics.change_bytes =
      Share(std::max(0.0, changes_.bytes_to_sidecars - rest_.bytes_to_sidecars * rest_share), changes_.told);
  metrics.load_spread = hollow_.totals().load_spread;
  metrics.seconds = Seconds(sidecar::Now() - began_);
  return metrics;
}

void RealRun::AddRequestTotals(Metrics& metrics) const {
  const HollowTotals& hollow = hollow_.totals();
  TrafficCounters results = hollow.results.counters;
  results += measured_real_.load.traffic;
  TrafficCounters last_third = hollow.last_third.counters;
  last_third += real_last_third_;
  Distribution latency_ms = hollow.results.latency_ms;
  latency_ms.Merge(measured_real_.load.latency_ms);
  metrics.requests = static_cast<double>(results.requests);
  metrics.in_time_share = Share(results.in_time, results.requests);
  metrics.late_share = Share(results.late, results.requests);
  metrics.refused_share = Share(results.refused, results.requests);
  metrics.failed_share = Share(results.failed, results.requests);
  metrics.worst_second_share = any_telling_second_ ? worst_second_ : metrics.in_time_share;
  metrics.last_third_share = Share(last_third.in_time, last_third.requests);
  metrics.latency_p50_ms = latency_ms.Percentile(0.5);
  metrics.latency_p99_ms = latency_ms.Percentile(0.99);
  metrics.added_p50_ms = measured_real_.load.added_ms.Percentile(0.5);
  metrics.added_p99_ms = measured_real_.load.added_ms.Percentile(0.99);
}

void RealRun::AddRuleTotals(Metrics& metrics) {
  if (!real_) return;
  const RealWindow rest = real_->Take();
  dropped_ += rest.load.dropped;
  stalled_ += rest.stalled;
  const FleetRuleCounters rules = rules_.counters();
  metrics.dropped_requests = static_cast<double>(dropped_);
  metrics.stalled_clients = static_cast<double>(stalled_.begun);
  metrics.stalled_unanswered = static_cast<double>(stalled_.unanswered);
  metrics.late_to_draining = static_cast<double>(rules.late_to_draining);
  metrics.cold_overloads = static_cast<double>(rules.cold_overloads);
  metrics.sidecars_stopped = static_cast<double>(real_operator_->counters().stopped);
  metrics.killed_at_limit = static_cast<double>(real_operator_->counters().killed_at_limit);
  for (const std::size_t i : real_->SidecarIndices()) metrics.sidecars_ended += real_->SidecarRuns(i) ? 0 : 1;
}

void RealRun::AddRealTotals(Metrics& metrics) const {
  if (!real_) return;
  const auto real = static_cast<double>(real_->sidecars());
  metrics.real_cpu = Share(measured_real_.cpu_s, Seconds(experiment_.length) * real);
  metrics.real_memory_mb = last_real_.memory_mb;
  metrics.real_cpu_s = Share(real_cpu_s_, real);
  metrics.real_peak_memory_mb = last_real_.peak_memory_mb;
  metrics.real_descriptors = last_real_.peak_descriptors;
  double bytes = 0;
  for (const SidecarInstance& sidecar : deployment_.sidecars) {
    if (!sidecar.real) continue;
    const std::size_t i = sidecar.index;
    bytes += static_cast<double>(discovery_at_end_.agents[i].bytes_out) -
             static_cast<double>(discovery_at_start_.agents[i].bytes_out);
  }
  metrics.real_list_bytes = Share(bytes, real);
}

// Crossings of zones are known of hollow sidecars alone.
void RealRun::AddTrafficTotals(Metrics& metrics) const {
  const auto requests = static_cast<std::uint64_t>(metrics.requests);
  const TrafficCounters& hollow = hollow_.totals().traffic;
  TrafficCounters traffic = hollow;
  traffic += measured_real_.traffic;
  metrics.attempts_per_request = Share(traffic.attempts, requests);
  metrics.connects_per_request = Share(traffic.connects, requests);
  metrics.connects_per_sidecar = Share(static_cast<double>(traffic.connects), metrics.sidecars);
  metrics.connects_failed_share = Share(traffic.connects_failed, traffic.connects);
  metrics.crossings_share = Share(hollow.crossings, hollow.attempts);
  metrics.probes_per_request = Share(traffic.probes, requests);
}

}  // namespace

Metrics RunReal(const Experiment& experiment, const Deployment& deployment, const std::string& program,
                const OnSample& on_sample) {
  return RealRun(experiment, deployment, program, on_sample).Run();
}

}  // namespace lb::lab
