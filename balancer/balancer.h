// The decision module of a client-side load balancer for service-to-service calls.
//
// A sidecar owns the sockets, the clock and the timers. It passes events to a `Balancer`, one `Event` at a
// time, and carries out the resulting `Action`s in their order. The balancer does no I/O, reads no clock,
// starts no thread and keeps no global state: the same settings, seed and events give the same actions.
//
//   lb::Balancer balancer(settings, seed);
//   std::vector<lb::Action> actions;
//   balancer.Handle(now, lb::MembershipUpdate{...}, actions);
//   balancer.Handle(now, lb::RequestArrived{...}, actions);
//   for (const auto& action : actions) std::visit(CarryOut{}, action);
//
// The sidecar guarantees:
// * `now` never goes backwards, and events are passed in the order in which they happened;
// * the first event is the membership that the sidecar has stored, as `MembershipUpdate::Kind::kRestored`,
//   even if it is empty;
// * every `SendAttempt` is followed by exactly one `AttemptFinished`;
// * every `SetTimer` whose timer is still pending at its time (`IsTimerPending()`) is followed by one
//   `TimerFired` then or later.
// The balancer guarantees exactly one final answer for each request, by the request's deadline: the response
// of an attempt (an `AttemptFinished` with `response_delivered`), a `RejectRequest` or a `FailRequest`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "balancer/actions.h"
#include "balancer/events.h"
#include "balancer/settings.h"
#include "balancer/types.h"

namespace lb {

// Not thread-safe: an instance must be used by one thread at a time.
class Balancer {
 public:
  // Throws std::invalid_argument if Settings::Validate() does.
  Balancer(Settings settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Handles one event and appends the resulting actions to `actions`. Events about unknown requests or
  // upstreams are ignored.
  void Handle(TimePoint now, const Event& event, std::vector<Action>& actions);

  // Whether the timer of a `SetTimer` still matters: a request's timers end with it. The sidecar may drop the
  // others, so that their number stays bounded by that of the requests in flight.
  bool IsTimerPending(std::uint64_t token) const;
  std::size_t pending_timers() const;

  // The number of upstream entries visited so far: a deterministic measure of what the events cost. No
  // decision depends on it.
  std::size_t upstreams_visited() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lb
