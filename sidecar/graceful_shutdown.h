// The time limits of a graceful shutdown, which SIGTERM begins.
#pragma once

#include <chrono>
#include <optional>

#include "balancer/settings.h"
#include "sidecar/clock.h"

namespace lb::sidecar {

// How long the shutdown waits at most until the operator state is stored.
constexpr Duration kStoreTimeout = std::chrono::seconds(2);

class GracefulShutdown {
 public:
  explicit GracefulShutdown(const Settings& settings);

  // The shutdown begins at `now`, or has begun. Returns by when the last response has to be sent.
  TimePoint Begin(TimePoint now);
  bool begun() const { return last_response_by_.has_value(); }

 private:
  const Duration time_to_last_response_;
  std::optional<TimePoint> last_response_by_;
};

}  // namespace lb::sidecar
