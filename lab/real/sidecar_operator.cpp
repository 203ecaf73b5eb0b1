#include "lab/real/sidecar_operator.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <csignal>
#include <memory>
#include <stdexcept>
#include <utility>

#include "sidecar/clock.h"

namespace lb::lab {
namespace {

using std::chrono::milliseconds;

constexpr Duration kMaxCountedDeadline = std::chrono::seconds(3);
constexpr Duration kShutdownMargin = milliseconds(700);
// Time after SIGTERM during which applications still open connections.
constexpr Duration kConnectsAfterTerm = milliseconds(300);
constexpr auto kWatchInterval = milliseconds(10);
constexpr Duration kReadyTimeout = std::chrono::seconds(10);

}  // namespace

Duration ShutdownTime(Duration longest_deadline) {
  return std::min(longest_deadline, kMaxCountedDeadline) + kShutdownMargin;
}

SidecarOperator::SidecarOperator(boost::asio::io_context& tasks, RealFleet& fleet, DiscoveryServer& discovery,
                                 Duration shutdown_time, ListSource list_source)
    : tasks_(tasks),
      fleet_(fleet),
      discovery_(discovery),
      shutdown_time_(shutdown_time),
      list_source_(std::move(list_source)),
      watch_timer_(tasks) {}

void SidecarOperator::Kill(std::vector<std::size_t> sidecars) {
  boost::asio::post(tasks_, [this, sidecars = std::move(sidecars)] {
    for (const std::size_t sidecar : sidecars) KillNow(sidecar);
  });
}

void SidecarOperator::Stop(std::vector<std::size_t> sidecars) {
  boost::asio::post(tasks_, [this, sidecars = std::move(sidecars)] {
    for (const std::size_t sidecar : sidecars) StopNow(sidecar);
    WatchStopping();
  });
}

void SidecarOperator::StallClients(std::size_t stall_index) {
  boost::asio::post(tasks_, [this, stall_index] {
    fleet_.StallClients(static_cast<StallPoint>(stall_index % kStallPoints));
  });
}

void SidecarOperator::Reconfigure(bool malformed) {
  boost::asio::post(tasks_, [this, malformed] { ReconfigureNow(malformed); });
}

void SidecarOperator::StepClocks(std::vector<std::size_t> sidecars, Duration step) {
  boost::asio::post(tasks_, [this, sidecars = std::move(sidecars), step] {
    for (const std::size_t sidecar : sidecars) fleet_.StepClock(sidecar, step);
  });
}

void SidecarOperator::KillNow(std::size_t sidecar) {
  if (!unavailable_.insert(sidecar).second) return;
  fleet_.KillSidecar(sidecar);
  StartLater(sidecar);
}

void SidecarOperator::StopNow(std::size_t sidecar) {
  if (!unavailable_.insert(sidecar).second) return;
  ++counters_.stopped;
  stopping_[sidecar].signalled_at = sidecar::Now();
  fleet_.SignalSidecar(sidecar, SIGTERM);
}

void SidecarOperator::ReconfigureNow(bool malformed) {
  for (const std::size_t sidecar : fleet_.SidecarIndices()) {
    if (unavailable_.contains(sidecar)) continue;
    if (malformed) {
      fleet_.WriteMalformedConfiguration(sidecar);
    } else {
      fleet_.ChangeDiscoveryAddress(sidecar, discovery_.Move(sidecar));
    }
    fleet_.SignalSidecar(sidecar, SIGHUP);
  }
}

void SidecarOperator::WatchStopping() {
  for (auto it = stopping_.begin(); it != stopping_.end();) {
    if (!HasEnded(it->first, it->second)) {
      ++it;
      continue;
    }
    StartLater(it->first);
    it = stopping_.erase(it);
  }
  if (stopping_.empty()) return;
  watch_timer_.expires_after(kWatchInterval);
  watch_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) WatchStopping();
  });
}

bool SidecarOperator::HasEnded(std::size_t sidecar, Stopping& stopping) {
  const TimePoint now = sidecar::Now();
  if (!fleet_.SidecarRuns(sidecar)) return true;
  if (now >= stopping.signalled_at + kConnectsAfterTerm && std::exchange(stopping.connecting, false)) {
    fleet_.SetConnecting(sidecar, false);
  }
  if (now < stopping.signalled_at + shutdown_time_) return false;
  ++counters_.killed_at_limit;
  fleet_.KillSidecar(sidecar);
  return true;
}

void SidecarOperator::StartLater(std::size_t sidecar) {
  fleet_.SetConnecting(sidecar, false);
  const auto timer = std::make_shared<boost::asio::steady_timer>(tasks_, kSidecarRestart);
  timer->async_wait([this, timer, sidecar](boost::system::error_code error) {
    if (error) return;
    fleet_.StartSidecar(sidecar, list_source_(sidecar));
    if (!fleet_.AwaitReady(sidecar, kReadyTimeout)) {
      throw std::runtime_error("a restarted sidecar did not become ready within 10 s");
    }
    fleet_.SetConnecting(sidecar, true);
    unavailable_.erase(sidecar);
  });
}

}  // namespace lb::lab
