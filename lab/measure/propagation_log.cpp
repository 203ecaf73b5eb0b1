#include "lab/measure/propagation_log.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <string>
#include <utility>

namespace lb::lab {
namespace {

constexpr std::uint64_t kFirstChange = 2;  // revision 1 is the initial list

bool IsInScope(std::size_t changed, std::optional<std::size_t> service) {
  return !service || *service == changed;
}

}  // namespace

void PropagationLog::RecordChange(std::uint64_t revision, std::size_t service, TimePoint at) {
  if (revision != newest() + 1)
    throw std::logic_error("revision " + std::to_string(revision) + " is out of order");
  changes_.push_back({service, at});
}

void PropagationLog::Start(std::size_t sidecar, std::optional<std::size_t> service) {
  sidecars_[sidecar] = {service, newest()};
}

void PropagationLog::Stop(std::size_t sidecar) { sidecars_.erase(sidecar); }

void PropagationLog::RecordDelivery(std::size_t sidecar, std::uint64_t revision, TimePoint at) {
  const auto found = sidecars_.find(sidecar);
  if (found == sidecars_.end()) return;
  Sidecar& receiver = found->second;
  const std::uint64_t last = std::min(revision, newest());
  for (; receiver.delivered_revision < last; ++receiver.delivered_revision) {
    const Change& change = changes_[receiver.delivered_revision + 1 - kFirstChange];
    if (!IsInScope(change.service, receiver.service)) continue;
    const double delay_ms = std::chrono::duration<double, std::milli>(at - change.at).count();
    if (change.at >= counted_from_) delays_ms_.Add(delay_ms);
    recent_ms_.Add(delay_ms);
  }
}

std::size_t PropagationLog::CountUndelivered(TimePoint until) const {
  std::size_t missing = 0;
  for (const auto& [index, sidecar] : sidecars_) {
    for (std::uint64_t revision = sidecar.delivered_revision + 1; revision <= newest(); ++revision) {
      const Change& change = changes_[revision - kFirstChange];
      if (IsInScope(change.service, sidecar.service) && change.at <= until) ++missing;
    }
  }
  return missing;
}

void PropagationLog::CountFrom(TimePoint from) {
  counted_from_ = from;
  delays_ms_ = {};
}

Distribution PropagationLog::TakeRecentDelays() { return std::exchange(recent_ms_, Distribution()); }

}  // namespace lb::lab
