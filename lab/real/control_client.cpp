#include "lab/real/control_client.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace lb::lab {
namespace {

constexpr std::size_t kMaxThreads = 4;

std::size_t ThreadCount(std::size_t sidecars) {
  const std::size_t half_of_cores = std::thread::hardware_concurrency() / 2;
  return std::max<std::size_t>(1, std::min({kMaxThreads, half_of_cores, sidecars}));
}

sidecar::DiscoveryClient::Mode ModeOf(const ControlClientOptions& options) {
  return options.on_request ? sidecar::DiscoveryClient::Mode::kPolledService
                            : sidecar::DiscoveryClient::Mode::kWatchedAgent;
}

}  // namespace

ControlClient::ControlClient(boost::asio::io_context& io, const ControlClientOptions& options,
                             const sidecar::UnixClock& clock, OnNotice on_notice)
    : on_notice_(std::move(on_notice)),
      log_("hollow", &null_stream_),
      discovery_(
          io, options.discovery, ModeOf(options), options.drain_grace, clock, log_, options.seed,
          [this](sidecar::EndpointList list) {
            on_notice_({list.revision, sidecar::Now(), std::move(list.update)});
          },
          [this] {
            on_notice_({0, sidecar::Now(), {lb::MembershipUpdate::Kind::kFailed, {}}});
          }) {}

ControlFleet::ControlFleet(std::size_t sidecars, const sidecar::UnixClock& clock)
    : clock_(clock), clients_(sidecars) {
  for (std::size_t i = 0; i < ThreadCount(sidecars); ++i) {
    threads_.push_back(std::make_unique<WorkerThread>("a control client thread"));
    threads_.back()->Start();
  }
}

ControlFleet::~ControlFleet() {
  for (const auto& thread : threads_) thread->Stop();
}

void ControlFleet::Start(std::size_t sidecar, const ControlClientOptions& options,
                         ControlClient::OnNotice on_notice) {
  WorkerThread& thread = ThreadOf(sidecar);
  thread.Post([this, &thread, sidecar, options, on_notice = std::move(on_notice)] {
    clients_[sidecar] = std::make_unique<ControlClient>(thread.io(), options, clock_, on_notice);
    if (!options.on_request) clients_[sidecar]->Ask();
  });
}

void ControlFleet::Stop(std::size_t sidecar) {
  ThreadOf(sidecar).Post([this, sidecar] { clients_[sidecar].reset(); });
}

void ControlFleet::Ask(std::size_t sidecar) {
  ThreadOf(sidecar).Post([this, sidecar] {
    if (clients_[sidecar]) clients_[sidecar]->Ask();
  });
}

double ControlFleet::CpuSeconds() {
  double sum = 0;
  for (const auto& thread : threads_) sum += thread->CpuSeconds();
  return sum;
}

void ControlFleet::RethrowFailure() {
  for (const auto& thread : threads_) thread->RethrowFailure();
}

}  // namespace lb::lab
