#include "lab/virtual/hollow_fleet.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "lab/real/cpu_clock.h"

namespace lb::lab {
namespace {

constexpr double kSpreadPercentile = 0.95;
constexpr Duration kApplySlice = std::chrono::milliseconds(5);

double Milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

bool IsHollow(const Experiment& experiment, const SidecarInstance& sidecar) {
  return !sidecar.real && !experiment.hollow_absent;
}

Deployment WithHollowLoadOnly(const Experiment& experiment, Deployment deployment) {
  for (SidecarInstance& sidecar : deployment.sidecars) {
    if (!IsHollow(experiment, sidecar)) sidecar.requests_per_s = 0;
  }
  return deployment;
}

}  // namespace

void RequestResults::Add(const RequestResult& result) {
  CountResult(result, counters);
  const bool served = result.outcome == RequestOutcome::kInTime || result.outcome == RequestOutcome::kLate;
  if (served) latency_ms.Add(Milliseconds(result.ended - result.arrived));
}

std::optional<std::size_t> ListedService(const Experiment& experiment, const SidecarInstance& sidecar) {
  if (experiment.list == ListScope::kAll) return std::nullopt;
  return sidecar.service;
}

HollowFleet::HollowFleet(boost::asio::io_context& io, Scheduler& scheduler, const Experiment& experiment,
                         const Deployment& deployment, DiscoveryServer& discovery)
    : io_(io),
      scheduler_(scheduler),
      experiment_(experiment),
      deployment_(deployment),
      hollow_load_(WithHollowLoadOnly(experiment, deployment)),
      discovery_(discovery),
      network_(experiment.network, DeriveSeed(experiment.seed, "network")),
      members_(deployment.sidecars.size()),
      clients_(
          experiment, hollow_load_, scheduler,
          [this](std::size_t sidecar, const OfferedRequest& request, HollowSidecar::OnAnswer on_answer) {
            Offer(sidecar, request, std::move(on_answer));
          },
          [this](const RequestResult& result) { CountResult(result); }, traffic_.client_retries),
      control_(deployment.sidecars.size(), unix_clock_) {
  for (const UpstreamInstance& instance : deployment.upstreams) {
    models_.push_back(std::make_unique<UpstreamModel>(instance, experiment.upstreams, scheduler));
    directory_.Add(*models_.back());
  }
  last_work_ = ServedWork();
}

void HollowFleet::StartSidecars(const MembershipRegistry& registry) {
  for (const SidecarInstance& instance : deployment_.sidecars) {
    if (!IsHollow(experiment_, instance)) continue;
    ++hollow_count_;
    Member& member = members_[instance.index];
    member.sidecar = std::make_unique<HollowSidecar>(
        instance, SidecarSettings(experiment_, deployment_, instance), directory_, network_, scheduler_,
        traffic_, [this, i = instance.index] { control_.Ask(i); });
    StartSidecar(instance.index, registry);
  }
}

void HollowFleet::KillSidecar(std::size_t sidecar) {
  Member& member = members_[sidecar];
  if (!member.sidecar) return;
  ++member.starts;
  control_.Stop(sidecar);
  propagation_.Stop(sidecar);
  member.sidecar->Kill();
}

void HollowFleet::StartSidecar(std::size_t sidecar, const MembershipRegistry& registry) {
  Member& member = members_[sidecar];
  if (!member.sidecar) return;
  const SidecarInstance& instance = deployment_.sidecars[sidecar];
  const std::uint64_t start = ++member.starts;
  const std::uint64_t seed = start == 1 ? instance.seed : DeriveSeed(instance.seed, "restart", start);
  const std::optional<std::size_t> service = ListedService(experiment_, instance);
  ControlClientOptions options;
  options.discovery = discovery_.endpoint(sidecar);
  options.on_request = experiment_.discovery.on_request;

  options.seed = DeriveSeed(seed, "discovery");
  propagation_.Start(sidecar, service);
  control_.Start(sidecar, options, [this, sidecar, start](ControlNotice notice) {
    boost::asio::post(io_, [this, received = ReceivedNotice{sidecar, start, std::move(notice)}]() mutable {
      HandleNotice(std::move(received));
    });
  });
  const auto list = sidecar::ParseEndpointList(ToJson(registry.Since(std::nullopt, service)), unix_clock_);
  member.sidecar->Start(seed, list.update.upstreams);
}

void HollowFleet::HandleNotice(ReceivedNotice received) {
  Member& member = members_[received.sidecar];
  if (member.starts != received.start) return;
  if (received.notice.revision > 0) {
    member.revision = received.notice.revision;
    propagation_.RecordDelivery(received.sidecar, received.notice.revision, received.notice.at);
  }
  queued_notices_.push_back(std::move(received));
  if (queued_notices_.size() == 1) ApplyQueuedNotices();
}

// Applies notices in time slices and lets the io_context run other handlers in between, so that a change sent
// to all sidecars does not delay their requests for long, and requests do not delay the change.
void HollowFleet::ApplyQueuedNotices() {
  boost::asio::post(io_, [this] {
    const TimePoint until = scheduler_.Now() + kApplySlice;
    while (!queued_notices_.empty() && scheduler_.Now() < until) {
      ReceivedNotice& next = queued_notices_.front();
      Member& member = members_[next.sidecar];
      if (member.starts == next.start) member.sidecar->Apply(std::move(next.notice.update));
      queued_notices_.pop_front();
    }
    if (!queued_notices_.empty()) ApplyQueuedNotices();
  });
}

bool HollowFleet::AllReceivedLists() const {
  return std::all_of(members_.begin(), members_.end(),
                     [](const Member& member) { return !member.sidecar || member.revision > 0; });
}

double HollowFleet::CpuSeconds() { return ThreadCpuSeconds() + control_.CpuSeconds(); }

void HollowFleet::BeginMeasuring(TimePoint now, TimePoint end) {
  measuring_ = true;
  measured_from_ = now;
  measured_until_ = end;
  work_at_start_ = ServedWork();
  propagation_.CountFrom(now);
}

void HollowFleet::EndMeasuring() {
  measuring_ = false;
  totals_.load_spread = LoadSpread(work_at_start_);
}

HollowWindow HollowFleet::Take() {
  HollowWindow window;
  window.results = std::exchange(window_, {});
  window.traffic = std::exchange(traffic_, {});
  window.notice_delays_ms = propagation_.TakeRecentDelays();
  const double cpu_s = ThreadCpuSeconds();
  window.thread_cpu_s = cpu_s - std::exchange(last_cpu_s_, cpu_s);
  const double control_cpu_s = control_.CpuSeconds();
  window.control_cpu_s = control_cpu_s - std::exchange(last_control_cpu_s_, control_cpu_s);
  window.load_spread = LoadSpread(last_work_);
  last_work_ = ServedWork();
  for (const auto& model : models_) {
    window.overloaded_upstreams += model->overloaded() ? 1 : 0;
    window.outstanding_requests += model->outstanding_requests();
  }
  if (measuring_) totals_.traffic += window.traffic;
  return window;
}

void HollowFleet::Offer(std::size_t sidecar, const OfferedRequest& request,
                        HollowSidecar::OnAnswer on_answer) {
  members_[sidecar].sidecar->Offer(request, std::move(on_answer));
}

void HollowFleet::CountResult(const RequestResult& result) {
  window_.Add(result);
  if (result.arrived < measured_from_ || result.arrived >= measured_until_) return;
  totals_.results.Add(result);
  if (result.arrived >= measured_until_ - experiment_.length / 3) totals_.last_third.Add(result);
}

std::vector<double> HollowFleet::ServedWork() const {
  std::vector<double> work;
  for (const auto& model : models_) work.push_back(model->served_work());
  return work;
}

double HollowFleet::LoadSpread(const std::vector<double>& before) const {
  Distribution loads;
  for (std::size_t i = 0; i < models_.size(); ++i) {
    const UpstreamInstance& instance = models_[i]->instance();
    loads.Add((models_[i]->served_work() - before[i]) / (instance.kind->cores * instance.speed));
  }
  return loads.mean() > 0 ? loads.Percentile(kSpreadPercentile) / loads.mean() : 0;
}

}  // namespace lb::lab
