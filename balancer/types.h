// The vocabulary of the decision module: time, identifiers, and what an attempt can end with.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace lb {

using Duration = std::chrono::microseconds;

// The clock of the balancer's host: steady, in microseconds from an arbitrary start. It has no now():
// the balancer knows no time but the one that each call hands it.
struct Clock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;
};
using TimePoint = Clock::time_point;

// Identifiers are opaque. A request id is never used twice.
enum class RequestId : std::uint64_t {};
enum class ClassId : std::size_t {};   // index into Settings::classes
enum class TenantId : std::size_t {};  // index into Settings::tenants
enum class AttemptId : std::size_t {
};  // counts a request's attempts from 0, in the order of their SendAttempt

// An upstream keeps its id when its process restarts. Any bytes, compared as they are.
struct UpstreamId {
  std::string value;
  // clang-tidy takes the zero in rewritten comparisons for a pointer.
  auto operator<=>(const UpstreamId&) const = default;  // NOLINT(modernize-use-nullptr)
};

// How an attempt ended. "May have run" means that the upstream may have acted on the request.
enum class Outcome {
  kServed,         // a response that is the client's
  kError,          // the upstream answered with an error: may have run
  kRejected,       // the upstream rejected it unprocessed: did not run
  kTimeout,        // no response in time: may have run
  kConnectFailed,  // no connection came up: did not run
  kReset,          // the connection broke: may have run
  kCancelled,      // cancelled by this sidecar: may have run
  kNotSent,        // the sidecar did not send it, as the request had ended: did not run
  kLocalFailure,   // this machine could not open a connection (no descriptor, port or route): did not run
};

// An upstream's own view of its load. A value that it did not report is absent.
struct LoadReport {
  std::optional<double> in_flight;    // requests
  std::optional<double> queued;       // requests
  std::optional<double> utilization;  // 0 to 1
  std::optional<double> rate;         // requests served a second
};

}  // namespace lb
