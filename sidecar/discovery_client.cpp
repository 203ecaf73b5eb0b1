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
      call_timer_(io),
      silence_timer_(io),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {}

DiscoveryClient::~DiscoveryClient() {
  Drop(call_);
  Drop(late_call_);
}

void DiscoveryClient::Drop(std::shared_ptr<DiscoveryCall>& call) {
  if (!call) return;
  call->Drop();
  call = nullptr;
}

// A polled service processes its calls sequentially, and the cost of a whole list grows with its length. When
// a whole fleet starts at once, each sidecar therefore requests only the changes since the list it already
// has.
void DiscoveryClient::Ask(std::optional<std::uint64_t> known) {
  if (following_) return;
  following_ = true;
  if (mode_ == Mode::kPolledService && known) revision_ = known;
  StartCall();
}

void DiscoveryClient::MoveTo(Endpoint endpoint) {
  Drop(call_);
  Drop(late_call_);
  call_timer_.cancel();
  endpoint_ = std::move(endpoint);
  revision_.reset();  // a revision is only valid at the service that assigned it
  failures_ = 0;
  following_ = true;
  StartCall();
}

void DiscoveryClient::StartCallIn(Duration wait) {
  ++call_count_;
  call_timer_.expires_after(wait);
  call_timer_.async_wait([this, scheduled = call_count_](error_code error) {
    if (!error && scheduled == call_count_) StartCall();
  });
}

void DiscoveryClient::StartCall() {
  ++call_count_;
  call_started_at_ = Now();
  if (call_ && !call_->IsReusable()) Drop(call_);
  if (!call_) {
    DiscoveryCall::Observer& observer = *this;
    call_ = std::make_shared<DiscoveryCall>(io_, endpoint_, observer);
  }
  const bool is_polled = mode_ == Mode::kPolledService;
  std::string target = "/discovery/hosts";
  Duration watch{};
  Duration timeout = is_polled ? kServiceCallTimeout : kAgentResponseTimeout;
  if (revision_) {
    watch = is_polled ? kServiceWatch : kAgentWatch;
    if (is_polled) timeout = kServiceWatchTimeout;
    const auto watch_ms = std::chrono::duration_cast<milliseconds>(watch).count();
    target += "?index=" + std::to_string(*revision_) + "&wait=" + std::to_string(watch_ms);
  }
  call_->Start(target, watch + timeout);
  if (!is_polled) WatchForSilence(watch + silence_timeout_, 0);
}

void DiscoveryClient::WatchForSilence(Duration wait, std::size_t last_progress) {
  silence_timer_.expires_after(wait);
  silence_timer_.async_wait([this, last_progress, watched = call_count_](error_code error) {
    if (error || watched != call_count_ || !call_) return;
    const std::size_t progress = call_->Progress();
    if (progress > last_progress) return WatchForSilence(silence_timeout_, progress);
    HandleSilence();
  });
}

// After a timeout without data the client calls the agent on another connection. The first timed-out call is
// kept open because the agent may only be slow: if its response arrives, it is used.
void DiscoveryClient::HandleSilence() {
  if (late_call_) {
    Drop(call_);
  } else {
    late_call_ = std::move(call_);
    call_ = nullptr;
  }
  ScheduleRetry({DiscoveryFailure::Kind::kBroken, "no answer"});
}

void DiscoveryClient::HandleResponse(DiscoveryCall& call, const std::string& body) {
  EndpointList list;
  try {
    list = ParseEndpointList(body, clock_);
  } catch (const MembershipError& e) {
    return HandleFailure(call, {DiscoveryFailure::Kind::kBroken, std::string("malformed list: ") + e.what()});
  }
  // A lower revision comes from a service with another count of revisions, or from an outdated response. The
  // next call requests the whole list.
  if (revision_ && list.revision < *revision_) {
    return HandleFailure(call, {DiscoveryFailure::Kind::kBroken, "an older version than the one held"});
  }
  if (&call == late_call_.get()) std::swap(call_, late_call_);
  Drop(late_call_);
  if (failures_ > 0) log_.Write(LogEvent(log_events::kDiscoveryRecovered));
  failures_ = 0;
  last_failure_.clear();
  revision_ = list.revision;
  StartCallIn(std::max(Duration::zero(), Duration(call_started_at_ + kMinCallInterval - Now())));
  on_list_(std::move(list));
}

void DiscoveryClient::HandleFailure(DiscoveryCall& call, const DiscoveryFailure& failure) {
  if (&call == late_call_.get()) return Drop(late_call_);
  Drop(call_);
  ScheduleRetry(failure);
}

// The previous list stays in force. The next call requests the whole list, because a watch could miss
// changes: an agent that restarted may count revisions from another start. The exception is a polled service
// that refused the call: its revisions are unchanged, and a whole list would increase its load.
void DiscoveryClient::ScheduleRetry(const DiscoveryFailure& failure) {
  const bool is_polled = mode_ == Mode::kPolledService;
  const bool was_refused = failure.kind == DiscoveryFailure::Kind::kRefused;
  const bool was_watching = revision_.has_value();
  if (!(is_polled && was_refused)) revision_.reset();
  ++failures_;
  if (last_failure_ != failure.text) {
    log_.Write(LogEvent(log_events::kDiscoveryFailed).With("error", failure.text));
  }
  last_failure_ = failure.text;
  const auto jitter = std::generate_canonical<double, 32>(random_);
  if (!is_polled) return StartCallIn(BackoffAfter(failures_, silence_timeout_, jitter));
  // A broken watch does not mean that the service is overloaded, and little time remains to receive the
  // changes that the watch missed, so the client retries without waiting for the balancer. The watches of a
  // whole fleet can break together, so each sidecar retries after a random delay up to kServiceRetryDelay.
  if (was_watching && !was_refused) {
    return StartCallIn(std::chrono::duration_cast<Duration>(kServiceRetryDelay * jitter));
  }
  following_ = false;
  on_failed_();
}

}  // namespace lb::sidecar
