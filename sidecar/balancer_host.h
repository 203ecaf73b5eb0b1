// Hosts one Balancer: queues events for it, hands them over one at a time, keeps its timers and passes its
// actions on in their order. Used by the sidecar, on sockets, and by the hollow sidecars of the lab, on
// models. Does no I/O and reads no clock of its own. One thread at a time.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "balancer/balancer.h"

namespace lb::sidecar {

// Carries out what the balancer asks for. A method may call BalancerHost::Deliver(): the event is queued
// behind those that wait, as the balancer is never re-entered.
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

// The time that the balancer goes by.
class BalancerClock {
 public:
  virtual ~BalancerClock() = default;
  virtual TimePoint Now() const = 0;
  // Told after each round of events: `next` is when the earliest timer is due, TimePoint::max() where there
  // is none. The implementation calls BalancerHost::FireDueTimers() at that time; a call that comes too early
  // or once too often does no harm.
  virtual void ArmTimer(TimePoint next) = 0;
};

class BalancerHost {
 public:
  // `clock`, `handler` and `balancer_time` have to outlive the host. `balancer_time`: where given, the real
  // time that the balancer takes is added to it. Throws what Settings::Validate() throws.
  BalancerHost(const Settings& settings, std::uint64_t seed, BalancerClock& clock, ActionHandler& handler,
               std::chrono::nanoseconds* balancer_time = nullptr);

  // Queues the event and, unless events are being handled or held back, handles all that are queued.
  void Deliver(Event event);

  // Holds events back: while one lives they are only queued. For a change that the balancer and the sockets
  // have to learn of together. HandleQueuedEvents() is to be called once it is gone.
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
  // Queues the event only. The reference is valid until the event has been handled.
  const Event& Enqueue(Event event);
  // Handles what is queued; does nothing while events are being handled or held back.
  void HandleQueuedEvents();

  // Delivers one TimerFired for each timer that is due.
  void FireDueTimers();

  // The time that the balancer was last told: when the actions that are being carried out were decided on.
  TimePoint handled_at() const { return handled_at_; }

 private:
  using Timer = std::pair<TimePoint, std::uint64_t>;

  void CarryOut(const Action& action);
  void ArmTimer();

  Balancer balancer_;
  BalancerClock& clock_;
  ActionHandler& handler_;
  std::chrono::nanoseconds* const balancer_time_;
  std::deque<Event> events_;
  std::vector<Action> actions_;  // of the event that is being handled
  bool handling_ = false;        // events are only queued
  TimePoint handled_at_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
};

}  // namespace lb::sidecar
