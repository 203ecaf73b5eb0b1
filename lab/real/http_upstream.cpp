#include "lab/real/http_upstream.h"

#include <algorithm>
#include <chrono>

namespace lb::lab {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr Duration kMaxSweepInterval = std::chrono::seconds(1);
constexpr Duration kMinSweepInterval = std::chrono::milliseconds(20);
constexpr int kSweepsPerIdleClose = 8;

}  // namespace

HttpUpstreams::HttpUpstreams(boost::asio::io_context& io, Scheduler& scheduler, const Deployment& deployment,
                             const UpstreamSpec& spec, const HttpUpstreamOptions& options)
    : spec_(spec), sweep_timer_(io) {
  servers_.reserve(deployment.upstreams.size());
  for (const UpstreamInstance& instance : deployment.upstreams) {
    servers_.push_back(std::make_unique<HttpUpstreamServer>(io, scheduler, instance, spec, options));
  }
  SweepIdle();
}

HttpUpstreams::~HttpUpstreams() = default;

// Periodically closes idle connections. The sweep runs at intervals, so it closes a connection up to one
// interval before UpstreamSpec::idle_close has passed.
void HttpUpstreams::SweepIdle() {
  const Duration pause =
      std::clamp<Duration>(spec_.idle_close / kSweepsPerIdleClose, kMinSweepInterval, kMaxSweepInterval);
  for (const auto& server : servers_) {
    server->CloseIdleSince(server->scheduler.Now() - (spec_.idle_close - pause));
  }
  sweep_timer_.expires_after(pause);
  sweep_timer_.async_wait([this](error_code error) {
    if (!error) SweepIdle();
  });
}

std::size_t HttpUpstreams::size() const { return servers_.size(); }

tcp::endpoint HttpUpstreams::endpoint(std::size_t upstream) const {
  return servers_.at(upstream)->endpoint();
}

std::string HttpUpstreams::address(std::size_t upstream) const {
  const tcp::endpoint at = endpoint(upstream);
  return at.address().to_string() + ":" + std::to_string(at.port());
}

const UpstreamModel& HttpUpstreams::model(std::size_t upstream) const { return servers_.at(upstream)->model; }

const HttpUpstreamCounters& HttpUpstreams::counters(std::size_t upstream) const {
  return servers_.at(upstream)->counters;
}

HttpUpstreamCounters HttpUpstreams::TotalCounters() const {
  HttpUpstreamCounters total;
  for (const auto& server : servers_) total += server->counters;
  return total;
}

std::size_t HttpUpstreams::open_connections() const {
  std::size_t count = 0;
  for (const auto& server : servers_) count += server->open_connections();
  return count;
}

void HttpUpstreams::Crash(std::size_t upstream) { servers_.at(upstream)->Crash(); }

void HttpUpstreams::Start(std::size_t upstream) { servers_.at(upstream)->Start(); }

void HttpUpstreams::SetHanging(std::size_t upstream, bool hanging) {
  servers_.at(upstream)->model.SetHanging(hanging);
}

void HttpUpstreams::SetSlowdown(std::size_t upstream, double factor) {
  servers_.at(upstream)->model.SetSlowdown(factor);
}

void HttpUpstreams::SetSilent(std::size_t upstream, bool silent) { servers_.at(upstream)->SetSilent(silent); }

void HttpUpstreams::SetDraining(std::size_t upstream, bool draining) {
  servers_.at(upstream)->model.SetDraining(draining);
}

}  // namespace lb::lab
