#include "sidecar/request_intake.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <memory>
#include <utility>
#include <variant>

#include "sidecar/local_responses.h"
#include "sidecar/log_events.h"

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

// The client's timeout runs from when it sent the request, at least this long before the request was read
// here.
constexpr Duration kMinClientDelay = milliseconds(2);
constexpr Duration kMinTimeout = milliseconds(1);
// The Retry-After of a request whose id can't be kept. Ids that give way become free all the time.
constexpr Duration kFullRegistryRetryAfter = std::chrono::seconds(1);
// How often the deadline of a request is computed anew while its body is received: it moves as the body does,
// and a planned stop limits it.
constexpr Duration kUploadCheckInterval = milliseconds(250);

}  // namespace

RequestIntake::RequestIntake(boost::asio::io_context& io, const Settings& settings, BalancerHost& host,
                             RequestTable& requests, AttemptLauncher& launcher, RequestCounters& counters,
                             Logger& log)
    : io_(io),
      validator_(settings),
      host_(host),
      requests_(requests),
      launcher_(launcher),
      counters_(counters),
      log_(log) {}

Listener::OnDisconnected RequestIntake::AcceptRequest(HttpRequest message, Body body,
                                                      Listener::SendResponse send_response,
                                                      Listener::CheckClient check_client) {
  const TimePoint now = Now();
  const auto reject = [this, &send_response](RequestError error) {
    const bool is_repeated = error == RequestError::kDuplicateRequestId;
    counters_.Count(is_repeated ? RequestEnd::kRepeatedId : RequestEnd::kInvalid);
    send_response(BadRequestResponse(error), nullptr);
    return nullptr;
  };
  RemoveHopByHop(message);
  const auto validation =
      validator_.Validate(message, body ? BodyDelivery::kStreamed : BodyDelivery::kComplete);
  if (const auto* error = std::get_if<RequestError>(&validation)) return reject(*error);
  const auto& valid = std::get<ValidRequest>(validation);
  switch (requests_.ReserveWireId(valid.wire_id, now)) {
    case RequestIdRegistry::ClaimResult::kClaimed:
      break;
    case RequestIdRegistry::ClaimResult::kRepeated:
      log_.Write(LogEvent(log_events::kRequestIdRepeated).With("request_id", valid.wire_id));
      return reject(RequestError::kDuplicateRequestId);
    case RequestIdRegistry::ClaimResult::kFull:
      log_.Write(LogEvent(log_events::kRequestIdsFull).With("request_id", valid.wire_id));
      counters_.Count(RequestEnd::kNoRoomForId);
      send_response(RejectedResponse(kFullRegistryRetryAfter), nullptr);
      return nullptr;
  }

  lb::RequestArrived event;
  event.request = requests_.NextId();
  event.request_class = valid.request_class;
  event.deadline = ComputeDeadline(now, std::max<Duration>(valid.timeout - kMinClientDelay, kMinTimeout));
  event.tenant = valid.tenant;
  event.work = valid.work;
  event.client_retry = valid.client_retry;
  event.body_pending = body != nullptr;

  InFlightRequest request;
  request.wire_id = valid.wire_id;
  request.message = std::make_shared<const HttpRequest>(std::move(message));
  request.deadline = event.deadline;
  request.timeout = event.deadline - now;
  request.send_response = std::move(send_response);
  request.check_client = std::move(check_client);
  const RequestId id = event.request;
  const bool is_streamed = body != nullptr;
  if (is_streamed) {
    request.deadline = TimePoint::max();
    body->NotifyWhenSent([this, id] { HandleBodySent(id); });
    request.body = std::move(body);
  }
  requests_.Add(id, std::move(request));
  host_.Deliver(event);
  if (is_streamed) CheckUploadDeadline(id);
  return [this, id] { HandleClientDisconnected(id); };
}

TimePoint RequestIntake::ComputeDeadline(TimePoint completed_at, Duration timeout) const {
  return std::max(completed_at, std::min(completed_at + timeout, latest_deadline_));
}

void RequestIntake::HandleBodySent(RequestId id) {
  InFlightRequest* request = requests_.Find(id);
  if (!request || !request->AwaitsResponse() || request->HasDeadline()) return;
  SetDeadline(id, *request, ComputeDeadline(*request->body->sent_at(), request->timeout));
}

void RequestIntake::SetDeadline(RequestId id, InFlightRequest& request, TimePoint deadline) {
  request.deadline = deadline;
  host_.Deliver(lb::RequestCompleted{id, deadline});
}

void RequestIntake::CheckUploadDeadline(RequestId id) {
  InFlightRequest* request = requests_.Find(id);
  if (!request || !request->AwaitsResponse() || request->HasDeadline()) return;
  const TimePoint now = Now();
  const TimePoint deadline = ComputeDeadline(request->body->EarliestLastByte(), request->timeout);
  if (now < deadline) return CheckUploadDeadlineAt(id, std::min(deadline, now + kUploadCheckInterval));
  log_.Write(LogEvent(log_events::kUploadTimedOut)
                 .With("request_id", request->wire_id)
                 .With("timeout_ms", std::chrono::duration_cast<milliseconds>(request->timeout).count()));
  SetDeadline(id, *request, deadline);
  // An attempt that has not been written whole has not run, so that the request can be rejected.
  launcher_.FailIncomplete(id);
}

void RequestIntake::CheckUploadDeadlineAt(RequestId id, TimePoint at) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, ToSteady(at));
  timer->async_wait([this, timer, id](boost::system::error_code error) {
    if (!error) CheckUploadDeadline(id);
  });
}

void RequestIntake::HandleClientDisconnected(RequestId id) {
  InFlightRequest* request = requests_.Find(id);
  if (!request || !request->AwaitsResponse()) return;
  counters_.Count(RequestEnd::kClientDisconnected);
  request->send_response = nullptr;
  launcher_.AbandonUnsent(*request);
  host_.Deliver(lb::RequestCancelled{id});
  requests_.RemoveIfEnded(id, Now());
}

void RequestIntake::RejectRequest(const lb::RejectRequest& action) {
  InFlightRequest* request = requests_.Find(action.request);
  if (!request) return;
  if (request->AwaitsResponse()) counters_.Count(RequestEnd::kRejected);
  launcher_.Respond(*request, RejectedResponse(action.retry_after));
  requests_.RemoveIfEnded(action.request, Now());
}

void RequestIntake::FailRequest(const lb::FailRequest& action) {
  InFlightRequest* request = requests_.Find(action.request);
  if (!request) return;
  const bool deadline_exceeded = Now() >= request->deadline;
  if (request->AwaitsResponse()) {
    counters_.Count(deadline_exceeded ? RequestEnd::kDeadlineExceeded : RequestEnd::kUpstreamFailed);
  }
  launcher_.Respond(*request, deadline_exceeded ? DeadlineExceededResponse() : UpstreamFailedResponse());
  requests_.RemoveIfEnded(action.request, Now());
}

}  // namespace lb::sidecar
