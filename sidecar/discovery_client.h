// The discovery client: requests the endpoint list and follows its changes (PROTOCOL, "Discovery").
//
// There are two modes. A discovery agent on the same machine is watched: each call waits at the agent for a
// change (long polling), and after a failure the client retries on its own. A discovery service that is
// shared by all sidecars is polled: a failure is reported, and the balancer decides when to poll again.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "balancer/balancer.h"
#include "settings/config.h"
#include "sidecar/clock.h"
#include "sidecar/discovery_call.h"
#include "sidecar/endpoint_list.h"
#include "sidecar/log.h"

namespace lb::sidecar {

// The longest time from a change at a reachable discovery service to its arrival at the sidecar. After this
// time the sidecar is expected to know the change, whether it received it or not (PROTOCOL, "Figures"). Each
// sequence of missing a change and polling again must fit into this time.
constexpr Duration kNotificationLimit = std::chrono::seconds(6);

// Timeouts for an agent on the same machine. The longest sequence is a watch that receives no data or an
// incomplete response, then a backoff and another call.
constexpr Duration kAgentWatch = std::chrono::milliseconds(4500);
// The time allowed for the complete response, in addition to the watch time where the call is a watch. It
// also limits how long a call that timed out without data is kept open beside the next call.
constexpr Duration kAgentResponseTimeout = std::chrono::milliseconds(1000);
constexpr Duration kMaxSilenceTimeout = std::chrono::milliseconds(150);  // applies to a call and to a backoff
static_assert(kAgentWatch + kAgentResponseTimeout + 3 * kMaxSilenceTimeout < kNotificationLimit);

// Timeouts for the shared service, which processes its calls sequentially. The longest sequences are a watch
// that gets no response from its start on, then a short delay and another call; or a call that fails, the
// balancer's poll pause and another call.
constexpr Duration kServiceWatch = std::chrono::milliseconds(3000);
constexpr Duration kServiceWatchTimeout = std::chrono::milliseconds(750);  // in addition to the watch time
constexpr Duration kServiceRetryDelay = std::chrono::milliseconds(250);
constexpr Duration kServiceCallTimeout = std::chrono::milliseconds(2000);
static_assert(kServiceWatch + kServiceWatchTimeout + kServiceRetryDelay + kServiceCallTimeout <=
              kNotificationLimit);
static_assert(kServiceCallTimeout + kMaxPollRetryDelay + kServiceCallTimeout <= kNotificationLimit);

// Returns the backoff after `failures` consecutive failures. The backoff grows up to `longest` and is
// multiplied by a factor between 0.5 and 1, because other sidecars may have lost discovery at the same time.
// `jitter` selects the factor: 0 gives 0.5, 1 gives 1.
Duration BackoffAfter(int failures, Duration longest, double jitter);

// Returns how long an agent may send no data before the client opens another connection: short enough to
// receive a drain within `drain_grace`.
Duration SilenceTimeout(Duration drain_grace);

class DiscoveryClient : private DiscoveryCall::Observer {
 public:
  enum class Mode { kWatchedAgent, kPolledService };
  using OnList = std::function<void(EndpointList)>;
  using OnFailed = std::function<void()>;

  // `on_failed` is called in the mode kPolledService only; the caller answers each such call with a later
  // Ask(). `seed` is the seed of the backoff jitter. The references must outlive the client.
  DiscoveryClient(boost::asio::io_context& io, Endpoint endpoint, Mode mode, Duration drain_grace,
                  const UnixClock& clock, Logger& log, std::uint64_t seed, OnList on_list,
                  OnFailed on_failed);
  ~DiscoveryClient() override;
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Requests the list now and follows its changes from then on. Does nothing if the client is already
  // following the list. `known` is the revision of a list that the caller already has; a polled service is
  // asked only for newer changes.
  void Ask(std::optional<std::uint64_t> known = std::nullopt);
  // Switches to another address immediately and requests the whole list there. The previous list stays in
  // force until the response arrives.
  void MoveTo(Endpoint endpoint);
  // Requests the whole list immediately instead of changes.
  void RequestFullList() { MoveTo(endpoint_); }

 private:
  void HandleResponse(DiscoveryCall& call, const std::string& body) override;
  void HandleFailure(DiscoveryCall& call, const DiscoveryFailure& failure) override;

  void StartCall();
  void StartCallIn(Duration wait);
  // Abandons a call to an agent if no further part of its response arrives within `wait`. `last_progress` is
  // the call's progress so far.
  void WatchForSilence(Duration wait, std::size_t last_progress);
  void HandleSilence();
  void ScheduleRetry(const DiscoveryFailure& failure);
  static void Drop(std::shared_ptr<DiscoveryCall>& call);

  boost::asio::io_context& io_;
  Endpoint endpoint_;
  const Mode mode_;
  const Duration silence_timeout_;
  const UnixClock& clock_;
  Logger& log_;
  const OnList on_list_;
  const OnFailed on_failed_;
  boost::asio::steady_timer call_timer_;
  boost::asio::steady_timer silence_timer_;
  std::shared_ptr<DiscoveryCall> call_;
  // A call that timed out without data, kept open in case the agent is only slow.
  std::shared_ptr<DiscoveryCall> late_call_;
  bool following_ = false;        // a call is in progress or scheduled
  std::uint64_t call_count_ = 0;  // calls started or scheduled; a timer of an earlier call is ignored
  // Revision of the list in force; absent: the next call requests the whole list.
  std::optional<std::uint64_t> revision_;
  TimePoint call_started_at_;
  int failures_ = 0;          // consecutive
  std::string last_failure_;  // a repeated failure is logged only once
  std::minstd_rand random_;
};

}  // namespace lb::sidecar
