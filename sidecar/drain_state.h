// Whether a listener is ending its connections, because operators drain it (connection draining) or for a
// planned stop. Shared by all its connections.
#pragma once

#include "sidecar/clock.h"

namespace lb::sidecar {

struct DrainState {
  bool draining = false;     // set by operators; can be reset
  bool stopping = false;     // a planned stop has begun; never reset
  bool handed_over = false;  // another process accepts from the same listening socket
  TimePoint changed_at;      // when draining or stopping last changed
  // From this time on, no connection is kept open for its first request.
  TimePoint stop_by = TimePoint::max();

  bool IsDrainingOrStopping() const { return draining || stopping; }
};

}  // namespace lb::sidecar
