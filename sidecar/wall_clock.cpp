#include "sidecar/wall_clock.h"

#include <algorithm>

namespace lb::sidecar {
namespace {

using lb::MembershipUpdate;
using lb::UpstreamState;

// Of upstreams that have left, what is remembered in case they are listed again.
constexpr std::size_t kMostLeft = 4096;

}  // namespace

bool WallClock::Judge(MembershipUpdate& update, TimePoint now) {
  const bool told =
      update.kind == MembershipUpdate::Kind::kFull || update.kind == MembershipUpdate::Kind::kChanges;
  if (!told && update.kind != MembershipUpdate::Kind::kRestored) return false;
  // Whatever started did so before it was heard of.
  for (const Listed& upstream : update.upstreams) {
    if (upstream.started) most_ahead_ = std::min(most_ahead_, now - *upstream.started);
  }
  if (most_ahead_ < -kMostAhead) trusted_ = false;
  bool found_ahead = false;
  for (const Listed& upstream : update.upstreams) {
    if (trusted_ && FreshStart(upstream, now) == Evidence::kRestarted) found_ahead = true;
  }
  if (found_ahead) trusted_ = false;
  may_be_ahead_ = MayBeAhead(update, now);
  for (Listed& upstream : update.upstreams) JudgeOne(upstream, now);
  if (update.kind != MembershipUpdate::Kind::kChanges) ListOnly(update);
  if (known_.size() > forget_at_ + kMostLeft) ForgetLeft();
  if (told) heard_ = now;
  told_ = told_ || told;
  return found_ahead;
}

// Does this upstream seem to have started longer ago than it can have, as it was not listed so at the last
// answer? One that is listed for the first time may have been listed before this process came, and be old.
WallClock::Evidence WallClock::FreshStart(const Listed& upstream, TimePoint now) const {
  if (!heard_ || !upstream.started || upstream.state == UpstreamState::kGone) return Evidence::kNone;
  if (now - *upstream.started <= now - *heard_ + kMostUnlisted) return Evidence::kNone;
  const auto known = known_.find(upstream.id.value);
  if (known == known_.end()) return Evidence::kAppeared;
  const auto& [told, judged, listed] = known->second;
  if (told && *upstream.started <= *told) return Evidence::kNone;
  return listed ? Evidence::kRestarted : Evidence::kAppeared;
}

// May it be cold, if the clock is ahead by as much as it can be?
bool WallClock::IsAmongNewest(const Listed& upstream, TimePoint now) const {
  return upstream.started && now - *upstream.started - most_ahead_ < cold_time_;
}

// The first list shows no more than that the clock may be ahead: as far as the newest start seems long ago.
// The few that started last are taken for cold then, for one cold time. Where they are half of the list it is
// more likely that all were started together, long ago, and there would be too few others.
bool WallClock::MayBeAhead(const MembershipUpdate& update, TimePoint now) const {
  if (!trusted_ || told_ || most_ahead_ <= kLongQuiet) return false;
  const auto newest =
      std::ranges::count_if(update.upstreams, [&](const Listed& u) { return IsAmongNewest(u, now); });
  return 2 * static_cast<std::size_t>(newest) < update.upstreams.size();
}

// The latest start that agrees with all that was heard is the safe one: the upstream is at least as warm.
void WallClock::JudgeOne(Listed& upstream, TimePoint now) {
  const std::string& id = upstream.id.value;
  const auto known = known_.find(id);
  if (upstream.state == UpstreamState::kGone) {
    if (known != known_.end()) known->second.listed = false;
    return;
  }
  const Started told = upstream.started;
  const bool same = known != known_.end() && known->second.told == told;
  const bool may_be_cold = may_be_ahead_ && !same && IsAmongNewest(upstream, now);
  if (told && (!trusted_ || may_be_cold || FreshStart(upstream, now) != Evidence::kNone)) {
    upstream.started = *told + most_ahead_;
  }
  if (same && told) {
    const TimePoint judged = *known->second.judged;
    const bool younger = *upstream.started > judged + kMostAhead && now - *upstream.started < cold_time_;
    if (!younger) upstream.started = judged;
  }
  known_[id] = {told, upstream.started, true};
}

// What a whole list leaves out is gone.
void WallClock::ListOnly(const MembershipUpdate& update) {
  for (auto& [id, known] : known_) known.listed = false;
  for (const Listed& upstream : update.upstreams) {
    const auto known = known_.find(upstream.id.value);
    if (known != known_.end()) known->second.listed = upstream.state != UpstreamState::kGone;
  }
}

// Seldom enough that each change costs no more than a few entries.
void WallClock::ForgetLeft() {
  std::erase_if(known_, [](const auto& known) { return !known.second.listed; });
  forget_at_ = 2 * known_.size();
}

}  // namespace lb::sidecar
