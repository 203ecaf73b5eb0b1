// The time limits of a graceful shutdown, which starts on SIGTERM.
#pragma once

#include <chrono>
#include <optional>

#include "balancer/settings.h"
#include "sidecar/clock.h"

namespace lb::sidecar {

// The maximum time for which the shutdown waits until the operator state is stored.
constexpr Duration kStoreTimeout = std::chrono::seconds(2);

// Records the start of the shutdown and computes when the last response has to be sent.
class GracefulShutdown {
 public:
  explicit GracefulShutdown(const Settings& settings);

  // Starts the shutdown at `now` unless it has already begun. Returns the time by which the last response has
  // to be sent; further calls return the same time.
  TimePoint Begin(TimePoint now);
  bool begun() const { return last_response_by_.has_value(); }

 private:
  const Duration time_to_last_response_;
  std::optional<TimePoint> last_response_by_;
};

}  // namespace lb::sidecar
