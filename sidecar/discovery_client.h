// The discovery client: requests the endpoint list and follows its changes (PROTOCOL, "Discovery").
//
// There are two modes. A discovery agent on the same machine is watched: each call waits at the agent for a
// change (long polling), and after a failure the client retries on its own. A discovery service that is
// shared by all sidecars is polled: a failure is reported, and the balancer decides when to poll again.
//
// A call that is silent may have been lost, if discovery was down when it was made, or its response may only
// be slow. So another call is made beside it, and the response that comes first is used. The call beside it
// asks for changes only, and the whole list is never requested twice at a time: a slow discovery must not
// become slower by it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
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
#include "sidecar/discovery_timing.h"
#include "sidecar/endpoint_list.h"
#include "sidecar/log.h"
#include "sidecar/silent_calls.h"

namespace lb::sidecar {

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

  // Tells the client the revision of a list that the caller has from elsewhere. A polled service is asked
  // only for newer changes. An agent is asked for the whole list, and for changes while that call is silent.
  // Has no effect once a list was received.
  void SetKnownRevision(std::uint64_t revision);
  // Requests the list now and follows its changes from then on. Does nothing if the client is already
  // following the list.
  void Ask();
  // Switches to another address immediately and requests the whole list there. The previous list stays in
  // force until the response arrives.
  void MoveTo(Endpoint endpoint);
  // Requests the whole list immediately instead of changes.
  void RequestFullList() { MoveTo(endpoint_); }

 private:
  // Who decides when a failed call to the shared service is repeated.
  enum class RetryBy { kClient, kBalancer };

  void HandleResponse(DiscoveryCall& connection, const std::string& body) override;
  void HandleFailure(DiscoveryCall& connection, const DiscoveryFailure& failure) override;

  void StartCall();
  void StartCallIn(Duration wait);
  PendingCall NextCall();
  std::shared_ptr<DiscoveryCall> TakeConnection();
  // How long `call`, which is to start now, may be silent, in addition to its wait.
  Duration AllowedSilence(const PendingCall& call) const;
  Duration AllowedSilenceOfFirstCall() const;
  // Makes another call if no further part of the response to the current one arrives within `wait`.
  // `last_progress` is the call's progress so far.
  void WatchForSilence(Duration wait, std::size_t last_progress);
  void HandleSilence();

  bool IsCurrent(const DiscoveryCall& connection) const {
    return call_ && call_->connection.get() == &connection;
  }
  std::optional<PendingCall> TakeCall(const DiscoveryCall& connection);
  // Whether the response has a lower revision than the list in force although it was requested later: the
  // service counts its revisions from another start.
  bool HasRestarted(const PendingCall& call, const EndpointList& list) const;
  void RecordResponseTime(const PendingCall& call, bool is_current);
  void AdoptRevision(const PendingCall& call, const EndpointList& list);
  void EndAnsweredCall(const PendingCall& call, bool is_current);
  void EndFailedCall(const PendingCall& call, bool is_current, const DiscoveryFailure& failure);
  void ScheduleRetry(RetryBy retry_by);
  void DropOpenCalls();
  void LogFailure(const std::string& text);
  void LogRecovery();
  bool IsPolled() const { return mode_ == Mode::kPolledService; }

  boost::asio::io_context& io_;
  Endpoint endpoint_;
  const Mode mode_;
  const Duration silence_timeout_;
  const UnixClock& clock_;
  Logger& log_;
  const OnList on_list_;
  const OnFailed on_failed_;
  DiscoveryTiming timing_;
  boost::asio::steady_timer call_timer_;
  boost::asio::steady_timer silence_timer_;
  std::optional<PendingCall> call_;          // the current call
  SilentCalls silent_calls_;                 // earlier calls, still open
  std::shared_ptr<DiscoveryCall> reusable_;  // connection of the last response; null if there is none
  bool following_ = false;                   // a call is in progress or scheduled
  std::uint64_t call_count_ = 0;  // calls started or scheduled; a timer of an earlier call is ignored
  // Revision of the list in force, also where it is from elsewhere; absent if there is no list.
  std::optional<std::uint64_t> revision_;
  TimePoint revision_since_ = TimePoint::min();  // when the list in force was received from discovery
  // A watch could miss changes: discovery may have started anew, or the list is from elsewhere.
  bool needs_whole_list_ = false;
  bool retries_silent_call_ = false;       // the last call was silent, and none has been answered since
  std::optional<TimePoint> silent_since_;  // when the first of the calls since the last response was silent
  int failures_ = 0;                       // consecutive
  int dropped_first_calls_ = 0;            // consecutive calls for the first list that were silent
  std::string last_failure_;               // a repeated failure is logged only once
  bool is_slow_logged_ = false;
  std::minstd_rand random_;
};

}  // namespace lb::sidecar
