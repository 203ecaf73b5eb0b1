#include "sidecar/discovery_client.h"

#include <algorithm>
#include <boost/system/error_code.hpp>
#include <utility>

#include "sidecar/log_events.h"

namespace lb::sidecar {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;

// A call to an agent is abandoned after 1 / kSilenceShare of the drain grace, which is also the longest
// backoff that follows. An agent that was down does not answer, after its return, the calls made while it was
// down, and from its return on the sidecar is expected to know the agent's list. Half of the drain grace
// remains for a new connection, for receiving the list and for acting on it.
constexpr int kSilenceShare = 4;
constexpr auto kMinSilenceTimeout = milliseconds(10);
// The next watch must follow a response within 200 ms, or it counts as a new watch. The minimum interval
// keeps the client from calling in a tight loop if an agent responds immediately.
constexpr auto kMinCallInterval = milliseconds(50);
constexpr int kBackoffSteps = 3;  // number of doublings up to the longest backoff
// Calls to an agent follow one another closely while it is silent. Of the calls within this time one is kept
// open, so that a slow agent is heard.
constexpr Duration kSilentAgentCallInterval = milliseconds(1500);
// After this time without any response the whole list is requested, which an outage may have made necessary.
// A slow service has answered by then.
constexpr Duration kMaxSilenceWithoutWholeList = std::chrono::seconds(4);
// Before the first list, a call must not be silent for longer than this many times what the call before it
// was allowed.
constexpr int kFirstListSilenceFactor = 4;
// Limits a response of which parts keep arriving.
constexpr Duration kResponseTimeout = std::chrono::seconds(30);

std::string TargetOf(const PendingCall& call) {
  std::string target = "/discovery/hosts";
  if (call.IsForWholeList()) return target;
  const auto wait_ms = std::chrono::duration_cast<milliseconds>(call.wait).count();
  return target + "?index=" + std::to_string(*call.base) + "&wait=" + std::to_string(wait_ms);
}

}  // namespace

Duration BackoffAfter(int failures, Duration longest, double jitter) {
  const Duration backoff = longest / (1 << std::clamp(kBackoffSteps + 1 - failures, 0, kBackoffSteps));
  return backoff / 2 + std::chrono::duration_cast<Duration>(backoff / 2 * jitter);
}

Duration SilenceTimeout(Duration drain_grace) {
  return std::clamp<Duration>(drain_grace / kSilenceShare, kMinSilenceTimeout, kMaxSilenceTimeout);
}

DiscoveryClient::DiscoveryClient(boost::asio::io_context& io, Endpoint endpoint, Mode mode,
                                 Duration drain_grace, const UnixClock& clock, Logger& log,
                                 std::uint64_t seed, OnList on_list, OnFailed on_failed)
    : io_(io),
      endpoint_(std::move(endpoint)),
      mode_(mode),
      silence_timeout_(SilenceTimeout(drain_grace)),
      clock_(clock),
      log_(log),
      on_list_(std::move(on_list)),
      on_failed_(std::move(on_failed)),
      timing_(IsPolled() ? DiscoveryTiming::ForService() : DiscoveryTiming::ForAgent(silence_timeout_)),
      call_timer_(io),
      silence_timer_(io),
      silent_calls_(IsPolled() ? Duration::zero() : kSilentAgentCallInterval),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {}

DiscoveryClient::~DiscoveryClient() { DropOpenCalls(); }

void DiscoveryClient::DropOpenCalls() {
  if (call_) call_->connection->Drop();
  call_.reset();
  if (reusable_) reusable_->Drop();
  reusable_ = nullptr;
  silent_calls_.DropAll();
}

// A polled service processes its calls sequentially, and the cost of a whole list grows with its length. When
// a whole fleet starts at once, each sidecar therefore requests only the changes since the list it already
// has. An agent may count its revisions from another start than the one that the list is from.
void DiscoveryClient::SetKnownRevision(std::uint64_t revision) {
  if (revision_since_ != TimePoint::min()) return;
  revision_ = revision;
  needs_whole_list_ = !IsPolled();
}

void DiscoveryClient::Ask() {
  if (following_) return;
  following_ = true;
  StartCall();
}

// The revision of the list in force is still used for the calls beside a silent one. Their responses are true
// for the upstreams that they name, even if the service counts its revisions from another start.
void DiscoveryClient::MoveTo(Endpoint endpoint) {
  DropOpenCalls();
  call_timer_.cancel();
  endpoint_ = std::move(endpoint);
  needs_whole_list_ = true;
  retries_silent_call_ = false;
  silent_since_.reset();
  dropped_first_calls_ = 0;
  failures_ = 0;
  following_ = true;
  StartCall();
}

