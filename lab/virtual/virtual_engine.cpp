// RunVirtual(): all parts of one run on the virtual clock, its faults by time, and its samples.
#include <algorithm>
#include <chrono>
#include <memory>
#include <vector>

#include "lab/engine.h"
#include "lab/model/client_model.h"
#include "lab/model/network_model.h"
#include "lab/model/upstream_model.h"
#include "lab/real/cpu_clock.h"
#include "lab/virtual/hollow_sidecar.h"
#include "lab/virtual/membership_notices.h"
#include "lab/virtual/scheduler.h"

namespace lb::lab {
namespace {

using lb::UpstreamInfo;
using lb::UpstreamState;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A restarted upstream: from its draining being announced to its turning requests away, to its end, and to
// the start of the next process.
constexpr Duration kDrainAnnounced = seconds(2);
constexpr Duration kDrainEnds = seconds(3);
constexpr Duration kRestarted = seconds(5);
// A killed sidecar takes at least so long to start anew.
constexpr Duration kSidecarRestart = milliseconds(500);
// Beyond the longest deadline, until every request has its result.
constexpr Duration kResultsMargin = seconds(1);
// Beyond the end, for notices under way; what is not told by then counts as missing.
constexpr Duration kNoticesMargin = seconds(15);
// A sample with fewer requests tells nothing of the worst second.
constexpr std::uint64_t kTellingRequests = 100;
constexpr double kLoadPercentile = 0.95;
// What a change of an upstream's weight makes of it, and its next change takes back.
constexpr double kChangedWeight = 1.1;

double Seconds(std::chrono::nanoseconds duration) { return static_cast<double>(duration.count()) / 1e9; }
double Milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1e3; }
double Share(double part, double whole) { return whole > 0 ? part / whole : 0; }
double Share(std::uint64_t part, std::uint64_t whole) {
  return Share(static_cast<double>(part), static_cast<double>(whole));
}

bool Served(const RequestResult& result) {
  return result.outcome == RequestOutcome::kInTime || result.outcome == RequestOutcome::kLate;
}

// Requests with their results, and the latencies of the served ones.
struct Results {
  TrafficCounters counters;
  Distribution latency_ms;

  void Add(const RequestResult& result) {
    CountResult(result, counters);
    if (Served(result)) latency_ms.Add(Milliseconds(result.ended - result.arrived));
  }
  double in_time_share() const { return Share(counters.in_time, counters.requests); }
};

class VirtualRun {
 public:
  VirtualRun(const Experiment& experiment, const Deployment& deployment, const OnSample& on_sample);
  Metrics Run();

 private:
  void BuildUpstreams();
  void BuildSidecars();
  void ScheduleFaults();
  void PlayUntil(TimePoint end);  // taking samples
  void BeginMeasuring();
  void PlayOut();  // until all requests have their results and all notices had their time

  void BeginFault(const FaultEvent& fault);
  void EndFault(const FaultEvent& fault);
  void BeginRestarts(const FaultEvent& fault);
  void BeginChanges(const FaultEvent& fault);
  void Restart(std::size_t upstream);
  void ChangeWeight(std::size_t upstream, bool up);
  void SetState(std::size_t upstream, UpstreamState state);
  void StartUpstream(std::size_t upstream);
  void KillSidecar(std::size_t sidecar);
  void StartSidecar(std::size_t sidecar);
  void TellSidecar(std::size_t sidecar, lb::MembershipUpdate update);

  void CountRequest(const RequestResult& result);
  void CountNotice(TimePoint changed, Duration delay);
  void TakeSample();
  // 95th percentile over mean of the upstreams' served work by capacity, since `before`.
  double LoadSpread(const std::vector<double>& before) const;
  std::vector<double> ServedWork() const;  // of each upstream
  double ModuleSeconds() const;            // real time taken by the module, over all sidecars
  Metrics Totals() const;

  const Experiment& experiment_;
  const Deployment& deployment_;
  const OnSample& on_sample_;
  const std::chrono::steady_clock::time_point real_start_ = std::chrono::steady_clock::now();

  VirtualScheduler scheduler_;
  const TimePoint start_ = scheduler_.Now();
  const TimePoint measured_from_;
  const TimePoint end_;
  NetworkModel network_;
  std::vector<std::unique_ptr<UpstreamModel>> upstreams_;
  UpstreamDirectory directory_;
  std::vector<std::unique_ptr<HollowSidecar>> sidecars_;
  std::vector<std::uint64_t> sidecar_starts_;
  MembershipNotices notices_;
  ClientModel clients_;
  double load_factor_ = 1;

