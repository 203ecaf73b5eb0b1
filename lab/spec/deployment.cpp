#include "lab/spec/deployment.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cmath>
#include <cstdio>
#include <map>
#include <numeric>
#include <random>
#include <utility>

#include "lab/spec/durations.h"

namespace lb::lab {
namespace {

// Standard deviation over mean of the speeds of machines of one kind.
constexpr double kSpeedVariation = 0.1;
// Fleet limit that every emulated deployment uses: all sidecars together must not send an upstream more than
// this multiple of its present capacity within the window.
constexpr double kOverloadMultiple = 2.5;
constexpr Duration kOverloadWindow = std::chrono::seconds(1);

using Generator = std::mt19937_64;

// Lognormal distribution with mean 1 and the given standard deviation.
std::lognormal_distribution<double> LognormalAroundOne(double variation) {
  const double variance = std::log1p(variation * variation);
  return std::lognormal_distribution<double>(-variance / 2, std::sqrt(variance));
}

// Service and zone of the upstream or sidecar with the given index. The members of each service are spread
// over all zones, and different services begin with different zones.
struct Placement {
  std::size_t service = 0;
  std::size_t zone = 0;
};
Placement PlacementOf(std::size_t index, std::size_t services, std::size_t zones) {
  const std::size_t service = index % services;
  return {service, (index / services + service) % zones};
}

// Number of machines of each kind among `total`, by the largest remainder method.
std::vector<std::size_t> KindCounts(const std::vector<KindSpec>& kinds, std::size_t total) {
  double shares = 0;
  for (const KindSpec& kind : kinds) shares += kind.share;
  std::vector<std::size_t> counts;
  std::vector<std::pair<double, std::size_t>> remainders;
  std::size_t given = 0;
  for (std::size_t i = 0; i < kinds.size(); ++i) {
    const double exact = static_cast<double>(total) * kinds[i].share / shares;
    counts.push_back(static_cast<std::size_t>(std::floor(exact)));
    given += counts.back();
    remainders.emplace_back(std::floor(exact) - exact, i);  // the largest remainder sorts first
  }
  std::sort(remainders.begin(), remainders.end());
  for (std::size_t i = 0; given < total; ++i, ++given) ++counts[remainders[i % kinds.size()].second];
  return counts;
}

std::vector<const KindSpec*> DrawKinds(const Experiment& experiment, std::size_t total) {
  const auto& kinds = experiment.upstreams.kinds;
  const std::vector<std::size_t> counts = KindCounts(kinds, total);
  std::vector<const KindSpec*> drawn;
  for (std::size_t i = 0; i < kinds.size(); ++i) drawn.insert(drawn.end(), counts[i], &kinds[i]);
  Generator generator(DeriveSeed(experiment.seed, "kinds"));
  std::shuffle(drawn.begin(), drawn.end(), generator);
  return drawn;
}

std::string DrawId(std::uint64_t seed, std::size_t index) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016" PRIx64, DeriveSeed(seed, "upstream id", index));
  return text;
}

void NormaliseWeights(std::vector<UpstreamInstance>& upstreams) {
  double sum = 0;
  for (const UpstreamInstance& upstream : upstreams) sum += upstream.weight;
  const double mean = sum / static_cast<double>(upstreams.size());
  for (UpstreamInstance& upstream : upstreams) upstream.weight /= mean;
}

std::vector<UpstreamInstance> DrawUpstreams(const Experiment& experiment, std::size_t total) {
  const std::vector<ZoneSpec> zones = ZonesOf(experiment);
  const std::vector<const KindSpec*> kinds = DrawKinds(experiment, total);
  Generator generator(DeriveSeed(experiment.seed, "speeds"));
  auto around_one = LognormalAroundOne(kSpeedVariation);
  std::vector<UpstreamInstance> upstreams(total);
  for (std::size_t i = 0; i < total; ++i) {
    const Placement placement = PlacementOf(i, experiment.services, zones.size());
    UpstreamInstance& upstream = upstreams[i];
    upstream.index = i;
    upstream.id = DrawId(experiment.seed, i);
    upstream.service = placement.service;
    upstream.region = zones[placement.zone].region;
    upstream.zone = zones[placement.zone].name;
    upstream.kind = kinds[i];
    upstream.speed = kinds[i]->speed * around_one(generator);
    upstream.weight = kinds[i]->cores * kinds[i]->speed;
  }
  NormaliseWeights(upstreams);
  return upstreams;
}

double MeanWorkSeconds(const std::vector<ClassSpec>& classes) {
  double work = 0;
  double shares = 0;
  for (const ClassSpec& spec : classes) {
    work += spec.share * ToSeconds(spec.mean_work);
    shares += spec.share;
  }
  return work / shares;
}

double TotalRate(const Experiment& experiment, const std::vector<UpstreamInstance>& upstreams) {
  if (experiment.load.per_upstream > 0) {
    return experiment.load.per_upstream * static_cast<double>(upstreams.size());
  }
  double capacity = 0;  // seconds of work a second
  for (const UpstreamInstance& upstream : upstreams) capacity += upstream.kind->cores * upstream.speed;
  return capacity * experiment.load.utilization / MeanWorkSeconds(experiment.classes);
}

// Draws lognormal request rates of the sidecars, scaled so that they sum to `total`.
void DrawRates(const Experiment& experiment, double total, std::vector<SidecarInstance>& sidecars) {
  Generator generator(DeriveSeed(experiment.seed, "rates"));
  auto around_one = LognormalAroundOne(experiment.load.inequality);
  double sum = 0;
  for (SidecarInstance& sidecar : sidecars) {
    sidecar.requests_per_s = around_one(generator);
    sum += sidecar.requests_per_s;
  }
  for (SidecarInstance& sidecar : sidecars) sidecar.requests_per_s *= total / sum;
}

std::vector<SidecarInstance> DrawSidecars(const Experiment& experiment, std::size_t upstreams, double rate) {
  const std::vector<ZoneSpec> zones = ZonesOf(experiment);
  std::vector<SidecarInstance> sidecars(SidecarsFor(experiment, upstreams));
  for (std::size_t i = 0; i < sidecars.size(); ++i) {
    const Placement placement = PlacementOf(i, experiment.services, zones.size());
    SidecarInstance& sidecar = sidecars[i];
    sidecar.index = i;
    sidecar.name = "n" + std::to_string(i + 1);
    sidecar.service = placement.service;
    sidecar.region = zones[placement.zone].region;
    sidecar.zone = zones[placement.zone].name;
    sidecar.seed = DeriveSeed(experiment.seed, "sidecar", i);
  }
  const std::size_t real = experiment.sidecars.real;
  for (std::size_t i = 0; i < real; ++i) sidecars[i * sidecars.size() / real].real = true;
  DrawRates(experiment, rate, sidecars);
  return sidecars;
}

std::vector<std::size_t> Shuffled(std::size_t total, Generator& generator) {
  std::vector<std::size_t> indices(total);
  std::iota(indices.begin(), indices.end(), std::size_t{0});
  std::shuffle(indices.begin(), indices.end(), generator);
  return indices;
}

// Draws a share of the indices below `total`, at least one, in random order.
std::vector<std::size_t> DrawShare(std::size_t total, double share, Generator& generator) {
  std::vector<std::size_t> drawn = Shuffled(total, generator);
  const auto wanted = static_cast<std::size_t>(std::llround(share * static_cast<double>(total)));
  drawn.resize(std::clamp<std::size_t>(wanted, 1, total));
  return drawn;
}

// Draws one upstream for each of `count` changes. No upstream is repeated before all have been drawn.
std::vector<std::size_t> DrawInRotation(std::size_t total, int count, Generator& generator) {
  const std::vector<std::size_t> order = Shuffled(total, generator);
  std::vector<std::size_t> drawn;
  for (std::size_t i = 0; i < static_cast<std::size_t>(count); ++i) drawn.push_back(order[i % total]);
  return drawn;
}

// Draws the zone of a random upstream, so that a zone without upstreams is never chosen.
std::string DrawZone(const std::vector<UpstreamInstance>& upstreams, Generator& generator) {
  std::uniform_int_distribution<std::size_t> any(0, upstreams.size() - 1);
  return upstreams[any(generator)].zone;
}

std::vector<std::size_t> UpstreamsOfZone(const std::vector<UpstreamInstance>& upstreams,
                                         const std::string& zone) {
  std::vector<std::size_t> indices;
  for (const UpstreamInstance& upstream : upstreams) {
    if (upstream.zone == zone) indices.push_back(upstream.index);
  }
  return indices;
}

void DrawTargets(const Deployment& deployment, Generator& generator, FaultEvent& event) {
  const std::size_t upstreams = deployment.upstreams.size();
  switch (event.kind) {
    case FaultKind::kCrash:
    case FaultKind::kHang:
    case FaultKind::kSlow:
    case FaultKind::kRestart:
      event.upstreams = DrawShare(upstreams, event.share, generator);
      break;
    case FaultKind::kChange:
      event.upstreams = DrawInRotation(upstreams, event.count, generator);
      break;
    case FaultKind::kZoneLost:
      if (event.zone.empty()) event.zone = DrawZone(deployment.upstreams, generator);
      event.upstreams = UpstreamsOfZone(deployment.upstreams, event.zone);
      break;
    case FaultKind::kSidecarsKilled:
    case FaultKind::kSidecarsStopped:
    case FaultKind::kClockStepped:
      event.sidecars = DrawShare(deployment.sidecars.size(), event.share, generator);
      break;
    case FaultKind::kRegionCut:
    case FaultKind::kDiscoveryDown:
    case FaultKind::kNoticesLate:
    case FaultKind::kNoticesSilent:
    case FaultKind::kNoticesLost:
    case FaultKind::kClientsStalled:
    case FaultKind::kNewConfigurations:
    case FaultKind::kDiscoverySlow:
    case FaultKind::kDiscoveryLate:
    case FaultKind::kDiscoveryBusy:
    case FaultKind::kBurst:
      break;  // no targets to draw: these faults affect the whole fleet
  }
}

// Each fault draws from a random stream seeded by its kind and time, so that adding other faults does not
// change its targets.
std::vector<FaultEvent> DrawFaults(const Experiment& experiment, const Deployment& deployment) {
  std::vector<FaultEvent> events;
  std::map<std::string, std::uint64_t> same_kind_and_time;  // number of faults so far by kind and time
  for (const FaultSpec& spec : experiment.faults) {
    FaultEvent event;
    event.kind = spec.kind;
    event.at = experiment.warm_up + spec.at;
    event.until = event.at + spec.lasts;
    event.factor = spec.factor;
    event.share = spec.share;
    event.count = spec.count;
    event.zone = spec.zone;
    event.step = spec.step;
    event.delay = spec.delay;
    const std::string purpose =
        "fault " + std::string(FaultName(spec.kind)) + " at " + std::to_string(spec.at.count());
    Generator generator(DeriveSeed(experiment.seed, purpose, same_kind_and_time[purpose]++));
    DrawTargets(deployment, generator, event);
    events.push_back(std::move(event));
  }
  return events;
}

lb::RequestClass ToRequestClass(const ClassSpec& spec) {
  lb::RequestClass request_class;
  request_class.name = spec.name;
  request_class.latency_objective = spec.latency_objective;
  request_class.deadline = spec.deadline;
  request_class.idempotency = spec.idempotency;
  request_class.key_window = spec.key_window;
  request_class.priority_weight = spec.priority_weight;
  return request_class;
}

}  // namespace