// ---- Calls ----

void DiscoveryClient::StartCallIn(Duration wait) {
  ++call_count_;
  call_timer_.expires_after(wait);
  call_timer_.async_wait([this, scheduled = call_count_](error_code error) {
    if (!error && scheduled == call_count_) StartCall();
  });
}

void DiscoveryClient::StartCall() {
  ++call_count_;
  silent_calls_.DropStalled(Now());
  const PendingCall call = NextCall();
  call_ = call;
  call.connection->Start(TargetOf(call), call.wait + kResponseTimeout);
  WatchForSilence(call.wait + AllowedSilence(call), 0);
}

PendingCall DiscoveryClient::NextCall() {
  PendingCall call;
  call.connection = TakeConnection();
  call.started_at = Now();
  call.is_beside_silent_call = retries_silent_call_;
  const bool requests_whole_list = !revision_ || (needs_whole_list_ && !silent_calls_.HasCallForWholeList());
  if (requests_whole_list) return call;
  call.base = revision_;
  call.wait = call.is_beside_silent_call ? DiscoveryTiming::kShortestWatch : timing_.WatchTime();
  return call;
}

std::shared_ptr<DiscoveryCall> DiscoveryClient::TakeConnection() {
  std::shared_ptr<DiscoveryCall> reusable = reusable_;
  reusable_ = nullptr;
  if (reusable && reusable->IsReusable()) return reusable;
  DiscoveryCall::Observer& observer = *this;
  return std::make_shared<DiscoveryCall>(io_, endpoint_, observer);
}

Duration DiscoveryClient::AllowedSilence(const PendingCall& call) const {
  if (!revision_) return AllowedSilenceOfFirstCall();
  return call.IsWatch() ? timing_.WatchSilence() : timing_.CallSilence();
}

Duration DiscoveryClient::AllowedSilenceOfFirstCall() const {
  Duration silence = timing_.FirstCallSilence();
  for (int i = 0; i < dropped_first_calls_ && silence < kNotificationLimit; ++i) {
    silence *= kFirstListSilenceFactor;
  }
  return std::min(silence, kNotificationLimit);
}

void DiscoveryClient::WatchForSilence(Duration wait, std::size_t last_progress) {
  silence_timer_.expires_after(wait);
  silence_timer_.async_wait([this, last_progress, watched = call_count_](error_code error) {
    if (error || watched != call_count_ || !call_) return;
    const std::size_t progress = call_->connection->Progress();
    if (progress > last_progress) return WatchForSilence(timing_.CallSilence(), progress);
    HandleSilence();
  });
}

// The exception is a call for the first list: the next call requests the whole list, too.
void DiscoveryClient::HandleSilence() {
  const PendingCall call = *call_;
  call_.reset();
  if (revision_) {
    silent_calls_.Keep(call, Now());
  } else {
    call.connection->Drop();
    ++dropped_first_calls_;
  }
  retries_silent_call_ = true;
  if (!silent_since_) silent_since_ = Now();
  if (Now() - *silent_since_ >= kMaxSilenceWithoutWholeList) needs_whole_list_ = true;
  LogFailure("no answer");
  ScheduleRetry(call.IsWatch() ? RetryBy::kClient : RetryBy::kBalancer);
}

// ---- Responses ----

std::optional<PendingCall> DiscoveryClient::TakeCall(const DiscoveryCall& connection) {
  if (!IsCurrent(connection)) return silent_calls_.Take(connection);
  std::optional<PendingCall> call = call_;
  call_.reset();
  return call;
}

void DiscoveryClient::HandleResponse(DiscoveryCall& connection, const std::string& body) {
  const bool is_current = IsCurrent(connection);
  const std::optional<PendingCall> call = TakeCall(connection);
  if (!call) return;
  EndpointList list;
  try {
    list = ParseEndpointList(body, clock_);
  } catch (const MembershipError& e) {
    const std::string text = std::string("malformed list: ") + e.what();
    return EndFailedCall(*call, is_current, {DiscoveryFailure::Kind::kBroken, text});
  }
  if (HasRestarted(*call, list)) {
    silent_calls_.DropAll();
    return EndFailedCall(*call, is_current,
                         {DiscoveryFailure::Kind::kBroken, "an older version than the one held"});
  }
  RecordResponseTime(*call, is_current);
  const bool is_outdated = revision_ && list.revision < *revision_ && call->started_at < revision_since_;
  if (!is_outdated) AdoptRevision(*call, list);
  EndAnsweredCall(*call, is_current);
  if (!is_outdated) on_list_(std::move(list));
}

