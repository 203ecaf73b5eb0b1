// Exchanges of a hollow sidecar with modelled upstreams: connects, sends a request, receives the response and
// reports the outcome to the module.
#include <algorithm>
#include <chrono>
#include <utility>

#include "lab/virtual/hollow_sidecar.h"

namespace lb::lab {
namespace {

using lb::AttemptFinished;
using lb::LoadReport;
using lb::Outcome;
using lb::RequestId;
using lb::UpstreamState;

// Time after a response before a connection is reused, as in sidecar/connection_pool.cpp: a surplus response
// to the first request would be taken for the response to the next one.
constexpr Duration kReuseDelay = std::chrono::milliseconds(20);

}  // namespace

void HollowSidecar::StartExchange(ExchangeId id, Exchange exchange, Duration max_idle) {
  const std::size_t upstream = exchange.upstream;
  if (listed_[upstream].state != UpstreamState::kServing) {
    return ReportOutcome(exchange, Outcome::kNotSent, {});
  }
  const auto connection = connections_.Take(upstream, max_idle);
  Exchange& started = exchanges_.emplace(id, exchange).first->second;
  if (!connection) return OpenConnection(id, started);
  started.connection = *connection;
  started.phase = Phase::kWaiting;
  SendRequest(id, started);
}

void HollowSidecar::OpenConnection(ExchangeId id, Exchange& exchange) {
  ++counters_.connects;
  exchange.connection.generation = listed_[exchange.upstream].generation;
  const TimePoint until =
      std::min({exchange.timeout_at, exchange.sent + settings_.limits.connect_timeout, exchange.begin_by});
  scheduler_.At(until, [this, id] {
    const auto it = exchanges_.find(id);
    if (it == exchanges_.end() || it->second.phase != Phase::kConnecting) return;
    const bool too_late = scheduler_.Now() >= it->second.begin_by;
    EndExchange(id, too_late ? Outcome::kNotSent : Outcome::kConnectFailed, false);
  });
  const Location& upstream_location = upstreams_.location(exchange.upstream);
  if (!network_.Reaches(location_, upstream_location)) return;
  scheduler_.After(network_.Delay(location_, upstream_location),
                   [this, id, upstream = exchange.upstream] { HandleConnectArrival(id, upstream); });
}

void HollowSidecar::HandleConnectArrival(ExchangeId id, std::size_t upstream) {
  if (!exchanges_.contains(id)) return;
  UpstreamModel& model = upstreams_.model(upstream);
  model.Connect([this, id, upstream, process = model.process()](ConnectResult result) {
    const auto it = exchanges_.find(id);
    // The exchange ended before its connection was accepted.
    if (it == exchanges_.end() && result == ConnectResult::kAccepted) {
      return connections_.Close(upstream, {process, 0, {}, {}, {}});
    }
    if (it == exchanges_.end()) return;
    if (result == ConnectResult::kAccepted) it->second.connection.process = process;
    SendToSidecar(upstream, [this, id, result] { HandleConnectResult(id, result); });
  });
}

void HollowSidecar::HandleConnectResult(ExchangeId id, ConnectResult result) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  if (result != ConnectResult::kAccepted) return EndExchange(id, Outcome::kConnectFailed, false);
  Exchange& exchange = it->second;
  exchange.phase = Phase::kWaiting;
  // The connection is established, but the request must not be sent any more.
  const bool late = scheduler_.Now() >= exchange.begin_by;
  if (!exchange.needed || late) return EndExchange(id, Outcome::kNotSent, true);
  SendRequest(id, exchange);
}

void HollowSidecar::SendRequest(ExchangeId id, Exchange& exchange) {
  const Location& upstream_location = upstreams_.location(exchange.upstream);
  if (exchange.request) {
    ++counters_.attempts;
    if (upstream_location.zone != location_.zone) ++counters_.crossings;
  } else {
    ++counters_.probes;
  }
  scheduler_.At(exchange.timeout_at, [this, id] { EndExchange(id, Outcome::kTimeout, false); });
  if (!network_.Reaches(location_, upstream_location)) return;
  scheduler_.After(network_.Delay(location_, upstream_location), [this, id] { HandleRequestArrival(id); });
}

