#include "sidecar/discovery_client.h"

#include <algorithm>
#include <boost/system/error_code.hpp>
#include <utility>

#include "sidecar/log_events.h"

namespace lb::sidecar {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;

// The share of the grace for drains after which a call that an agent does not answer is given up, and the
// longest backoff that follows. What is asked of an agent while it is down is not answered at its return
// either, and from its return on what it holds counts as heard. Half of the grace is left for a new
// connection, for the list and for acting on it.
constexpr int kSilenceShare = 4;
constexpr auto kMinSilence = milliseconds(10);
// The next watch follows a response well within the 200 ms after which it would be a new one. It is not sent
// sooner than this after the last, so that an agent that responds at once is not asked in a spin.
constexpr auto kMinCallInterval = milliseconds(50);
constexpr int kBackoffSteps = 3;  // doublings up to the longest backoff

}  // namespace

Duration BackoffAfter(int failures, Duration longest, double jitter) {
  const Duration backoff = longest / (1 << std::clamp(kBackoffSteps + 1 - failures, 0, kBackoffSteps));
  return backoff / 2 + std::chrono::duration_cast<Duration>(backoff / 2 * jitter);
}

Duration SilenceTimeout(Duration drain_grace) {
  return std::clamp<Duration>(drain_grace / kSilenceShare, kMinSilence, kMaxSilence);
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

// A polled service works through the calls in turn, and a whole list costs it work for each line: a fleet
// that starts together asks for no more than what is newer than the list that each sidecar has.
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
  revision_.reset();  // revisions are of the service that counted them
  failures_ = 0;
  following_ = true;
  StartCall();
}

void DiscoveryClient::StartCallIn(Duration wait) {
  ++call_count_;
  call_timer_.expires_after(wait);
  call_timer_.async_wait([this, planned = call_count_](error_code error) {
    if (!error && planned == call_count_) StartCall();
  });
}

void DiscoveryClient::StartCall() {
  ++call_count_;
  asked_at_ = Now();
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

void DiscoveryClient::WatchForSilence(Duration wait, std::size_t heard) {
  silence_timer_.expires_after(wait);
  silence_timer_.async_wait([this, heard, watched = call_count_](error_code error) {
    if (error || watched != call_count_ || !call_) return;
    const std::size_t progress = call_->Progress();
    if (progress > heard) return WatchForSilence(silence_timeout_, progress);
    HandleSilence();
  });
}

// An agent that is silent for too long is asked on another connection. One that is merely slow is listened to
// nevertheless: its response to the first such call counts, too.
void DiscoveryClient::HandleSilence() {
  if (late_call_) {
    Drop(call_);
  } else {
    late_call_ = std::move(call_);
    call_ = nullptr;
  }
  AskAgain({DiscoveryFailure::Kind::kBroken, "no answer"});
}

void DiscoveryClient::HandleResponse(DiscoveryCall& call, const std::string& body) {
  EndpointList list;
  try {
    list = ParseEndpointList(body, clock_);
  } catch (const MembershipError& e) {
    return HandleFailure(call, {DiscoveryFailure::Kind::kBroken, std::string("malformed list: ") + e.what()});
  }
  // The response of another service than the one that counted so far, or one gone astray: the whole list will
  // tell.
  if (revision_ && list.revision < *revision_) {
    return HandleFailure(call, {DiscoveryFailure::Kind::kBroken, "an older version than the one held"});
  }
  if (&call == late_call_.get()) std::swap(call_, late_call_);
  Drop(late_call_);
  if (failures_ > 0) log_.Write(LogEvent(log_events::kDiscoveryRecovered));
  failures_ = 0;
  last_failure_.clear();
  revision_ = list.revision;
  StartCallIn(std::max(Duration::zero(), Duration(asked_at_ + kMinCallInterval - Now())));
  on_list_(std::move(list));
}

void DiscoveryClient::HandleFailure(DiscoveryCall& call, const DiscoveryFailure& failure) {
  if (&call == late_call_.get()) return Drop(late_call_);
  Drop(call_);
  AskAgain(failure);
}

// The old list stands. A watch may miss what changed in between, as an agent that restarted counts from
// elsewhere: the next call asks for the whole list. A service that refused the call is the same as before,
// and a whole list would cost it still more.
void DiscoveryClient::AskAgain(const DiscoveryFailure& failure) {
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
  // A watch that broke says nothing of the service, and there is little time to hear what it missed. The
  // watches of a whole fleet can break together: their sidecars poll again at times spread over the pause.
  if (was_watching && !was_refused) {
    return StartCallIn(std::chrono::duration_cast<Duration>(kServicePause * jitter));
  }
  following_ = false;
  on_failed_();
}

}  // namespace lb::sidecar