bool DiscoveryClient::HasRestarted(const PendingCall& call, const EndpointList& list) const {
  if (call.IsForWholeList()) return false;
  if (list.revision < *call.base) return true;
  return list.revision < *revision_ && call.started_at >= revision_since_;
}

// Of a watch that was answered within its wait, only discovery knows when the response began.
void DiscoveryClient::RecordResponseTime(const PendingCall& call, bool is_current) {
  const Duration elapsed = Now() - call.started_at;
  if (elapsed < call.wait) return;
  const Duration response_time = elapsed - call.wait;
  timing_.OnResponse(response_time);
  if (is_current || is_slow_logged_) return;
  is_slow_logged_ = true;
  log_.Write(LogEvent(log_events::kDiscoverySlow)
                 .With("response_ms", std::chrono::duration_cast<milliseconds>(response_time).count()));
}

void DiscoveryClient::AdoptRevision(const PendingCall& call, const EndpointList& list) {
  revision_ = list.revision;
  revision_since_ = Now();
  const bool is_whole = list.update.kind == MembershipUpdate::Kind::kFull;
  if (is_whole || call.IsForWholeList()) needs_whole_list_ = false;
}

// A response to the current call shows what the calls before it would show. The response to a silent call
// shows nothing of the calls after it.
void DiscoveryClient::EndAnsweredCall(const PendingCall& call, bool is_current) {
  failures_ = 0;
  dropped_first_calls_ = 0;
  retries_silent_call_ = false;
  silent_since_.reset();
  if (is_current) {
    LogRecovery();
    if (needs_whole_list_) {
      silent_calls_.DropCallsForChanges();
    } else {
      silent_calls_.DropAll();
    }
  }
  if (call_) return call.connection->Drop();
  if (reusable_) reusable_->Drop();
  reusable_ = call.connection;
  following_ = true;
  StartCallIn(std::max(Duration::zero(), Duration(call.started_at + kMinCallInterval - Now())));
}

void DiscoveryClient::HandleFailure(DiscoveryCall& connection, const DiscoveryFailure& failure) {
  const bool is_current = IsCurrent(connection);
  if (const auto call = TakeCall(connection)) EndFailedCall(*call, is_current, failure);
}

// The previous list stays in force. The next call requests the whole list, because a watch could miss
// changes: an agent that restarted may count revisions from another start. The exception is a polled service
// that refused the call: its revisions are unchanged, and a whole list would increase its load.
void DiscoveryClient::EndFailedCall(const PendingCall& call, bool is_current,
                                    const DiscoveryFailure& failure) {
  call.connection->Drop();
  if (!is_current) return;
  const bool was_refused = failure.kind == DiscoveryFailure::Kind::kRefused;
  if (!(IsPolled() && was_refused)) needs_whole_list_ = true;
  retries_silent_call_ = false;
  LogFailure(failure.text);
  ScheduleRetry(call.IsWatch() && !was_refused ? RetryBy::kClient : RetryBy::kBalancer);
}

// A watch without a response does not mean that the service is overloaded, and little time remains to receive
// the changes that the watch missed, so the client retries without waiting for the balancer. The watches of a
// whole fleet can fail together, so each sidecar retries after a random delay up to kServiceRetryDelay.
void DiscoveryClient::ScheduleRetry(RetryBy retry_by) {
  ++failures_;
  const auto jitter = std::generate_canonical<double, 32>(random_);
  if (!IsPolled()) return StartCallIn(BackoffAfter(failures_, silence_timeout_, jitter));
  if (retry_by == RetryBy::kClient) {
    return StartCallIn(std::chrono::duration_cast<Duration>(kServiceRetryDelay * jitter));
  }
  following_ = false;
  on_failed_();
}

// ---- Log ----

void DiscoveryClient::LogFailure(const std::string& text) {
  if (last_failure_ != text) log_.Write(LogEvent(log_events::kDiscoveryFailed).With("error", text));
  last_failure_ = text;
}

void DiscoveryClient::LogRecovery() {
  if (last_failure_.empty()) return;
  last_failure_.clear();
  is_slow_logged_ = false;
  log_.Write(LogEvent(log_events::kDiscoveryRecovered));
}

}  // namespace lb::sidecar
