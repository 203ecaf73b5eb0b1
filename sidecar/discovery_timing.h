// How long calls to discovery last: the wait of a watch, and how long a call may be silent before another one
// is made beside it. Both follow the response times seen, so that a slow discovery service gets no more calls
// than a quick one, and a change still arrives within the notification limit. Reads no clock.
#pragma once

#include <chrono>

#include "balancer/balancer.h"
#include "sidecar/clock.h"

namespace lb::sidecar {

// The longest time from a change at a reachable discovery service to its arrival at the sidecar. After this
// time the sidecar is expected to know the change, whether it received it or not (PROTOCOL, "Figures"). Each
// sequence of missing a change and polling again must fit into this time.
constexpr Duration kNotificationLimit = std::chrono::seconds(6);

// Times for an agent on the same machine. The longest sequence is a watch that receives no data or an
// incomplete response, then a backoff and another call.
constexpr Duration kAgentWatch = std::chrono::milliseconds(4500);
// What remains of the notification limit for the response to the call that follows a silent watch.
constexpr Duration kAgentResponseReserve = std::chrono::milliseconds(1000);
constexpr Duration kMaxSilenceTimeout = std::chrono::milliseconds(150);  // applies to a call and to a backoff
static_assert(kAgentWatch + kAgentResponseReserve + 3 * kMaxSilenceTimeout < kNotificationLimit);

// Times for the shared service, which processes its calls sequentially. The longest sequences are a watch
// that gets no response from its start on, then a short delay and another call; or a call that is silent, the
// balancer's poll pause and another call, whose response takes longer than quick ones do.
constexpr Duration kServiceWatch = std::chrono::milliseconds(3000);
constexpr Duration kServiceWatchSilence = std::chrono::milliseconds(750);  // in addition to the watch time
constexpr Duration kServiceRetryDelay = std::chrono::milliseconds(250);
constexpr Duration kServiceResponseReserve = std::chrono::milliseconds(2000);
constexpr Duration kServiceCallSilence = std::chrono::milliseconds(1500);
constexpr Duration kServiceFirstCallSilence = std::chrono::milliseconds(2000);
constexpr Duration kServiceSlowResponse = std::chrono::milliseconds(2500);
static_assert(kServiceWatch + kServiceWatchSilence + kServiceRetryDelay + kServiceResponseReserve <=
              kNotificationLimit);
static_assert(kServiceCallSilence + kMaxPollRetryDelay + kServiceSlowResponse <= kNotificationLimit);

class DiscoveryTiming {
 public:
  // The times for a discovery that responds quickly.
  struct Limits {
    Duration watch{};               // longest wait of a watch
    Duration watch_silence{};       // how long a watch may be silent after its wait
    Duration call_silence{};        // how long a call without a wait may be silent
    Duration first_call_silence{};  // how long a call for the first list may be silent
    Duration retry_delay{};         // longest delay between a silent watch and the call that follows it
    Duration response_reserve{};    // for the response to that call
  };

  // The limits for an agent whose calls may be silent for `silence`, or for the shared service.
  static Limits ForAgent(Duration silence);
  static Limits ForService();

  explicit DiscoveryTiming(const Limits& limits) : limits_(limits) {}

  // Call for each complete response with the time that it took, without the wait of a watch.
  void OnResponse(Duration response_time);
  // A high estimate of the time that a response takes.
  Duration response_time() const { return response_time_; }

  // The wait of the next watch, from kShortestWatch to Limits::watch.
  Duration WatchTime() const;
  // How long the next watch may be silent after its wait, before another call is made beside it.
  Duration WatchSilence() const;
  // The same for a call without a wait that is beside a silent one, or will get calls beside it: discovery
  // may have been down, and a quick response shows that it is back.
  Duration CallSilence() const { return limits_.call_silence; }
  // The same for a call for the first list, which gets no call beside it.
  Duration FirstCallSilence() const;

  // A watch with this wait is answered at once.
  static constexpr Duration kShortestWatch = std::chrono::milliseconds(1);

 private:
  const Limits limits_;
  Duration response_time_{};
};

}  // namespace lb::sidecar
