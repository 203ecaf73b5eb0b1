#include "sidecar/connection_pool.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <utility>

namespace lb::sidecar {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;

// An idle connection is retired before the upstream's idle timeout: the upstream measures the idle time from
// writing its response, the sidecar from reading it, and the next request needs time to arrive. The margin is
// this fraction of the timeout, at least kMinIdleMargin, and at most half of the timeout.
constexpr int kIdleMarginDivisor = 10;
constexpr Duration kMinIdleMargin = milliseconds(500);
// An idle connection may exceed its time limit by this much. Short compared to kMinIdleMargin.
constexpr auto kSweepInterval = milliseconds(250);
// If a socket can't be opened even after an idle connection was closed, other processes hold the scarce
// descriptors. No further idle connection is closed for that reason during this time.
constexpr Duration kFutileEvictionPause = milliseconds(100);
// How many connections that were in use just now may be closed for new ones in this time. The system has some
// 28,000 local ports for an upstream's address, and keeps that of a closed connection for a minute.
constexpr int kMaxReplacements = 400;
constexpr Duration kReplacementsTime = std::chrono::seconds(1);

Duration MaxIdle(Duration upstream_idle_timeout) {
  const Duration margin = std::max(upstream_idle_timeout / kIdleMarginDivisor, kMinIdleMargin);
  return std::max(upstream_idle_timeout / 2, upstream_idle_timeout - margin);
}

}  // namespace

ConnectionPool::ConnectionPool(const UpstreamConnection::Context& context, Duration upstream_idle_timeout)
    : context_(context), max_idle_(MaxIdle(upstream_idle_timeout)), sweep_(context.io) {
  ScheduleSweep();
}

std::shared_ptr<UpstreamConnection> ConnectionPool::TakeUsable(UpstreamPool& pool, Duration max_idle) {
  const Duration limit = std::min(max_idle_, max_idle);
  const TimePoint now = Now();
  for (std::size_t i = pool.idle.size(); i-- > 0;) {
    if (now < pool.idle[i].connection->usable_from()) continue;
    auto connection = Take(pool, i);
    if (connection->LooksAlive() && now - connection->idle_since() < limit) return connection;
    connection->Close();
  }
  return nullptr;
}

std::shared_ptr<UpstreamConnection> ConnectionPool::TakeSoonUsable(UpstreamPool& pool) {
  for (std::size_t i = 0; i < pool.idle.size(); ++i) {
    UpstreamConnection& connection = *pool.idle[i].connection;
    if (!connection.IsUsable() && connection.LooksAlive()) return Take(pool, i);
  }
  return nullptr;
}

bool ConnectionPool::IsReplacingTooOften() const {
  if (context_.descriptors.HasCapacity(Descriptors::Side::kUpstream)) return false;
  if (longest_idle_first_.empty() || longest_idle_first_.front()->IsUsable()) return false;
  return replacements_ >= kMaxReplacements && Now() - replacements_since_ < kReplacementsTime;
}

// When the system refuses a socket, closing an idle connection helps only if this process itself is at its
// limit. One is enough; the others stay open, because requests can still be sent on them.
ConnectionPool::Opened ConnectionPool::Open(const std::shared_ptr<UpstreamPool>& pool) {
  while (!context_.descriptors.HasCapacity(Descriptors::Side::kUpstream)) {
    if (!ReplaceLongestIdle()) return {};
  }
  Opened opened = TryOpen(pool);
  if (opened.error != boost::asio::error::no_descriptors) return opened;
  if (Now() < no_eviction_before_ || !EvictLongestIdle()) return opened;
  opened = TryOpen(pool);
  if (opened.error) no_eviction_before_ = Now() + kFutileEvictionPause;
  return opened;
}

ConnectionPool::Opened ConnectionPool::TryOpen(const std::shared_ptr<UpstreamPool>& pool) {
  auto connection = std::make_shared<UpstreamConnection>(context_, pool);
  const error_code error = connection->OpenSocket(pool->location.endpoint);
  if (!error) return {std::move(connection)};
  connection->Close();
  return {nullptr, error};
}

void ConnectionPool::Insert(UpstreamPool& pool, const std::shared_ptr<UpstreamConnection>& connection) {
  // A connection that was returned unused keeps its earlier idle time, so the search starts at the end but
  // may go back.
  const TimePoint since = connection->idle_since();
  auto position = longest_idle_first_.end();
  while (position != longest_idle_first_.begin() && (*std::prev(position))->idle_since() > since) --position;
  position = longest_idle_first_.insert(position, connection.get());
  const auto is_earlier = [](TimePoint time, const UpstreamPool::Entry& other) {
    return time < other.connection->idle_since();
  };
  pool.idle.insert(std::upper_bound(pool.idle.begin(), pool.idle.end(), since, is_earlier),
                   {connection, position});
}

std::shared_ptr<UpstreamConnection> ConnectionPool::Take(UpstreamPool& pool, std::size_t index) {
  const auto at = pool.idle.begin() + static_cast<std::ptrdiff_t>(index);
  auto connection = std::move(at->connection);
  longest_idle_first_.erase(at->position);
  pool.idle.erase(at);
  return connection;
}

void ConnectionPool::Remove(const UpstreamConnection& connection) {
  const auto pool = connection.pool();
  if (!pool) return;
  const auto is_same = [&](const UpstreamPool::Entry& entry) {
    return entry.connection.get() == &connection;
  };
  const auto at = std::ranges::find_if(pool->idle, is_same);
  if (at != pool->idle.end()) Take(*pool, static_cast<std::size_t>(at - pool->idle.begin()));
}

void ConnectionPool::CloseIdle(UpstreamPool& pool) {
  for (const auto& entry : pool.idle) {
    longest_idle_first_.erase(entry.position);
    entry.connection->Close();
  }
  pool.idle.clear();
}

void ConnectionPool::EnforceCapacity() {
  bool has_evicted = true;
  while (has_evicted && !context_.descriptors.HasCapacity(Descriptors::Side::kUpstream)) {
    has_evicted = EvictLongestIdle();
  }
}

bool ConnectionPool::EvictLongestIdle() {
  if (longest_idle_first_.empty()) return false;
  const auto longest = longest_idle_first_.front()->shared_from_this();
  Remove(*longest);
  longest->Close();
  return true;
}

bool ConnectionPool::ReplaceLongestIdle() {
  if (longest_idle_first_.empty()) return false;
  if (!longest_idle_first_.front()->IsUsable()) {
    const TimePoint now = Now();
    if (now - replacements_since_ >= kReplacementsTime) {
      replacements_since_ = now;
      replacements_ = 0;
    }
    ++replacements_;
  }
  return EvictLongestIdle();
}

void ConnectionPool::ScheduleSweep() {
  sweep_.expires_after(kSweepInterval);
  sweep_.async_wait([this](error_code error) {
    if (error) return;
    Sweep();
    ScheduleSweep();
  });
}

void ConnectionPool::Sweep() {
  const TimePoint now = Now();
  while (!longest_idle_first_.empty() && now - longest_idle_first_.front()->idle_since() >= max_idle_) {
    EvictLongestIdle();
  }
}

}  // namespace lb::sidecar