  // Of the sample that is being taken. The counters hold what sidecars and clients' retries add.
  TrafficCounters traffic_;
  Results sample_;
  Distribution sample_notices_ms_;
  TimePoint sample_start_ = start_;
  std::vector<double> work_at_sample_;
  double module_at_sample_ = 0;
  // Of the measured time. Requests count here by their arrival, so that each has its result.
  TrafficCounters measured_traffic_;
  Results measured_;
  Results last_third_;
  Distribution notices_ms_;
  double worst_second_ = 1;
  bool any_telling_second_ = false;
  std::vector<double> work_at_start_;
  double module_at_start_ = 0;
  double load_spread_ = 0;
  double module_seconds_ = 0;
  double module_seconds_in_changes_ = 0;
  std::uint64_t changes_told_ = 0;
  double memory_before_mb_ = 0;
  double memory_mb_ = 0;  // of all sidecars
};

VirtualRun::VirtualRun(const Experiment& experiment, const Deployment& deployment, const OnSample& on_sample)
    : experiment_(experiment),
      deployment_(deployment),
      on_sample_(on_sample),
      measured_from_(start_ + experiment.warm_up),
      end_(measured_from_ + experiment.length),
      network_(experiment.network, DeriveSeed(experiment.seed, "network")),
      notices_(
          experiment, deployment, scheduler_,
          [this](std::size_t sidecar, lb::MembershipUpdate update) {
            TellSidecar(sidecar, std::move(update));
          },
          [this](TimePoint changed, Duration delay) { CountNotice(changed, delay); }),
      clients_(
          experiment, deployment, scheduler_,
          [this](std::size_t sidecar, const OfferedRequest& request, HollowSidecar::OnAnswer on_answer) {
            sidecars_[sidecar]->Offer(request, std::move(on_answer));
          },
          [this](const RequestResult& result) { CountRequest(result); }, traffic_.client_retries) {
  BuildUpstreams();
  memory_before_mb_ = ResidentMemoryMb();
  BuildSidecars();
}

void VirtualRun::BuildUpstreams() {
  for (const UpstreamInstance& instance : deployment_.upstreams) {
    upstreams_.push_back(std::make_unique<UpstreamModel>(instance, experiment_.upstreams, scheduler_));
    directory_.Add(*upstreams_.back());
  }
}

void VirtualRun::BuildSidecars() {
  sidecar_starts_.resize(deployment_.sidecars.size());
  for (std::size_t i = 0; i < deployment_.sidecars.size(); ++i) {
    const SidecarInstance& instance = deployment_.sidecars[i];
    sidecars_.push_back(std::make_unique<HollowSidecar>(
        instance, SidecarSettings(experiment_, deployment_, instance), directory_, network_, scheduler_,
        traffic_, [this, i] { notices_.Subscribe(i); }));
    StartSidecar(i);
  }
}

Metrics VirtualRun::Run() {
  ScheduleFaults();
  work_at_sample_ = ServedWork();
  clients_.Start();
  PlayUntil(measured_from_);
  BeginMeasuring();
  PlayUntil(end_);
  load_spread_ = LoadSpread(work_at_start_);
  module_seconds_ = ModuleSeconds() - module_at_start_;
  memory_mb_ = ResidentMemoryMb() - memory_before_mb_;
  PlayOut();
  return Totals();
}

void VirtualRun::BeginMeasuring() {
  work_at_start_ = ServedWork();
  module_at_start_ = ModuleSeconds();
  measured_traffic_ = {};
  module_seconds_in_changes_ = 0;
  changes_told_ = 0;
}

void VirtualRun::PlayUntil(TimePoint end) {
  while (scheduler_.Now() < end) {
    scheduler_.RunUntil(std::min(end, scheduler_.Now() + std::max(experiment_.sample_every, Duration(1))));
    TakeSample();
  }
}

void VirtualRun::PlayOut() {
  clients_.Stop();
  Duration longest{};
  for (const ClassSpec& spec : experiment_.classes) longest = std::max(longest, spec.deadline);
  scheduler_.RunUntil(end_ + longest + kResultsMargin);
  if (notices_.Untold() > 0) scheduler_.RunUntil(end_ + std::max<Duration>(longest, kNoticesMargin));
}

// ---- Faults ----

void VirtualRun::ScheduleFaults() {
  for (const FaultEvent& fault : deployment_.faults) {
    scheduler_.At(start_ + fault.at, [this, &fault] { BeginFault(fault); });
    scheduler_.At(start_ + fault.until, [this, &fault] { EndFault(fault); });
  }
}

// Discovery tells nothing of a crash or a lost zone: only the new process is a change. A lost zone takes its
// upstreams away; the sidecars in it go on.
void VirtualRun::BeginFault(const FaultEvent& fault) {
  switch (fault.kind) {
    case FaultKind::kCrash:
      for (const std::size_t i : fault.upstreams) upstreams_[i]->Crash();
      break;
    case FaultKind::kHang:
      for (const std::size_t i : fault.upstreams) upstreams_[i]->SetHanging(true);
      break;
    case FaultKind::kSlow:
      for (const std::size_t i : fault.upstreams) upstreams_[i]->SetSlowdown(fault.factor);
      break;
    case FaultKind::kRestart:
      BeginRestarts(fault);
      break;
    case FaultKind::kChange:
      BeginChanges(fault);
      break;
    case FaultKind::kZoneLost:
      for (const std::size_t i : fault.upstreams) upstreams_[i]->SetSilent(true);
      break;
    case FaultKind::kRegionCut:
      network_.SetRegionsCut(true);
      break;
    case FaultKind::kDiscoveryDown:
      notices_.SetDiscoveryDown(true);
      break;
    case FaultKind::kNoticesLate:
      notices_.SetDelayFactor(fault.factor);
      break;
    case FaultKind::kNoticesSilent:
      notices_.SilenceWatches();
      break;
    case FaultKind::kNoticesLost:
      notices_.SetLostShare(fault.share);
      break;
    case FaultKind::kSidecarsKilled:
    case FaultKind::kSidecarsStopped:  // a hollow one ends at once
      for (const std::size_t i : fault.sidecars) KillSidecar(i);
      break;
    case FaultKind::kBurst:
      clients_.SetLoadFactor(load_factor_ *= fault.factor);
      break;
    case FaultKind::kClientsStalled:
    case FaultKind::kNewConfigurations:
    case FaultKind::kDiscoverySlow:
    case FaultKind::kClockStepped:
      break;  // refused by the file's reader: there are no connections
  }
}

void VirtualRun::EndFault(const FaultEvent& fault) {
  switch (fault.kind) {
    case FaultKind::kCrash:
      for (const std::size_t i : fault.upstreams) StartUpstream(i);
      break;
    case FaultKind::kHang:
      for (const std::size_t i : fault.upstreams) upstreams_[i]->SetHanging(false);
      break;
    case FaultKind::kSlow:
      for (const std::size_t i : fault.upstreams) upstreams_[i]->SetSlowdown(1);
      break;
    case FaultKind::kZoneLost:
      // The machines start anew before anybody reaches them: nobody hears of the processes that died.
      for (const std::size_t i : fault.upstreams) {
        upstreams_[i]->Crash();
        upstreams_[i]->SetSilent(false);
        StartUpstream(i);
      }
      break;
    case FaultKind::kRegionCut:
      network_.SetRegionsCut(false);
      break;
    case FaultKind::kDiscoveryDown:
      notices_.SetDiscoveryDown(false);
      break;
    case FaultKind::kNoticesLate:
      notices_.SetDelayFactor(1);
      break;
    case FaultKind::kNoticesLost:
      notices_.SetLostShare(0);
      break;
    case FaultKind::kBurst:
      clients_.SetLoadFactor(load_factor_ /= fault.factor);
      break;
    case FaultKind::kRestart:
    case FaultKind::kChange:
    case FaultKind::kNoticesSilent:
    case FaultKind::kSidecarsKilled:
    case FaultKind::kSidecarsStopped:
    case FaultKind::kClientsStalled:
    case FaultKind::kNewConfigurations:
    case FaultKind::kDiscoverySlow:
    case FaultKind::kClockStepped:
      break;  // they end by themselves
  }
}

void VirtualRun::BeginRestarts(const FaultEvent& fault) {
  const auto count = static_cast<Duration::rep>(fault.upstreams.size());
  for (Duration::rep i = 0; i < count; ++i) {
    const std::size_t upstream = fault.upstreams[static_cast<std::size_t>(i)];
    scheduler_.After((fault.until - fault.at) * i / count, [this, upstream] { Restart(upstream); });
  }
}

void VirtualRun::Restart(std::size_t upstream) {
  SetState(upstream, UpstreamState::kDraining);
  scheduler_.After(kDrainAnnounced, [this, upstream] { upstreams_[upstream]->SetDraining(true); });
  scheduler_.After(kDrainEnds, [this, upstream] {
    upstreams_[upstream]->Crash();
    SetState(upstream, UpstreamState::kGone);
  });
  scheduler_.After(kRestarted, [this, upstream] { StartUpstream(upstream); });
}

void VirtualRun::BeginChanges(const FaultEvent& fault) {
  if (fault.upstreams.empty()) return;
  for (int i = 0; i < fault.count; ++i) {
    const auto turn = static_cast<std::size_t>(i);
    const std::size_t upstream = fault.upstreams[turn % fault.upstreams.size()];
    const bool up = turn / fault.upstreams.size() % 2 == 0;
    scheduler_.After((fault.until - fault.at) * i / fault.count,
                     [this, upstream, up] { ChangeWeight(upstream, up); });
  }
}

void VirtualRun::ChangeWeight(std::size_t upstream, bool up) {
  UpstreamInfo entry = notices_.entry(upstream);
  entry.weight = deployment_.upstreams[upstream].weight * (up ? kChangedWeight : 1);
  notices_.Change(upstream, std::move(entry));
}

void VirtualRun::SetState(std::size_t upstream, UpstreamState state) {
  UpstreamInfo entry = notices_.entry(upstream);
  entry.state = state;
  notices_.Change(upstream, std::move(entry));
}

void VirtualRun::StartUpstream(std::size_t upstream) {
  upstreams_[upstream]->Start();
  UpstreamInfo entry = notices_.entry(upstream);
  entry.state = UpstreamState::kServing;
  entry.started = scheduler_.Now();
  notices_.Change(upstream, std::move(entry));
}

void VirtualRun::KillSidecar(std::size_t sidecar) {
  sidecars_[sidecar]->Kill();
  notices_.SidecarDown(sidecar);
  scheduler_.After(kSidecarRestart, [this, sidecar] {
    notices_.SidecarUp(sidecar);
    StartSidecar(sidecar);
  });
}

void VirtualRun::StartSidecar(std::size_t sidecar) {
  const SidecarInstance& instance = deployment_.sidecars[sidecar];
  const std::uint64_t start = sidecar_starts_[sidecar]++;
  const std::uint64_t seed = start == 0 ? instance.seed : DeriveSeed(instance.seed, "restart", start);
  sidecars_[sidecar]->Start(seed, notices_.Known(sidecar));
}

void VirtualRun::TellSidecar(std::size_t sidecar, lb::MembershipUpdate update) {
  HollowSidecar& told = *sidecars_[sidecar];
  const auto before = told.module_time();
  changes_told_ += update.upstreams.size();
  told.Apply(std::move(update));
  module_seconds_in_changes_ += Seconds(told.module_time() - before);
}

// ---- Measurements ----

void VirtualRun::CountRequest(const RequestResult& result) {
  sample_.Add(result);
  if (result.arrived < measured_from_ || result.arrived >= end_) return;
  measured_.Add(result);
  if (result.arrived >= end_ - experiment_.length / 3) last_third_.Add(result);
}

void VirtualRun::CountNotice(TimePoint changed, Duration delay) {
  sample_notices_ms_.Add(Milliseconds(delay));
  if (changed >= measured_from_) notices_ms_.Add(Milliseconds(delay));
}

void VirtualRun::TakeSample() {
  const TimePoint now = scheduler_.Now();
  const double seconds_passed = Seconds(now - sample_start_);
  const auto sidecars = static_cast<double>(sidecars_.size());
  const double module_seconds = ModuleSeconds();
  Sample sample;
  sample.at_s = Seconds(now - start_);
  sample.traffic = sample_.counters;
  sample.traffic += traffic_;
  sample.in_time_share = sample_.in_time_share();
  sample.latency_p50_ms = sample_.latency_ms.Percentile(0.5);
  sample.latency_p99_ms = sample_.latency_ms.Percentile(0.99);
  sample.notice_p50_ms = sample_notices_ms_.Percentile(0.5);
  sample.notice_p99_ms = sample_notices_ms_.Percentile(0.99);
  sample.notice_last_ms = sample_notices_ms_.Percentile(1);
  sample.hollow_cpu = Share(module_seconds - module_at_sample_, seconds_passed * sidecars);
  sample.hollow_memory_mb = Share(ResidentMemoryMb() - memory_before_mb_, sidecars);
  sample.load_spread = LoadSpread(work_at_sample_);
  for (const auto& upstream : upstreams_) {
    sample.crowded_upstreams += upstream->crowded();
    sample.held += upstream->held();
  }
  if (now > measured_from_ && sample_.counters.requests >= kTellingRequests) {
    worst_second_ = std::min(worst_second_, sample.in_time_share);
    any_telling_second_ = true;
  }
  measured_traffic_ += traffic_;
  traffic_ = {};
  sample_ = {};
  sample_notices_ms_ = {};
  sample_start_ = now;
  work_at_sample_ = ServedWork();
  module_at_sample_ = module_seconds;
  if (on_sample_) on_sample_(sample);
}

std::vector<double> VirtualRun::ServedWork() const {
  std::vector<double> work;
  for (const auto& upstream : upstreams_) work.push_back(upstream->served_work());
  return work;
}

double VirtualRun::LoadSpread(const std::vector<double>& before) const {
  Distribution loads;
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    const UpstreamInstance& instance = upstreams_[i]->instance();
    loads.Add((upstreams_[i]->served_work() - before[i]) / (instance.kind->cores * instance.speed));
  }
  return Share(loads.Percentile(kLoadPercentile), loads.mean());
}

