// The discovery client: asks for the endpoint list and follows its changes (PROTOCOL, "Discovery").
//
// Two modes. A discovery agent on this machine is watched: each call waits there for a change (long polling),
// and after a failure the client polls again by itself. One service for all sidecars is polled: a failure is
// reported, and the balancer decides when to ask again.
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

// A change counts as heard this long after discovery had it and could be reached, whether the sidecar heard
// of it or not (PROTOCOL, "Figures"). Every way to miss a change and to poll again has to stay within this
// time.
constexpr Duration kChangeHeardWithin = std::chrono::seconds(6);

// Of an agent on this machine: a watch that says nothing or never ends, then a backoff and a call.
constexpr Duration kAgentWatch = std::chrono::milliseconds(4500);
// How long a whole response may take once it has begun, or while it is awaited beside the next call.
constexpr Duration kAgentResponseTimeout = std::chrono::milliseconds(1000);
constexpr Duration kMaxSilence = std::chrono::milliseconds(150);  // of a call, and of a backoff
static_assert(kAgentWatch + kAgentResponseTimeout + 3 * kMaxSilence < kChangeHeardWithin);

// Of the one service for all, which works through the calls in turn: a watch that fell silent as it began,
// then a short pause and a call; or a call that fails, the balancer's pause and another call.
constexpr Duration kServiceWatch = std::chrono::milliseconds(3000);
constexpr Duration kServiceWatchTimeout = std::chrono::milliseconds(750);  // beyond the watch
constexpr Duration kServicePause = std::chrono::milliseconds(250);
constexpr Duration kServiceCallTimeout = std::chrono::milliseconds(2000);
static_assert(kServiceWatch + kServiceWatchTimeout + kServicePause + kServiceCallTimeout <=
              kChangeHeardWithin);
static_assert(kServiceCallTimeout + kMaxPollPause + kServiceCallTimeout <= kChangeHeardWithin);

// The backoff after so many failures in a row: it grows up to `longest`, and is jittered between 0.5 and 1
// times its length, as other sidecars may have lost discovery at the same time. `jitter`: from 0 to 1.
Duration BackoffAfter(int failures, Duration longest, double jitter);

// How long an agent may be silent before it is asked on another connection: short enough that a drain is
// received within the grace for drains.
Duration SilenceTimeout(Duration drain_grace);

class DiscoveryClient : private DiscoveryCall::Observer {
 public:
  enum class Mode { kWatchedAgent, kPolledService };
  using OnList = std::function<void(EndpointList)>;
  using OnFailed = std::function<void()>;

  // `on_failed` is called for a polled service only: each failure is followed by the next Ask(). `seed`: of
  // the jitter. The references have to outlive the client.
  DiscoveryClient(boost::asio::io_context& io, Endpoint endpoint, Mode mode, Duration drain_grace,
                  const UnixClock& clock, Logger& log, std::uint64_t seed, OnList on_list,
                  OnFailed on_failed);
  ~DiscoveryClient() override;
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Asks for the list now and follows it from then on. Does nothing where that is under way. `known`: the
  // revision of a list that is held already; a polled service is asked for what is newer.
  void Ask(std::optional<std::uint64_t> known = std::nullopt);
  // Changes over to another address at once and asks there for the whole list. The old list stands until
  // then.
  void MoveTo(Endpoint endpoint);
  // Asks for the whole list at once, in place of what changes.
  void AskForAll() { MoveTo(endpoint_); }

 private:
  void HandleResponse(DiscoveryCall& call, const std::string& body) override;
  void HandleFailure(DiscoveryCall& call, const DiscoveryFailure& failure) override;

  void StartCall();
  void StartCallIn(Duration wait);
  // Gives an agent's call up where nothing of its response comes for `wait`. `heard`: the call's progress so
  // far.
  void WatchForSilence(Duration wait, std::size_t heard);
  void HandleSilence();
  void AskAgain(const DiscoveryFailure& failure);
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
  std::shared_ptr<DiscoveryCall> late_call_;  // one given up for its silence, in case it is merely slow
  bool following_ = false;                    // a call is under way or planned
  std::uint64_t call_count_ = 0;  // of calls begun or planned: a timer set for an earlier one is void
  std::optional<std::uint64_t> revision_;  // of the list held; absent: the whole list is needed
  TimePoint asked_at_;
  int failures_ = 0;          // in a row
  std::string last_failure_;  // so that one that repeats is logged once
  std::minstd_rand random_;
};

}  // namespace lb::sidecar
