// Runs one Balancer: queues its events, passes them to it one at a time, keeps its timers and dispatches its
// actions in order. The sidecar uses this class with sockets; the hollow sidecars of the lab use it with
// models of clients and upstreams. The class does no I/O, takes the time from a BalancerClock and is not
// thread-safe.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

#include "balancer/balancer.h"

namespace lb::sidecar {

// Executes the balancer's actions. A method may call BalancerHost::Deliver(): the event is appended to the
// queue and handled later, because the balancer is not re-entrant.
class ActionHandler {
 public:
  virtual ~ActionHandler() = default;
  virtual void StartAttempt(const lb::SendAttempt& action) = 0;
  virtual void CancelAttempt(const lb::CancelAttempt& action) = 0;
  virtual void RejectRequest(const lb::RejectRequest& action) = 0;
  virtual void FailRequest(const lb::FailRequest& action) = 0;
  virtual void StartLoadProbe(const lb::SendLoadProbe& action) = 0;
  virtual void CloseIdleConnections(const lb::CloseIdleConnections& action) = 0;
  virtual void Subscribe(const lb::Subscribe& action) = 0;
  virtual void WriteLogLine(const lb::LogLine& action) = 0;
};

// The balancer's source of time.
class BalancerClock {
 public:
  virtual ~BalancerClock() = default;
  virtual TimePoint Now() const = 0;
  // Called after each batch of events. `next` is the due time of the earliest timer, or TimePoint::max() if
  // no timer is set. The implementation calls BalancerHost::FireDueTimers() at that time; calls that are
  // early or superfluous are harmless.
  virtual void ArmTimer(TimePoint next) = 0;
};

class BalancerHost {
 public:
  // `clock`, `handler` and `balancer_time` must outlive the host. If `balancer_time` is given, the time spent
  // in the balancer, by the steady clock, is added to it. Throws what Settings::Validate() throws.
  BalancerHost(const Settings& settings, std::uint64_t seed, BalancerClock& clock, ActionHandler& handler,
               std::chrono::nanoseconds* balancer_time = nullptr);

  // Queues the event, then handles all queued events unless an event is being handled or an EventHold exists.
  void Deliver(Event event);

  // While an EventHold exists, events are queued but not handled. Use it for a change that the balancer and
  // the sockets must see together, and call HandleQueuedEvents() after it has been destroyed.
  class EventHold {
   public:
    explicit EventHold(BalancerHost& host);
    ~EventHold();
    EventHold(const EventHold&) = delete;
    EventHold& operator=(const EventHold&) = delete;

   private:
    bool& handling_;
    const bool was_handling_;
  };
  // Queues the event without handling it. The reference is valid until the event is handled.
  const Event& Enqueue(Event event);
  // Handles all queued events. Does nothing while an event is being handled or an EventHold exists.
  void HandleQueuedEvents();

  // Delivers a TimerFired event for each timer that is due.
  void FireDueTimers();

  // The time passed to the balancer with the last event. For an action that is being executed, the time at
  // which the balancer decided on it.
  TimePoint handled_at() const { return handled_at_; }

 private:
  using Timer = std::pair<TimePoint, std::uint64_t>;

  void Execute(const Action& action);
  void AddTimer(const Timer& timer);
  Timer TakeFirstTimer();
  // Drops the timers that the balancer does not need any more, if they are most of all.
  void DropEndedTimers();
  void ArmTimer();

  Balancer balancer_;
  BalancerClock& clock_;
  ActionHandler& handler_;
  std::chrono::nanoseconds* const balancer_time_;
  std::deque<Event> events_;
  std::vector<Action> actions_;  // those of the event that is being handled
  bool handling_ = false;        // true: new events are only queued
  TimePoint handled_at_;
  std::vector<Timer> timers_;  // a heap with the earliest timer in front
};

}  // namespace lb::sidecar
