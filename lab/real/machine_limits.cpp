#include "lab/real/machine_limits.h"

#include <algorithm>
#include <stdexcept>
#include <string>

#include "lab/real/cpu_clock.h"
#include "lab/real/descriptor_limit.h"

namespace lb::lab {
namespace {

constexpr std::size_t kMaxProcesses = 300;
constexpr double kMemoryShare = 0.5;  // of the machine's physical memory
// Estimated memory in MB of the program itself, of a hollow sidecar, of a line of its endpoint list, and of
// an upstream.
constexpr double kProgramMb = 100;
constexpr double kHollowSidecarMb = 0.25;
constexpr double kListLineMb = 0.002;
constexpr double kUpstreamMb = 0.05;
// Descriptors per sidecar, besides the listening socket of its discovery agent, and of the rest of the
// program.
constexpr std::size_t kDescriptorsPerSidecar = 6;
constexpr std::size_t kOtherDescriptors = 1000;

double EstimateMemoryMb(const Experiment& experiment, const Deployment& deployment) {
  const auto upstreams = static_cast<double>(deployment.upstreams.size());
  const auto real = static_cast<double>(CountRealSidecars(deployment));
  const auto hollow = static_cast<double>(CountHollowSidecars(experiment, deployment));
  const double services =
      experiment.list == ListScope::kService ? static_cast<double>(experiment.services) : 1;
  return kProgramMb + hollow * (kHollowSidecarMb + upstreams / services * kListLineMb) +
         upstreams * kUpstreamMb + real * experiment.sidecars.memory_mb;
}

}  // namespace

std::size_t CountRealSidecars(const Deployment& deployment) {
  return static_cast<std::size_t>(std::count_if(deployment.sidecars.begin(), deployment.sidecars.end(),
                                                [](const SidecarInstance& sidecar) { return sidecar.real; }));
}

std::size_t CountHollowSidecars(const Experiment& experiment, const Deployment& deployment) {
  return experiment.hollow_absent ? 0 : deployment.sidecars.size() - CountRealSidecars(deployment);
}

double MemoryLimitMb() { return MachineMemoryMb() * kMemoryShare; }

void CheckFitsMachine(const Experiment& experiment, const Deployment& deployment) {
  const double estimate_mb = EstimateMemoryMb(experiment, deployment);
  const double limit_mb = MemoryLimitMb();
  if (estimate_mb > limit_mb) {
    throw std::runtime_error("the run needs about " + std::to_string(estimate_mb) +
                             " MB of memory, more than the limit of " + std::to_string(limit_mb));
  }
  const std::size_t processes = 1 + ChildProcesses() + CountRealSidecars(deployment);
  if (processes > kMaxProcesses) {
    throw std::runtime_error("the run needs " + std::to_string(processes) +
                             " processes, more than the limit of " + std::to_string(kMaxProcesses));
  }
}

void EnsureDescriptorsForRun(const Experiment& experiment, const Deployment& deployment) {
  const std::size_t real = CountRealSidecars(deployment);
  // A real sidecar has at most `sockets` connections to upstreams. Each sidecar has a discovery agent with a
  // listening socket.
  const std::size_t connections =
      std::min(deployment.upstreams.size(), static_cast<std::size_t>(experiment.sidecars.sockets));
  EnsureDescriptorLimit(deployment.sidecars.size() +
                        (CountHollowSidecars(experiment, deployment) + real) * kDescriptorsPerSidecar +
                        deployment.upstreams.size() + real * connections + kOtherDescriptors);
}

}  // namespace lb::lab
