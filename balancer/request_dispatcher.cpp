#include "balancer/request_dispatcher.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace lb {

using Preference = UpstreamSelector::Preference;

// ---- Events ----

void RequestDispatcher::HandleRequestArrived(const RequestArrived& event, TimePoint now) {
  const auto class_index = static_cast<std::size_t>(event.request_class);
  if (class_index >= components_.settings.classes.size()) return;
  Request* request = components_.requests.Insert(event.request);
  if (request == nullptr) return;
  request->request_class = &components_.settings.classes[class_index];
  request->class_index = class_index;
  request->arrived = now;
  request->deadline = event.deadline;
  request->client_retry = event.client_retry;
  request->body_streams = event.body_pending;
  request->body_pending = event.body_pending;
  components_.traffic.RecordRequest();
  components_.retry_budget.OnRequest();
  if (!request->body_pending) SetRequestTimer(*request, request->deadline);
  ContinueRequest(*request, now);
  if (!request->body_pending) ScheduleHedge(*request, now);
  components_.requests.EraseIfDone(event.request);
}

void RequestDispatcher::HandleRequestCompleted(const RequestCompleted& event, TimePoint now) {
  Request* request = components_.requests.Find(event.request);
  if (request == nullptr || request->ended || !request->body_pending) return;
  request->body_pending = false;
  request->arrived = now;
  request->deadline = event.deadline;
  SetRequestTimer(*request, request->deadline);
  for (Attempt& attempt : request->attempts) {
    if (!attempt.outcome) outcomes_.RecordStart(attempt, now);
  }
}

void RequestDispatcher::HandleResponseStarted(const ResponseStarted& event, TimePoint now) {
  Request* request = components_.requests.Find(event.request);
  Attempt* attempt = request == nullptr ? nullptr : request->Find(event.attempt);
  if (attempt == nullptr || request->ended || request->response_started || attempt->outcome) return;
  request->response_started = true;
  attempt->response_started = true;
  outcomes_.RecordOutcome(*request, *attempt, Outcome::kServed, now - attempt->sent, now);
  for (std::size_t i = 0; i < request->attempts.size(); ++i) {
    if (AttemptId{i} != event.attempt) CancelAttemptOf(*request, AttemptId{i});
  }
}

void RequestDispatcher::HandleAttemptFinished(const AttemptFinished& event, TimePoint now) {
  Request* request = components_.requests.Find(event.request);
  Attempt* attempt = request == nullptr ? nullptr : request->Find(event.attempt);
  if (attempt == nullptr || attempt->outcome) return;
  attempt->outcome = event.outcome;
  attempt->connection_idle_for = event.connection_idle_for.value_or(attempt->connection_idle_for);
  request->body_consumed |= event.body_consumed;
  if (!attempt->response_started) {
    outcomes_.RecordOutcome(*request, *attempt, event.outcome, event.elapsed, now);
  } else if (IsFailure(event.outcome)) {
    outcomes_.RecordHealth(*attempt, event.outcome, now);
  }
  if (event.response_delivered) {
    EndRequest(*request);
  } else if (attempt->response_started) {
    FinishRequest(*request);  // a streamed response broke off, and the sidecar still needs a final answer
  } else {
    ContinueRequest(*request, now);
  }
  components_.requests.EraseIfDone(event.request);
}

void RequestDispatcher::HandleRequestCancelled(const RequestCancelled& event) {
  Request* request = components_.requests.Find(event.request);
  if (request != nullptr) EndRequest(*request);
  components_.requests.EraseIfDone(event.request);
}

void RequestDispatcher::HandleLoadProbeFinished(const LoadProbeFinished& event, TimePoint now) {
  const UpstreamPtr upstream = components_.membership.Find(event.upstream.value);
  if (!upstream) return;
  OutlierDetector::RecordLoadProbe(*upstream, event.outcome);
  components_.membership.Monitor(*upstream);
  for (const RequestId id : components_.prober.RecordReport(upstream, event.load)) {
    Request* request = components_.requests.Find(id);
    if (request == nullptr || request->load_probes.empty()) continue;
    if (std::ranges::all_of(request->load_probes, &LoadProbe::answered)) SendByLoadReports(*request, now);
    components_.requests.EraseIfDone(id);
  }
}