void HollowSidecar::HandleRequestArrival(ExchangeId id) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  Exchange& exchange = it->second;
  const std::size_t upstream = exchange.upstream;
  UpstreamModel& model = upstreams_.model(upstream);
  const auto answer = [this, id, upstream](ServeResult result, const LoadReport& load) {
    SendToSidecar(upstream, [this, id, result, load] { HandleResponse(id, result, load); });
  };
  if (model.silent()) return;
  if (!model.running() || model.process() != exchange.connection.process) {
    return answer(ServeResult::kReset, {});
  }
  if (exchange.request) {
    exchange.call = model.Serve(exchange.work, [answer](ServeResult result) { answer(result, {}); });
  } else {
    model.Probe([answer](LoadReport load) { answer(ServeResult::kServed, load); });
  }
}

void HollowSidecar::SendToSidecar(std::size_t upstream, std::function<void()> task) {
  const Location& upstream_location = upstreams_.location(upstream);
  if (!network_.Reaches(upstream_location, location_)) return;
  scheduler_.After(network_.Delay(upstream_location, location_), std::move(task));
}

void HollowSidecar::HandleResponse(ExchangeId id, ServeResult result, const LoadReport& load) {
  switch (result) {
    case ServeResult::kServed:
      return EndExchange(id, Outcome::kServed, true, settings_.load_probes_report_load ? load : LoadReport{});
    case ServeResult::kRejected:
      return EndExchange(id, Outcome::kRejected, true);
    case ServeResult::kReset:
      return EndExchange(id, Outcome::kReset, false);
  }
}

void HollowSidecar::EndExchange(ExchangeId id, Outcome outcome, bool keep_connection,
                                const LoadReport& load) {
  const auto it = exchanges_.find(id);
  if (it == exchanges_.end()) return;
  const Exchange exchange = it->second;
  exchanges_.erase(it);
  CountOutcome(exchange, outcome);
  if (keep_connection) {
    HollowConnection connection = exchange.connection;
    const bool is_unused = outcome == Outcome::kNotSent;
    connection.idle_since = scheduler_.Now();
    connection.usable_from = connection.idle_since + (is_unused ? Duration::zero() : kReuseDelay);
    Release(exchange.upstream, connection);
  } else {
    if (exchange.call) upstreams_.model(exchange.upstream).Abandon(*exchange.call);
    if (exchange.connection.process != 0) connections_.Close(exchange.upstream, exchange.connection);
  }
  ReportOutcome(exchange, outcome, load);
}

void HollowSidecar::CountOutcome(const Exchange& exchange, Outcome outcome) {
  if (outcome == Outcome::kConnectFailed) ++counters_.connects_failed;
  if (!exchange.request) return;
  if (outcome == Outcome::kRejected) ++counters_.attempts_full;
  if (outcome == Outcome::kTimeout) ++counters_.attempts_timed_out;
}

void HollowSidecar::ReportOutcome(const Exchange& exchange, Outcome outcome, const LoadReport& load) {
  const Duration elapsed = scheduler_.Now() - exchange.sent;
  if (!exchange.request) {
    const std::string& id = upstreams_.model(exchange.upstream).instance().id;
    return host_->Deliver(lb::LoadProbeFinished{{id}, outcome, elapsed, load});
  }
  const RequestId request = *exchange.request;
  const auto it = requests_.find(request);
  if (it == requests_.end()) return;
  Pending& pending = it->second;
  --pending.open_attempts;
  if (outcome == Outcome::kServed && pending.on_answer) AnswerClient(pending, {AnswerKind::kServed, {}});
  const bool finished = !pending.on_answer;
  host_->Deliver(AttemptFinished{request, exchange.attempt, outcome, elapsed, finished, load,
                                 exchange.connection.idle_for, false});
  EraseIfDone(request);
}

void HollowSidecar::Release(std::size_t upstream, const HollowConnection& connection) {
  const Listed& listed = listed_[upstream];
  if (listed.state != UpstreamState::kServing || listed.generation != connection.generation) {
    return connections_.Close(upstream, connection);
  }
  connections_.Return(upstream, connection);
}

}  // namespace lb::lab
