// The deployment of an experiment at one size, drawn at random: upstream machines, sidecars, and the time and
// targets of each fault. A pure function of the experiment, the size and the seed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/spec/experiment.h"

namespace lb::lab {

struct UpstreamInstance {
  std::size_t index = 0;  // into Deployment::upstreams
  std::string id;
  std::size_t service = 0;
  std::size_t region = 0;
  std::string zone;
  const KindSpec* kind = nullptr;  // points into the experiment, which must outlive the deployment
  double speed = 1;                // of one core of this machine
  double weight = 1;  // as registered in discovery: cores times the kind's speed, scaled to a mean of 1
};

struct SidecarInstance {
  std::size_t index = 0;
  std::string name;
  std::size_t service = 0;  // the service that it calls
  std::size_t region = 0;
  std::string zone;
  double requests_per_s = 0;
  std::uint64_t seed = 0;
  bool real = false;  // runs as a process of its own; otherwise hollow
};

struct FaultEvent {
  FaultKind kind = FaultKind::kCrash;
  Duration at{};  // from the run's start, warm-up included
  Duration until{};
  double factor = 1;
  double share = 0;
  int count = 1;
  std::string zone;
  Duration step{};
  Duration delay{};
  // Targets, in the order drawn; a kChange or kRestart fault is applied to the upstreams in this order.
  std::vector<std::size_t> upstreams;
  std::vector<std::size_t> sidecars;
};

struct Deployment {
  std::vector<std::string> zones;
  std::vector<UpstreamInstance> upstreams;
  std::vector<SidecarInstance> sidecars;
  std::vector<FaultEvent> faults;  // in order of time
  double requests_per_s = 0;       // over all sidecars
};

// Draws the deployment with this number of upstreams, which SizesError() (experiment.h) must accept.
// `experiment` has to outlive the result.
Deployment MakeDeployment(const Experiment& experiment, std::size_t upstreams);

// Derives an independent seed for one purpose from the experiment's seed, by XXH64. The same arguments give
// the same result on every machine.
std::uint64_t DeriveSeed(std::uint64_t seed, const std::string& purpose, std::uint64_t index = 0);

// The balancer settings of sidecar `self` of the deployment.
lb::Settings SidecarSettings(const Experiment& experiment, const Deployment& deployment,
                             const SidecarInstance& self);

}  // namespace lb::lab