double VirtualRun::ModuleSeconds() const {
  std::chrono::nanoseconds sum{};
  for (const auto& sidecar : sidecars_) sum += sidecar->module_time();
  return Seconds(sum);
}

Metrics VirtualRun::Totals() const {
  const TrafficCounters& results = measured_.counters;
  const TrafficCounters& traffic = measured_traffic_;
  const auto sidecars = static_cast<double>(sidecars_.size());
  Metrics metrics;
  metrics.upstreams = static_cast<double>(upstreams_.size());
  metrics.sidecars = sidecars;
  metrics.requests = static_cast<double>(results.requests);
  metrics.in_time_share = measured_.in_time_share();
  metrics.late_share = Share(results.late, results.requests);
  metrics.refused_share = Share(results.refused, results.requests);
  metrics.failed_share = Share(results.failed, results.requests);
  metrics.worst_second_share = any_telling_second_ ? worst_second_ : metrics.in_time_share;
  metrics.last_third_share = last_third_.in_time_share();
  metrics.attempts_per_request = Share(traffic.attempts, results.requests);
  metrics.connects_per_request = Share(traffic.connects, results.requests);
  metrics.connects_per_sidecar = Share(static_cast<double>(traffic.connects), sidecars);
  metrics.connects_failed_share = Share(traffic.connects_failed, traffic.connects);
  metrics.crossings_share = Share(traffic.crossings, traffic.attempts);
  metrics.probes_per_request = Share(traffic.probes, results.requests);
  metrics.latency_p50_ms = measured_.latency_ms.Percentile(0.5);
  metrics.latency_p99_ms = measured_.latency_ms.Percentile(0.99);
  metrics.notice_p50_ms = notices_ms_.Percentile(0.5);
  metrics.notice_p99_ms = notices_ms_.Percentile(0.99);
  metrics.notice_last_ms = notices_ms_.Percentile(1);
  metrics.notices_missing = static_cast<double>(notices_.Untold());
  metrics.hollow_cpu = Share(module_seconds_, Seconds(experiment_.length) * sidecars);
  metrics.hollow_memory_mb = Share(memory_mb_, sidecars);
  metrics.change_cpu_ms = 1e3 * Share(module_seconds_in_changes_, static_cast<double>(changes_told_));
  metrics.load_spread = load_spread_;
  metrics.seconds = Seconds(std::chrono::steady_clock::now() - real_start_);
  return metrics;
}

}  // namespace

Metrics RunVirtual(const Experiment& experiment, const Deployment& deployment, const OnSample& on_sample) {
  return VirtualRun(experiment, deployment, on_sample).Run();
}

}  // namespace lb::lab
