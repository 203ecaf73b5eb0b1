#include "sidecar/send_time_bound.h"

#include <algorithm>
#include <fstream>
#include <utility>

namespace lb::sidecar {
namespace {

// Beyond this number, every second observation is dropped, which only makes the bound earlier.
constexpr std::size_t kMaxObservations = 64;
// The kernel's defaults, where its settings can't be read: the last value of tcp_wmem, and wmem_max.
constexpr std::size_t kDefaultMaxAutotuned = std::size_t{4} * 1024 * 1024;
constexpr std::size_t kDefaultMaxRequested = 212992;
// SO_SNDBUF gives a program twice what it asks for (socket(7)).
constexpr std::size_t kRequestedFactor = 2;
// A send buffer that is not full takes one more segment.
constexpr std::size_t kMaxSegment = std::size_t{64} * 1024;

// Returns the last number in the file, or `otherwise` if there is none.
std::size_t ReadLastNumber(const char* path, std::size_t otherwise) {
  std::ifstream file(path);
  std::size_t last = otherwise;
  for (std::size_t number = 0; file >> number;) last = number;
  return last;
}

}  // namespace

void SendTimeBound::Observe(std::uint64_t read, std::size_t unread, TimePoint at) {
  const std::uint64_t max_sent = unread == 0 ? read : read + unread + max_send_buffer_;
  while (!observations_.empty() && observations_.back().max_sent >= max_sent) observations_.pop_back();
  if (observations_.size() == kMaxObservations) DropEverySecond();
  observations_.push_back({at, max_sent});
}

TimePoint SendTimeBound::EarliestSend(std::uint64_t offset) {
  while (!observations_.empty() && observations_.front().max_sent < offset) {
    start_ = observations_.front().at;
    observations_.pop_front();
  }
  return start_;
}

void SendTimeBound::DropEverySecond() {
  std::deque<Observation> kept;
  for (std::size_t i = 0; i < observations_.size(); i += 2) kept.push_back(observations_[i]);
  observations_ = std::move(kept);
}

std::size_t MaxTcpSendBuffer() {
  static const std::size_t kSize = [] {
    const std::size_t autotuned = ReadLastNumber("/proc/sys/net/ipv4/tcp_wmem", kDefaultMaxAutotuned);
    const std::size_t requested = ReadLastNumber("/proc/sys/net/core/wmem_max", kDefaultMaxRequested);
    return std::max(autotuned, requested * kRequestedFactor) + kMaxSegment;
  }();
  return kSize;
}

}  // namespace lb::sidecar
