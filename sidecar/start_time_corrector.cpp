#include "sidecar/start_time_corrector.h"

#include <algorithm>

namespace lb::sidecar {
namespace {

using lb::MembershipUpdate;
using lb::UpstreamInfo;
using lb::UpstreamState;

// Upstreams that left are remembered in case they are listed again; this limits their number.
constexpr std::size_t kMaxRememberedUnlisted = 4096;

}  // namespace

bool StartTimeCorrector::Correct(MembershipUpdate& update, TimePoint now) {
  const bool is_from_discovery =
      update.kind == MembershipUpdate::Kind::kFull || update.kind == MembershipUpdate::Kind::kChanges;
  if (!is_from_discovery && update.kind != MembershipUpdate::Kind::kRestored) return false;

  LimitMaxAhead(update, now);
  if (max_ahead_ < -kMaxClockSkew) is_trusted_ = false;
  const bool found_ahead = is_trusted_ && HasRestarted(update, now);
  if (found_ahead) is_trusted_ = false;
  may_be_ahead_ = MayBeAhead(update, now);

  for (UpstreamInfo& upstream : update.upstreams) CorrectUpstream(upstream, now);
  if (update.kind != MembershipUpdate::Kind::kChanges) MarkUnlisted(update);
  if (known_.size() > forget_above_ + kMaxRememberedUnlisted) ForgetUnlisted();

  if (is_from_discovery) {
    last_list_at_ = now;
    has_list_from_discovery_ = true;
  }
  return found_ahead;
}

// An upstream has started before the list that contains it is received, so the clock cannot be ahead by more
// than the upstream's apparent age.
void StartTimeCorrector::LimitMaxAhead(const MembershipUpdate& update, TimePoint now) {
  for (const UpstreamInfo& upstream : update.upstreams) {
    if (upstream.started) max_ahead_ = std::min(max_ahead_, now - *upstream.started);
  }
}

bool StartTimeCorrector::HasRestarted(const MembershipUpdate& update, TimePoint now) const {
  return std::ranges::any_of(update.upstreams, [&](const UpstreamInfo& upstream) {
    return FindFreshStart(upstream, now) == FreshStart::kRestarted;
  });
}

// Detects a start that happened after the last list although its wall-clock time is long before that list. An
// upstream that is listed for the first time is not proof of a wrong clock: it may have been listed before
// this process started.
StartTimeCorrector::FreshStart StartTimeCorrector::FindFreshStart(const UpstreamInfo& upstream,
                                                                  TimePoint now) const {
  if (!last_list_at_ || !upstream.started || upstream.state == UpstreamState::kGone) return FreshStart::kNone;
  if (now - *upstream.started <= now - *last_list_at_ + kMaxListingDelay) return FreshStart::kNone;
  const auto known = known_.find(upstream.id.value);
  if (known == known_.end()) return FreshStart::kAppeared;
  const KnownUpstream& before = known->second;
  if (before.reported && *upstream.started <= *before.reported) return FreshStart::kNone;
  return before.is_listed ? FreshStart::kRestarted : FreshStart::kAppeared;
}

// True if the upstream would be cold if the clock were ahead by `max_ahead_`.
bool StartTimeCorrector::IsAmongNewest(const UpstreamInfo& upstream, TimePoint now) const {
  return upstream.started && now - *upstream.started - max_ahead_ < slow_start_duration_;
}

// The first list can only show that the clock may be ahead, by at most the age of the newest start. The
// upstreams with the newest starts are then treated as cold for one slow-start period. If they are at least
// half of the list, they more likely all started together long ago, and treating them as cold would leave too
// few warm upstreams.
bool StartTimeCorrector::MayBeAhead(const MembershipUpdate& update, TimePoint now) const {
  if (!is_trusted_ || has_list_from_discovery_ || max_ahead_ <= kQuietFleetAge) return false;
  const auto newest = std::ranges::count_if(
      update.upstreams, [&](const UpstreamInfo& upstream) { return IsAmongNewest(upstream, now); });
  return 2 * static_cast<std::size_t>(newest) < update.upstreams.size();
}

// Chooses the latest start time that is consistent with all lists so far. This is the safe choice: the
// upstream is at least as warm as assumed.
void StartTimeCorrector::CorrectUpstream(UpstreamInfo& upstream, TimePoint now) {
  const std::string& id = upstream.id.value;
  const auto known = known_.find(id);
  if (upstream.state == UpstreamState::kGone) {
    if (known != known_.end()) known->second.is_listed = false;
    return;
  }
  const StartTime reported = upstream.started;
  const bool is_same_start = known != known_.end() && known->second.reported == reported;
  const bool may_be_cold = may_be_ahead_ && !is_same_start && IsAmongNewest(upstream, now);
  if (reported && (!is_trusted_ || may_be_cold || FindFreshStart(upstream, now) != FreshStart::kNone)) {
    upstream.started = *reported + max_ahead_;
  }
  if (is_same_start && reported) {
    const TimePoint before = *known->second.corrected;
    const bool is_younger =
        *upstream.started > before + kMaxClockSkew && now - *upstream.started < slow_start_duration_;
    if (!is_younger) upstream.started = before;
  }
  known_[id] = {reported, upstream.started, true};
}

// An upstream that is missing from a whole list is gone.
void StartTimeCorrector::MarkUnlisted(const MembershipUpdate& whole_list) {
  for (auto& [id, known] : known_) known.is_listed = false;
  for (const UpstreamInfo& upstream : whole_list.upstreams) {
    const auto known = known_.find(upstream.id.value);
    if (known != known_.end()) known->second.is_listed = upstream.state != UpstreamState::kGone;
  }
}

// Runs only after `known_` has at least doubled, so the amortized cost is a few entries for each change.
void StartTimeCorrector::ForgetUnlisted() {
  std::erase_if(known_, [](const auto& entry) { return !entry.second.is_listed; });
  forget_above_ = 2 * known_.size();
}

}  // namespace lb::sidecar