// Handles the deadline, the end of the wait for load reports, or the time for a hedged request.
void RequestDispatcher::HandleRequestTimer(std::uint64_t token, TimePoint now) {
  const auto id = components_.requests.TakeTimer(token);
  Request* request = id ? components_.requests.Find(*id) : nullptr;
  if (request == nullptr) return;
  const bool is_deadline_over = !request->body_pending && now >= request->deadline;
  if (!is_deadline_over && !request->load_probes.empty()) {
    SendByLoadReports(*request, now);
  } else if (!is_deadline_over) {
    SendHedgedRequest(*request, now);
  } else if (!request->response_started) {
    FinishRequest(*request);
  }
  components_.requests.EraseIfDone(*id);
}

// ---- Attempts ----

void RequestDispatcher::ContinueRequest(Request& request, TimePoint now) {
  if (request.ended || request.response_started || request.HasPendingAttempt()) return;
  if (!request.load_probes.empty()) return;
  const bool first = request.attempts.empty();
  if (first && ShouldShed(request, now)) {
    RecordShedding(SheddingReason::kOverload, now);
    return FinishRequest(request);
  }
  if (components_.retries.ShouldRetry(request, now) && SendToNextUpstream(request, now)) {
    if (first) SendHalfOpenProbe(request, now);
    return;
  }
  if (first && SendHalfOpenProbe(request, now)) return;
  if (first) RecordShedding(SheddingReason::kNoUpstream, now);
  FinishRequest(request);
}

// If many responses are late, a client's retry is late itself, because its first try came at least a latency
// objective ago.
bool RequestDispatcher::ShouldShed(const Request& request, TimePoint now) {
  if (request.client_retry && components_.lateness.IsWidespread(now)) return true;
  return !components_.limiter.Admit(request.class_index);
}

void RequestDispatcher::RecordShedding(SheddingReason reason, TimePoint now) {
  if (components_.shedding.Begin(now)) components_.actions.Log(SheddingStartedLine(reason));
}

bool RequestDispatcher::SendToNextUpstream(Request& request, TimePoint now) {
  const UpstreamPtr chosen = selector_.Choose(request, now);
  if (!chosen) return false;
  const UpstreamPtr first = PreferLocal(request, chosen, now);
  request.load_probes = {{first}};
  AddLoadProbes(request, now);
  if (request.load_probes.size() > 1) {
    SendLoadProbes(request, now);
  } else {
    request.load_probes.clear();
    StartAttempt(request, first, AttemptKind::kOrdinary, now);
  }
  return true;
}

// A remote upstream is used only if its lower risk of a late response outweighs the cost of the cross-zone
// call. A remote upstream with hardly any calls counts as free of risk.
UpstreamPtr RequestDispatcher::PreferLocal(const Request& request, const UpstreamPtr& upstream,
                                           TimePoint now) {
  const ZoneLocality& locality = components_.locality;
  if (components_.prober.ProbesEachRequest() || !locality.HasCost() || locality.IsLocal(*upstream))
    return upstream;
  const UpstreamPtr local = selector_.Choose(request, now, Preference::kLocalGoodStanding);
  if (!local) return upstream;
  const double local_risk = components_.lateness.Risk(*local, now);
  const double remote_risk = components_.lateness.Risk(*upstream, now, 0);
  return locality.IsLocalWorthMore(local_risk, remote_risk) ? local : upstream;
}

void RequestDispatcher::AddLoadProbes(Request& request, TimePoint now) {
  const std::size_t count = components_.prober.ProbeCount(*request.load_probes.front().upstream, now);
  while (request.load_probes.size() < count) {
    // The second is local if cross-zone calls have a cost; a third may be anywhere, because local upstreams
    // become loaded together.
    const bool local = components_.locality.HasCost() && request.load_probes.size() == 1;
    UpstreamPtr next = local ? selector_.Choose(request, now, Preference::kLocalGoodStanding) : nullptr;
    if (!next || request.HasTried(*next)) next = selector_.Choose(request, now);
    if (!next || request.HasTried(*next)) return;  // no other upstream is available
    request.load_probes.push_back({next});
  }
}

void RequestDispatcher::SendLoadProbes(const Request& request, TimePoint now) {
  for (const LoadProbe& probe : request.load_probes) {
    if (!LoadProber::ClaimProbe(*probe.upstream)) continue;
    components_.actions.Add(
        SendLoadProbe{probe.upstream->info.id, components_.connections.max_connection_idle()});
  }
  components_.prober.BeginWaiting(request);
  SetRequestTimer(request, now + components_.prober.WaitTime());
}

