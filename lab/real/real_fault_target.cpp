#include "lab/real/real_fault_target.h"

#include <utility>

namespace lb::lab {
namespace {

// Minimum number of configurations in a fault for one of them to be malformed.
constexpr std::size_t kMinUpstreamsWithMalformed = 3;

}  // namespace

RealFaultTarget::RealFaultTarget(const Deployment& deployment, Scheduler& scheduler,
                                 DiscoveryServer& discovery, HollowFleet& hollow, RealFleet* real,
                                 SidecarOperator* real_operator, UpstreamOperator& upstreams)
    : deployment_(deployment),
      scheduler_(scheduler),
      discovery_(discovery),
      hollow_(hollow),
      real_(real),
      real_operator_(real_operator),
      upstreams_(upstreams) {}

void RealFaultTarget::RestartHollow(std::size_t sidecar) {
  hollow_.KillSidecar(sidecar);
  scheduler_.After(kSidecarRestart,
                   [this, sidecar] { hollow_.StartSidecar(sidecar, upstreams_.registry()); });
}

void RealFaultTarget::KillSidecars(const std::vector<std::size_t>& sidecars) {
  std::vector<std::size_t> real;
  for (const std::size_t sidecar : sidecars) {
    if (deployment_.sidecars[sidecar].real) {
      real.push_back(sidecar);
    } else {
      RestartHollow(sidecar);
    }
  }
  if (!real.empty()) real_operator_->Kill(std::move(real));
}

// A planned stop restarts a hollow sidecar immediately, as it has no requests to finish.
void RealFaultTarget::StopSidecars(const std::vector<std::size_t>& sidecars, Duration over) {
  SpreadEvenly(scheduler_, over, sidecars.size(), [this, &sidecars](std::size_t i) {
    const std::size_t sidecar = sidecars[i];
    if (!deployment_.sidecars[sidecar].real) return RestartHollow(sidecar);
    real_operator_->Stop({sidecar});
  });
}

void RealFaultTarget::SetLoadFactor(double factor) {
  hollow_.SetLoadFactor(factor);
  if (real_ != nullptr) real_->SetLoadFactor(factor);
}

void RealFaultTarget::StallClients(std::size_t count, Duration over) {
  if (real_operator_ == nullptr) return;
  SpreadEvenly(scheduler_, over, count, [this](std::size_t i) { real_operator_->StallClients(i); });
}

// The malformed configuration is the middle one, so that the last configuration sent is valid and takes
// effect.
void RealFaultTarget::SendConfigurations(std::size_t count, Duration over) {
  if (real_operator_ == nullptr) return;
  SpreadEvenly(scheduler_, over, count, [this, count](std::size_t i) {
    const bool malformed = count >= kMinUpstreamsWithMalformed && i == count / 2;
    real_operator_->Reconfigure(malformed);
  });
}

void RealFaultTarget::StepClocks(const std::vector<std::size_t>& sidecars, Duration step) {
  if (real_operator_ != nullptr) real_operator_->StepClocks(sidecars, step);
}

}  // namespace lb::lab
