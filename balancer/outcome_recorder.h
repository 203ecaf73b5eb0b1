// Passes the outcome of an attempt to the components that record it.
#pragma once

#include "balancer/components.h"
#include "balancer/request.h"

namespace lb {

class OutcomeRecorder {
 public:
  // `components` has to outlive this object.
  explicit OutcomeRecorder(Components& components) : components_(components) {}

  // The attempt counts as in flight from now on, because its request is complete. While the body is still
  // being received, or once the response has begun, the upstream is not what the request waits for.
  void RecordStart(Attempt& attempt, TimePoint now);
  // Must be called once for each attempt: at its end, or when its response begins.
  void RecordOutcome(const Request& request, Attempt& attempt, Outcome outcome, Duration elapsed,
                     TimePoint now);
  // Records only the effect of the outcome on the upstream's health.
  void RecordHealth(const Attempt& attempt, Outcome outcome, TimePoint now);

 private:
  void RecordLateness(const Request& request, Upstream& upstream, Outcome outcome, Duration elapsed,
                      TimePoint now);

  Components& components_;
};

}  // namespace lb
