#include "sidecar/connection_timeouts.h"

namespace lb::sidecar {
namespace {

// Bytes a second. A slow mobile client is faster; a client that trickles to hold a descriptor is slower.
constexpr double kMinimumRate = 32 * 1024;
// Within a body that comes fast enough on the whole.
constexpr Duration kBodyPauseTimeout = std::chrono::seconds(1);

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

void Linger::RecordDiscarded(std::size_t bytes) {
  // A client that was still sending its request may finish it.
  if (timeout == kLingerTimeout) discarded += bytes;
}

bool IsRequestStalled(const ConnectionActivity& activity, TimePoint now) {
  const Duration age = now - activity.since;
  if (age <= kFirstRequestTimeout) return false;
  if (activity.body_bytes == 0) return true;
  if (now - activity.last_body_byte_at > kBodyPauseTimeout) return true;
  return static_cast<double>(activity.body_bytes) < Seconds(age - kFirstRequestTimeout) * kMinimumRate;
}

bool IsResponseStalled(const ConnectionActivity& activity, std::size_t body_bytes, TimePoint now) {
  const Duration age = now - activity.since;
  return Seconds(age - kFirstRequestTimeout) > static_cast<double>(body_bytes) / kMinimumRate;
}

}  // namespace lb::sidecar
