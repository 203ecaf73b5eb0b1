// One draw of an experiment's deployment at one size: machines, sidecars, and when which fault strikes whom.
// A pure function of the experiment, the size and the seed.
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
  const KindSpec* kind = nullptr;  // into the experiment's, which outlives the deployment
  double speed = 1;                // of a core of this one
  double weight = 1;               // as registered: cores times the kind's speed, mean 1
};

struct SidecarInstance {
  std::size_t index = 0;
  std::string name;
  std::size_t service = 0;  // that it calls
  std::size_t region = 0;
  std::string zone;
  double requests_per_s = 0;
  std::uint64_t seed = 0;
  bool real = false;  // a process of its own
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
  std::vector<std::size_t>
      upstreams;                      // that it strikes, in the order drawn (a change for each, or a restart)
  std::vector<std::size_t> sidecars;  // likewise
};

struct Deployment {
  std::vector<std::string> zones;
  std::vector<UpstreamInstance> upstreams;
  std::vector<SidecarInstance> sidecars;
  std::vector<FaultEvent> faults;  // in order of time
  double requests_per_s = 0;       // over all sidecars
};

// `experiment` has to outlive the result. The size is one that SizesError() (experiment.h) accepts.
Deployment MakeDeployment(const Experiment& experiment, std::size_t upstreams);

// An independent seed for one purpose, from the experiment's seed: the same for the same words on every
// machine (XXH64).
std::uint64_t DeriveSeed(std::uint64_t seed, const std::string& purpose, std::uint64_t index = 0);

// The settings that sidecar `self` of the deployment is given, as the module takes them.
lb::Settings SidecarSettings(const Experiment& experiment, const Deployment& deployment,
                             const SidecarInstance& self);

}  // namespace lb::lab
