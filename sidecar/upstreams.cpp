#include "sidecar/upstreams.h"

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <iterator>
#include <utility>
#include <vector>

#include "sidecar/http.h"
#include "sidecar/load_report.h"

namespace lb::sidecar {
namespace {

using lb::Outcome;
using lb::UpstreamState;

// Request paths of load probes.
constexpr const char* kLoadPath = "/metrics/load";
constexpr const char* kAlivePath = "/alive";

const Location kGoneLocation{UpstreamState::kGone, {}, 0};

}  // namespace

Upstreams::Upstreams(boost::asio::io_context& io, const lb::Limits& limits, bool load_probes_report_load,
                     BodyBuffering bodies, Descriptors& descriptors)
    : context_{io, descriptors, *this, limits.connect_timeout, std::move(bodies)},
      probe_target_(load_probes_report_load ? kLoadPath : kAlivePath),
      connection_pool_(context_, limits.idle_close) {}

Upstreams::~Upstreams() {
  for (const auto& [id, connection] : exchanges_) connection->Close();
  for (const auto& [upstream, pool] : pools_) connection_pool_.CloseIdle(*pool);
}

// ---- Membership ----

void Upstreams::Update(const std::string& upstream, const Location& location) {
  Apply(pools_.try_emplace(upstream).first, location);
}

// Merges the two maps in one pass: both are sorted by upstream id.
void Upstreams::ReplaceAll(const std::map<std::string, Location>& locations) {
  auto pool = pools_.begin();
  for (const auto& [upstream, location] : locations) {
    while (pool != pools_.end() && pool->first < upstream) pool = Apply(pool, kGoneLocation);
    if (pool == pools_.end() || pool->first != upstream) pool = pools_.try_emplace(pool, upstream);
    pool = Apply(pool, location);
  }
  while (pool != pools_.end()) pool = Apply(pool, kGoneLocation);
}

Upstreams::Pools::iterator Upstreams::Apply(Pools::iterator at, const Location& location) {
  auto& pool = at->second;
  const auto next = std::next(at);
  if (!pool) pool = std::make_shared<UpstreamPool>(UpstreamPool{at->first, {}, {}});
  const Location before = pool->location;
  pool->location = location;
  const bool has_moved = before.endpoint != location.endpoint || before.boot_ms != location.boot_ms;
  if (location.state == UpstreamState::kServing && !has_moved) return next;
  const auto old = pool;
  if (has_moved) {
    // Connections in use belong to the previous process or address. Without their pool they are closed after
    // use.
    pool = std::make_shared<UpstreamPool>(UpstreamPool{at->first, location, {}});
    old->location.state = UpstreamState::kGone;
  }
  if (location.state == UpstreamState::kGone) pools_.erase(at);
  RetirePool(old);
  return next;
}

void Upstreams::SetDisabled(const std::string& upstream, bool disabled) {
  if (!disabled) {
    disabled_.erase(upstream);
    return;
  }
  const bool is_new = disabled_.insert(upstream).second;
  if (!is_new) return;
  const auto it = pools_.find(upstream);
  if (it != pools_.end()) RetirePool(it->second);
}

bool Upstreams::AcceptsExchanges(const UpstreamPool& pool) const {
  return pool.location.state == UpstreamState::kServing && !disabled_.contains(pool.upstream);
}

void Upstreams::RetirePool(const std::shared_ptr<UpstreamPool>& pool) {
  connection_pool_.CloseIdle(*pool);
  FailUnsent(pool);
}

// Collects the exchanges first: their callbacks may start other exchanges, which would change `exchanges_`
// during the iteration.
void Upstreams::FailUnsent(const std::shared_ptr<UpstreamPool>& pool) {
  std::vector<std::shared_ptr<UpstreamConnection>> unsent;
  for (const auto& [id, connection] : exchanges_) {
    if (connection->unsent() && connection->pool() == pool) unsent.push_back(connection);
  }
  for (const auto& connection : unsent) connection->FailUnsent();
}

// ---- Exchanges ----

void Upstreams::StartExchange(ExchangeId id, const std::string& upstream, ExchangeRequest request) {
  const auto it = pools_.find(upstream);
  ConnectionPool::Opened opened;
  if (it != pools_.end() && AcceptsExchanges(*it->second)) {
    opened.connection = connection_pool_.TakeUsable(*it->second, request.max_connection_idle);
    if (!opened.connection && connection_pool_.IsReplacingTooOften()) {
      opened.connection = connection_pool_.TakeSoonUsable(*it->second);
    }
    if (!opened.connection) opened = connection_pool_.Open(it->second);
    if (!opened.connection && !opened.error && EvictSilentResponse()) {
      opened = connection_pool_.Open(it->second);
    }
    if (opened.error) opened.connection = connection_pool_.TakeSoonUsable(*it->second);
  }
  if (!opened.connection) {
    ExchangeResult result;
    result.outcome = opened.error ? Outcome::kLocalFailure : Outcome::kNotSent;
    result.connection_error = opened.error;
    return request.on_finished(std::move(result));
  }
  exchanges_.emplace(id, opened.connection);
  opened.connection->Start(id, std::move(request));
}

void Upstreams::SendLoadProbe(ExchangeId id, const std::string& upstream, Duration max_connection_idle,
                              OnFinished on_finished) {
  const auto request = std::make_shared<HttpRequest>(http::verb::get, probe_target_, 11);
  request->set(http::field::host, upstream);
  const bool is_load_in_body = probe_target_ == kLoadPath;
  ExchangeRequest probe;
  probe.request = request;
  probe.timeout = context_.connect_timeout;
  probe.max_connection_idle = max_connection_idle;
  probe.on_finished = [is_load_in_body, on_finished = std::move(on_finished)](ExchangeResult result) {
    if (is_load_in_body && result.outcome == Outcome::kServed) {
      result.load = ParseLoadReport(result.response.body().text());
    }
    on_finished(std::move(result));
  };
  StartExchange(id, upstream, std::move(probe));
}

std::shared_ptr<UpstreamConnection> Upstreams::FindExchange(ExchangeId id) const {
  const auto it = exchanges_.find(id);
  return it == exchanges_.end() ? nullptr : it->second;
}

void Upstreams::Cancel(ExchangeId id) {
  const auto connection = FindExchange(id);
  if (connection) connection->Cancel();
}

void Upstreams::AbandonUnsent(ExchangeId id) {
  const auto connection = FindExchange(id);
  if (connection) connection->AbandonUnsent();
}

void Upstreams::FailIncomplete(ExchangeId id) {
  const auto connection = FindExchange(id);
  if (connection) connection->FailIncomplete();
}

bool Upstreams::EvictSilentResponse() {
  std::shared_ptr<UpstreamConnection> longest;
  TimePoint longest_since = Now() - StreamDeadline::kEvictableStall;
  for (const auto& [id, connection] : exchanges_) {
    const auto since = connection->SilentSince();
    if (!since || *since > longest_since) continue;
    longest = connection;
    longest_since = *since;
  }
  if (longest) longest->FailSilent();
  return longest != nullptr;
}

void Upstreams::LimitResponses(TimePoint last_response_by) {
  for (const auto& [id, connection] : exchanges_) connection->LimitResponse(last_response_by);
}

void Upstreams::CloseIdleConnections(const std::string& upstream) {
  const auto it = pools_.find(upstream);
  if (it != pools_.end()) connection_pool_.CloseIdle(*it->second);
}

// ---- Connection events ----

void Upstreams::OnExchangeFinished(ExchangeId id) { exchanges_.erase(id); }

void Upstreams::OnReusable(const std::shared_ptr<UpstreamConnection>& connection) {
  const auto pool = connection->pool();
  if (!pool || !AcceptsExchanges(*pool)) return connection->Close();
  connection_pool_.Insert(*pool, connection);
}

void Upstreams::OnIdleConnectionLost(UpstreamConnection& connection) { connection_pool_.Remove(connection); }

}  // namespace lb::sidecar
