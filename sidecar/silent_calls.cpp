#include "sidecar/silent_calls.h"

#include <algorithm>
#include <utility>

#include "sidecar/discovery_timing.h"

namespace lb::sidecar {

template <typename Condition>
void SilentCalls::DropIf(Condition condition) {
  std::erase_if(calls_, [&](const Kept& kept) {
    if (!condition(kept)) return false;
    kept.call.connection->Drop();
    return true;
  });
}

void SilentCalls::Keep(PendingCall call, TimePoint now) {
  const bool is_too_soon = !calls_.empty() && call.started_at - calls_.back().call.started_at < interval_ &&
                           !call.IsForWholeList();
  if (is_too_soon) return call.connection->Drop();
  if (calls_.size() == kMaxCalls) {
    calls_.front().call.connection->Drop();
    calls_.erase(calls_.begin());
  }
  const std::size_t progress = call.connection->Progress();
  calls_.push_back({std::move(call), progress, now});
}

std::optional<PendingCall> SilentCalls::Take(const DiscoveryCall& connection) {
  const auto kept = std::ranges::find_if(
      calls_, [&](const Kept& candidate) { return candidate.call.connection.get() == &connection; });
  if (kept == calls_.end()) return std::nullopt;
  PendingCall call = std::move(kept->call);
  calls_.erase(kept);
  return call;
}

void SilentCalls::DropStalled(TimePoint now) {
  for (Kept& kept : calls_) {
    const std::size_t progress = kept.call.connection->Progress();
    if (progress == kept.progress) continue;
    kept.progress = progress;
    kept.progress_at = now;
  }
  DropIf([now](const Kept& kept) {
    const TimePoint silent_since =
        kept.progress > 0 ? kept.progress_at : kept.call.started_at + kept.call.wait;
    return now - silent_since >= kNotificationLimit;
  });
}

void SilentCalls::DropCallsForChanges() {
  DropIf([](const Kept& kept) { return !kept.call.IsForWholeList(); });
}

void SilentCalls::DropAll() {
  DropIf([](const Kept&) { return true; });
}

bool SilentCalls::HasCallForWholeList() const {
  return std::ranges::any_of(calls_, [](const Kept& kept) { return kept.call.IsForWholeList(); });
}

}  // namespace lb::sidecar
