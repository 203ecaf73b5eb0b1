// Passes the outcome of an attempt on to the components that learn from it.
#pragma once

#include "balancer/components.h"
#include "balancer/request.h"

namespace lb {

class OutcomeRecorder {
 public:
  // `components` has to outlive this.
  explicit OutcomeRecorder(Components& components) : components_(components) {}

  // The attempt counts as in flight from now on: its request is complete. While a body still comes, or once
  // the response has begun, its upstream is not what takes the time.
  void RecordStart(Attempt& attempt, TimePoint now);
  // Once for each attempt: at its end, or where its response begins.
  void RecordOutcome(const Request& request, Attempt& attempt, Outcome outcome, Duration elapsed,
                     TimePoint now);
  // What the outcome says of the upstream's health alone.
  void RecordHealth(const Attempt& attempt, Outcome outcome, TimePoint now);

 private:
  void RecordLateness(const Request& request, Upstream& upstream, Outcome outcome, Duration elapsed,
                      TimePoint now);

  Components& components_;
};

}  // namespace lb
