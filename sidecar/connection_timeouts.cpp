#include "sidecar/connection_timeouts.h"

namespace lb::sidecar {
namespace {

// In bytes per second. Slow mobile clients are faster; clients that trickle bytes to hold a descriptor are
// slower.
constexpr double kMinBytesPerSecond = 32 * 1024;
// The longest pause within a body, even if its average rate is high enough.
constexpr Duration kBodyPauseTimeout = std::chrono::seconds(1);

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

void Linger::RecordDiscarded(std::size_t bytes) {
  // A client that was still sending its request may finish it, so its bytes do not count.
  if (timeout == kLingerTimeout) discarded += bytes;
}

bool IsRequestStalled(const ConnectionActivity& activity, TimePoint now) {
  const Duration age = now - activity.state_since;
  if (age <= kFirstRequestTimeout) return false;
  if (activity.body_bytes == 0) return true;
  if (now - activity.last_body_byte_at > kBodyPauseTimeout) return true;
  return static_cast<double>(activity.body_bytes) < Seconds(age - kFirstRequestTimeout) * kMinBytesPerSecond;
}

bool IsResponseStalled(const ConnectionActivity& activity, std::size_t body_bytes, TimePoint now) {
  const Duration age = now - activity.state_since;
  return Seconds(age - kFirstRequestTimeout) > static_cast<double>(body_bytes) / kMinBytesPerSecond;
}

}  // namespace lb::sidecar
