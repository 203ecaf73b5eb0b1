// Whether the listener's clients are asked to leave, by the operators (connection draining) or by a planned
// stop.
#pragma once

#include "sidecar/clock.h"

namespace lb::sidecar {

struct DrainState {
  bool draining = false;                 // by the operators; can be taken back
  bool stopping = false;                 // a planned stop has begun; it is final
  bool handed_over = false;              // another process accepts from the same listening socket
  TimePoint since;                       // draining or stopping began
  TimePoint stop_by = TimePoint::max();  // from here on no connection is left open for a first request

  bool IsLeaving() const { return draining || stopping; }
};

}  // namespace lb::sidecar