void RequestDispatcher::SendByLoadReports(Request& request, TimePoint now) {
  std::vector<LoadProbe> reports = std::move(request.load_probes);
  request.load_probes.clear();
  components_.prober.EndWaiting(request);
  if (request.ended || request.response_started) return;
  std::erase_if(reports, [&](const LoadProbe& report) {
    return !report.in_flight || !selector_.IsEligible(*report.upstream, now) ||
           !components_.retries.CanSendTo(request, *report.upstream, now);
  });
  const LoadProber::Choice choice = components_.prober.Choose(request, reports, now);
  if (choice.upstream)
    return StartAttempt(request, choice.upstream, AttemptKind::kOrdinary, now, choice.in_flight);
  if (choice.overloaded) {
    RecordShedding(SheddingReason::kOverload, now);
  } else if (const UpstreamPtr other = selector_.Choose(request, now)) {
    return StartAttempt(request, other, AttemptKind::kOrdinary, now);
  }
  if (!request.HasPendingAttempt()) FinishRequest(request);
}

bool RequestDispatcher::SendHalfOpenProbe(Request& request, TimePoint now) {
  if (!components_.retries.CanSendCopy(request)) return false;
  const UpstreamPtr upstream = selector_.ChooseForHalfOpenProbe(request, now);
  if (!upstream) return false;
  StartAttempt(request, upstream, AttemptKind::kHalfOpenProbe, now);
  return true;
}

// A hedged request is never sent to an upstream that is no better than the one that hangs.
void RequestDispatcher::SendHedgedRequest(Request& request, TimePoint now) {
  const HedgingPolicy::Decision decision = components_.hedging.Decide(request, now);
  if (decision == HedgingPolicy::Decision::kReschedule) return ScheduleHedge(request, now);
  if (decision == HedgingPolicy::Decision::kNone) return;
  const UpstreamPtr upstream = selector_.Choose(request, now, Preference::kGoodStanding);
  if (!upstream) return;
  components_.retry_budget.SpendToken();
  StartAttempt(request, upstream, AttemptKind::kOrdinary, now);
}

void RequestDispatcher::ScheduleHedge(Request& request, TimePoint now) {
  const auto at = components_.hedging.Schedule(request, now);
  if (at) SetRequestTimer(request, *at);
}

void RequestDispatcher::StartAttempt(Request& request, const UpstreamPtr& upstream, AttemptKind kind,
                                     TimePoint now, double reported_in_flight) {
  const bool half_open_probe = kind == AttemptKind::kHalfOpenProbe;
  components_.slow_start.Spend(*upstream, now);
  if (half_open_probe) OutlierDetector::OnHalfOpenProbeSent(*upstream);
  components_.prober.OnRequestSent(upstream);
  const ConnectionTracker::Claim claim = components_.connections.ClaimConnection(*upstream, now);
  if (claim.close_idle) components_.actions.Add(CloseIdleConnections{upstream->info.id});
  const Duration begin_within = components_.retries.BeginWithin(request, now);
  request.attempts.push_back(
      {upstream, now, half_open_probe, claim.connects, claim.idle_for, reported_in_flight});
  if (!request.body_pending) outcomes_.RecordStart(request.attempts.back(), now);
  components_.actions.Add(SendAttempt{request.id, upstream->info.id,
                                      components_.retries.AttemptTimeout(request, now),
                                      components_.connections.max_connection_idle(), begin_within});
}

// ---- Final answers ----

void RequestDispatcher::FinishRequest(Request& request) {
  if (request.ended) return;
  if (components_.retries.CanReject(request)) {
    components_.actions.Add(RejectRequest{request.id, components_.retries.RetryAfter()});
  } else {
    components_.actions.Add(FailRequest{request.id});
  }
  EndRequest(request);
}

void RequestDispatcher::EndRequest(Request& request) {
  request.ended = true;
  components_.prober.EndWaiting(request);
  for (std::size_t i = 0; i < request.attempts.size(); ++i) CancelAttemptOf(request, AttemptId{i});
}

// A half-open probe is not cancelled with its request, because its outcome decides on readmission.
void RequestDispatcher::CancelAttemptOf(const Request& request, AttemptId attempt) {
  const Attempt& cancelled = request.attempts[static_cast<std::size_t>(attempt)];
  if (cancelled.outcome || cancelled.half_open_probe) return;
  if (components_.settings.limits.cancellation_allowed)
    components_.actions.Add(CancelAttempt{request.id, attempt});
}

void RequestDispatcher::SetRequestTimer(const Request& request, TimePoint at) {
  components_.actions.Add(SetTimer{at, components_.requests.AddTimer(request.id)});
}

}  // namespace lb
