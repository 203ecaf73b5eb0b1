// Basic types of the decision module: time, identifiers, attempt outcomes and load reports.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace lb {

using Duration = std::chrono::microseconds;

// The steady clock of the balancer's host, in microseconds from an arbitrary start. It has no now(): the
// caller passes the current time to each call of the balancer.
struct Clock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;
};
using TimePoint = Clock::time_point;

// Identifiers are opaque. A request id is never reused.
enum class RequestId : std::uint64_t {};
enum class ClassId : std::size_t {};   // index into Settings::classes
enum class TenantId : std::size_t {};  // index into Settings::tenants
enum class AttemptId : std::size_t {
};  // the number of the attempt within its request, from 0, in the order of SendAttempt

// The id of an upstream: any bytes, compared bytewise. An upstream keeps its id when its process restarts.
struct UpstreamId {
  std::string value;
  // clang-tidy mistakes the zero in rewritten comparisons for a null pointer.
  auto operator<=>(const UpstreamId&) const = default;  // NOLINT(modernize-use-nullptr)
};

// How an attempt ended. "May have run" means that the upstream may have acted on the request.
enum class Outcome {
  kServed,         // the response was passed to the client
  kError,          // the upstream responded with an error: may have run
  kRejected,       // the upstream rejected the request unprocessed: did not run
  kTimeout,        // no response within the time-out: may have run
  kConnectFailed,  // no connection could be established: did not run
  kReset,          // the connection broke during the attempt: may have run
  kCancelled,      // cancelled by this sidecar: may have run
  kNotSent,  // not sent, because the request had ended or SendAttempt::begin_within had passed: did not run
  kLocalFailure,  // this host could not open a connection (no descriptor, port or route): did not run
};

// The load that an upstream reports about itself. Values that it did not report are absent.
struct LoadReport {
  std::optional<double> in_flight;    // requests
  std::optional<double> queued;       // requests
  std::optional<double> utilization;  // 0 to 1
  std::optional<double> rate;         // requests served per second
};

}  // namespace lb