Deployment MakeDeployment(const Experiment& experiment, std::size_t upstreams) {
  Deployment deployment;
  for (const ZoneSpec& zone : ZonesOf(experiment)) deployment.zones.push_back(zone.name);
  deployment.upstreams = DrawUpstreams(experiment, upstreams);
  deployment.requests_per_s = TotalRate(experiment, deployment.upstreams);
  deployment.sidecars = DrawSidecars(experiment, upstreams, deployment.requests_per_s);
  deployment.faults = DrawFaults(experiment, deployment);
  return deployment;
}

std::uint64_t DeriveSeed(std::uint64_t seed, const std::string& purpose, std::uint64_t index) {
  std::array<unsigned char, sizeof(index)> bytes{};  // least significant first, whatever the machine's order
  for (std::size_t i = 0; i < bytes.size(); ++i) bytes[i] = static_cast<unsigned char>(index >> (8 * i));
  return XXH64(purpose.data(), purpose.size(), XXH64(bytes.data(), bytes.size(), seed));
}

lb::Settings SidecarSettings(const Experiment& experiment, const Deployment& deployment,
                             const SidecarInstance& self) {
  lb::Settings settings;
  for (const ClassSpec& spec : experiment.classes) settings.classes.push_back(ToRequestClass(spec));
  settings.zone = self.zone;
  settings.sidecar_count = deployment.sidecars.size();
  settings.sidecar_index = self.index;
  settings.polled_membership = experiment.discovery.on_request;
  settings.load_probes_report_load = experiment.sidecars.probes;
  settings.limits.max_attempts = static_cast<std::size_t>(experiment.sidecars.max_attempts);
  settings.limits.hedging_allowed = experiment.sidecars.hedging_allowed;
  settings.limits.load_probes_allowed = experiment.sidecars.probes;
  settings.limits.send_retry_after = experiment.sidecars.retry_after;
  settings.limits.idle_close = experiment.upstreams.idle_close;
  settings.fleet_limits.slow_start_initial_share = experiment.upstreams.slow_start_initial_share;
  settings.fleet_limits.slow_start_duration = experiment.upstreams.slow_start_duration;
  settings.fleet_limits.overload_multiple = kOverloadMultiple;
  settings.fleet_limits.overload_window = kOverloadWindow;
  settings.decision_costs.cross_zone = experiment.sidecars.cross_zone_price;
  settings.decision_costs.probe = experiment.sidecars.probe_price;
  settings.Validate();
  return settings;
}

}  // namespace lb::lab
