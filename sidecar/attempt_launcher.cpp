#include "sidecar/attempt_launcher.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "sidecar/log_events.h"

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

// While it is unknown whether a client is connected, the attempt checks again after this time. A half-close
// probe on one machine takes about as long.
constexpr Duration kPresenceRecheck = milliseconds(2);
// Lower bound of an attempt's timeout: X-Timeout-Ms is in whole milliseconds.
constexpr Duration kMinTimeout = milliseconds(1);

// The log's name of an outcome that counts as a failure of the upstream or of this machine; none for other
// outcomes.
std::optional<std::string_view> FaultName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kError:
      return "error";
    case Outcome::kTimeout:
      return "timeout";
    case Outcome::kConnectFailed:
      return "connect_failed";
    case Outcome::kReset:
      return "reset";
    case Outcome::kLocalFailure:
      return "local_failure";
    default:
      return std::nullopt;
  }
}

// Moves `received` into a response to the client, without hop-by-hop header fields.
HttpResponse CompleteResponse(HttpResponse& received) {
  HttpResponse response(http::status::ok, 11);
  response.base() = std::move(received.base());
  response.body() = std::move(received.body());
  response.version(11);
  RemoveHopByHop(response);
  return response;
}

}  // namespace

AttemptLauncher::AttemptLauncher(boost::asio::io_context& io, BalancerHost& host, RequestTable& requests,
                                 Upstreams& upstreams, RequestCounters& counters, Logger& log)
    : io_(io), host_(host), requests_(requests), upstreams_(upstreams), counters_(counters), log_(log) {}

void AttemptLauncher::StartAttempt(const lb::SendAttempt& action) {
  InFlightRequest* request = requests_.Find(action.request);
  if (!request) return;
  const AttemptId attempt{request->attempts.size()};
  ++last_exchange_;
  request->attempts.push_back(ExchangeId{last_exchange_});
  ++request->unfinished_attempts;
  Launch({action, attempt, host_.handled_at()});
}

void AttemptLauncher::CancelAttempt(const lb::CancelAttempt& action) {
  const InFlightRequest* request = requests_.Find(action.request);
  const auto attempt = static_cast<std::size_t>(action.attempt);
  if (!request || attempt >= request->attempts.size()) return;
  upstreams_.Cancel(request->attempts[attempt]);
}

void AttemptLauncher::StartLoadProbe(const lb::SendLoadProbe& action) {
  ++last_exchange_;
  upstreams_.SendLoadProbe(
      ExchangeId{last_exchange_}, action.upstream.value, action.max_connection_idle,
      [this, upstream = action.upstream](const ExchangeResult& result) {
        host_.Deliver(lb::LoadProbeFinished{upstream, result.outcome, result.elapsed, result.load});
      });
}

void AttemptLauncher::Respond(InFlightRequest& request, HttpResponse response, Body body) {
  const Listener::SendResponse send_response = std::move(request.send_response);
  request.send_response = nullptr;
  if (send_response) send_response(std::move(response), std::move(body));
  AbandonUnsent(request);
}

void AttemptLauncher::AbandonUnsent(const InFlightRequest& request) {
  for (const auto exchange : request.attempts) upstreams_.AbandonUnsent(exchange);
}

// Works on a copy: the end of an attempt may end the request.
void AttemptLauncher::FailIncomplete(RequestId id) {
  const InFlightRequest* request = requests_.Find(id);
  if (!request) return;
  const std::vector<ExchangeId> attempts = request->attempts;
  for (const auto exchange : attempts) upstreams_.FailIncomplete(exchange);
}

// Also kGone if the request has its response already: the client no longer waits.
Listener::ClientPresence AttemptLauncher::CheckClient(RequestId id) const {
  const InFlightRequest* request = requests_.Find(id);
  return request && request->AwaitsResponse() ? request->check_client() : Listener::ClientPresence::kGone;
}

Duration AttemptLauncher::TimeLeft(RequestId id, TimePoint now) const {
  const InFlightRequest* request = requests_.Find(id);
  if (!request) return Duration::zero();
  if (request->HasDeadline()) return request->deadline - now;
  return request->body->EarliestLastByte() + request->timeout - now;
}

void AttemptLauncher::Launch(const DecidedAttempt& decided) {
  const InFlightRequest* request = requests_.Find(decided.action.request);
  if (!request) return;
  const auto client = CheckClient(decided.action.request);
  if (client == Listener::ClientPresence::kUnknown) return LaunchLater(decided);
  if (client == Listener::ClientPresence::kGone) {
    return HandleExchangeFinished(decided, {Outcome::kNotSent, {}, {}, {}});
  }
  upstreams_.StartExchange(request->attempts[static_cast<std::size_t>(decided.attempt)],
                           decided.action.upstream.value, MakeExchange(decided, *request));
}

void AttemptLauncher::LaunchLater(const DecidedAttempt& decided) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, kPresenceRecheck);
  timer->async_wait([this, timer, decided](boost::system::error_code error) {
    if (!error) Launch(decided);
  });
}

