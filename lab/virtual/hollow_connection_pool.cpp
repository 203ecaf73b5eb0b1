#include "lab/virtual/hollow_connection_pool.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lb::lab {
namespace {

using std::chrono::milliseconds;

// The values of the real sidecar (sidecar/connection_pool.cpp).
constexpr int kIdleMarginDivisor = 10;
constexpr Duration kIdleMargin = milliseconds(500);
constexpr Duration kSweepInterval = milliseconds(250);

Duration IdleLimit(Duration limit) {
  return std::max(limit / 2, limit - std::max(limit / kIdleMarginDivisor, kIdleMargin));
}

}  // namespace

HollowConnectionPool::HollowConnectionPool(const UpstreamDirectory& upstreams, Scheduler& scheduler,
                                           Duration idle_close)
    : upstreams_(upstreams), scheduler_(scheduler), idle_limit_(IdleLimit(idle_close)) {}

std::optional<HollowConnection> HollowConnectionPool::Take(std::size_t upstream, Duration max_idle) {
  const auto it = idle_.find(upstream);
  if (it == idle_.end()) return std::nullopt;
  std::vector<HollowConnection>& pool = it->second;
  const Duration limit = std::min(idle_limit_, max_idle);
  const TimePoint now = scheduler_.Now();
  for (std::size_t i = pool.size(); i-- > 0;) {
    if (now < pool[i].usable_from) continue;
    HollowConnection connection = pool[i];
    pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(i));
    --size_;
    connection.idle_for = now - connection.idle_since;
    if (IsPresumedOpen(upstream, connection) && *connection.idle_for < limit) return connection;
    Close(upstream, connection);
  }
  return std::nullopt;
}

bool HollowConnectionPool::IsPresumedOpen(std::size_t upstream, const HollowConnection& connection) const {
  return connection.process > upstreams_.model(upstream).last_reset_process();
}

void HollowConnectionPool::Return(std::size_t upstream, const HollowConnection& connection) {
  idle_[upstream].push_back(connection);
  ++size_;
  ScheduleSweep();
}

void HollowConnectionPool::Close(std::size_t upstream, const HollowConnection& connection) {
  UpstreamModel& model = upstreams_.model(upstream);
  if (model.process() == connection.process) model.Disconnect();
}

void HollowConnectionPool::CloseIdleOf(std::size_t upstream) {
  const auto it = idle_.find(upstream);
  if (it == idle_.end()) return;
  const std::vector<HollowConnection> pool = std::move(it->second);
  idle_.erase(it);
  size_ -= pool.size();
  for (const HollowConnection& connection : pool) Close(upstream, connection);
}

void HollowConnectionPool::CloseAll() {
  ++epoch_;
  is_sweep_scheduled_ = false;
  for (std::size_t index = 0; index < upstreams_.size(); ++index) CloseIdleOf(index);
}

void HollowConnectionPool::ScheduleSweep() {
  if (is_sweep_scheduled_) return;
  is_sweep_scheduled_ = true;
  scheduler_.After(kSweepInterval, [this, epoch = epoch_] {
    if (epoch == epoch_) CloseExpired();
  });
}

void HollowConnectionPool::CloseExpired() {
  const TimePoint now = scheduler_.Now();
  std::vector<std::pair<std::size_t, HollowConnection>> expired;
  for (auto& [upstream, pool] : idle_) {
    std::erase_if(pool, [&, index = upstream](const HollowConnection& connection) {
      if (now - connection.idle_since < idle_limit_ && IsPresumedOpen(index, connection)) return false;
      expired.emplace_back(index, connection);
      return true;
    });
  }
  size_ -= expired.size();
  std::sort(expired.begin(), expired.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  for (const auto& [upstream, connection] : expired) Close(upstream, connection);
  is_sweep_scheduled_ = false;
  if (size_ > 0) ScheduleSweep();
}

}  // namespace lb::lab