ExchangeRequest AttemptLauncher::MakeExchange(const DecidedAttempt& decided, const InFlightRequest& request) {
  const lb::SendAttempt& action = decided.action;
  const RequestId id = action.request;
  const Duration elapsed = Now() - decided.decided_at;
  ExchangeRequest exchange;
  exchange.request = request.message;
  exchange.body = request.body;
  exchange.timeout = action.timeout;
  // Without a deadline the body is still being streamed, and the timeout starts only with its last byte.
  if (request.HasDeadline()) {
    exchange.timeout = std::max<Duration>(exchange.timeout - elapsed, kMinTimeout);
  }
  exchange.max_connection_idle = action.max_connection_idle;
  if (action.begin_within != Duration::max()) exchange.begin_within = action.begin_within - elapsed;
  exchange.client_is_waiting = [this, id] { return CheckClient(id) == Listener::ClientPresence::kConnected; };
  exchange.time_left = [this, id](TimePoint now) { return TimeLeft(id, now); };
  exchange.last_response_by = last_response_by_;
  exchange.body_stall_timeout = request.timeout;
  exchange.on_response_started = [this, id, attempt = decided.attempt](HttpResponse head, Body body) {
    HandleResponseStarted(id, attempt, std::move(head), std::move(body));
  };
  exchange.on_finished = [this, decided](ExchangeResult result) {
    HandleExchangeFinished(decided, std::move(result));
  };
  return exchange;
}

void AttemptLauncher::HandleResponseStarted(RequestId id, AttemptId attempt, HttpResponse head, Body body) {
  InFlightRequest* request = requests_.Find(id);
  if (!request || !request->AwaitsResponse()) return body->AbandonByReader();
  head.version(11);
  RemoveHopByHop(head);
  request->responding_attempt = attempt;
  counters_.Count(RequestEnd::kServed);
  if (!body->length() && !body->HasData()) {
    counters_.CountForwardedHead();
    log_.Write(LogEvent(log_events::kResponseHeadForwarded).With("request_id", request->wire_id));
  }
  Respond(*request, std::move(head), std::move(body));
  host_.Deliver(lb::ResponseStarted{id, attempt});
}

// The client may close or half-close its connection while the upstream's is being established. If the attempt
// was not sent because the client's state was unknown, it is retried.
void AttemptLauncher::HandleExchangeFinished(const DecidedAttempt& decided, ExchangeResult result) {
  if (result.outcome == Outcome::kNotSent &&
      CheckClient(decided.action.request) == Listener::ClientPresence::kUnknown) {
    return LaunchLater(decided);
  }
  FinishAttempt(decided, std::move(result));
}

void AttemptLauncher::FinishAttempt(const DecidedAttempt& decided, ExchangeResult result) {
  const RequestId id = decided.action.request;
  InFlightRequest* request = requests_.Find(id);
  if (!request) return;
  --request->unfinished_attempts;
  LogFailedAttempt(*request, decided, result);
  if (result.outcome == Outcome::kServed && request->AwaitsResponse()) {
    counters_.Count(RequestEnd::kServed);
    Respond(*request, CompleteResponse(result.response));
  }

  AttemptFinished event;
  event.request = id;
  event.attempt = decided.attempt;
  event.outcome = result.outcome;
  event.elapsed = result.elapsed;
  // While a response is streamed, the end of another attempt is not the end of the request.
  event.response_delivered =
      !request->AwaitsResponse() && request->responding_attempt.value_or(decided.attempt) == decided.attempt;
  event.load = result.load;
  if (result.connection_use > 1) event.connection_idle_for = result.connection_idle_for;
  event.body_consumed = request->body && request->body->consumed();
  host_.Deliver(event);
  requests_.RemoveIfEnded(id, Now());
}

// Logs each failed attempt on a line of its own, so that a request can be traced by its id.
void AttemptLauncher::LogFailedAttempt(const InFlightRequest& request, const DecidedAttempt& decided,
                                       const ExchangeResult& result) {
  const bool is_streaming = request.responding_attempt == decided.attempt;
  auto outcome = FaultName(result.outcome);
  if (is_streaming && result.outcome == Outcome::kCancelled) outcome = "client_disconnected";
  if (!outcome) return;
  counters_.CountFailedAttempt(result.progress);
  LogEvent event(log_events::kAttemptFailed);
  event.With("request_id", request.wire_id)
      .With("upstream", decided.action.upstream.value)
      .With("outcome", *outcome)
      .With("attempt", static_cast<std::size_t>(decided.attempt))
      .With("streaming", is_streaming ? "yes" : "no")
      .With("progress", ToString(result.progress))
      .With("body_bytes", result.body_bytes)
      .With("elapsed_us", result.elapsed.count())
      .With("connection_use", result.connection_use)
      .With("connection_open_us", result.connection_open_for.count())
      .With("connection_idle_us", result.connection_idle_for.count());
  if (result.connection_error) event.With("error", result.connection_error.message());
  // The target comes last: it may be long, and overlong lines are truncated.
  const auto target = request.message->target();
  log_.Write(event.With("target", std::string_view(target.data(), target.size())));
}

}  // namespace lb::sidecar
