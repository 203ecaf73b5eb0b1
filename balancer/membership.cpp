#include "balancer/membership.h"

#include <algorithm>
#include <utility>

namespace lb {
namespace {

// Up to this many changes are applied one by one; more are merged in one pass over the list.
constexpr std::size_t kMaxSeparateChanges = 8;

// The rank of an id on the ring: FNV-1a with a finalizer that distributes ids evenly, the same on every
// platform.
std::uint64_t RankOf(const std::string& id) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char c : id) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb;
  return hash ^ (hash >> 31);
}

}  // namespace

UpstreamPtr Membership::Find(const std::string& id) const {
  ++visits_;
  const auto it = index_.find(id);
  return it == index_.end() ? nullptr : it->second;
}

std::size_t Membership::PlaceOf(const Upstream& upstream) const {
  const std::size_t index = ring_.IndexOf(upstream, visits_);
  return index >= first_ ? index - first_ : index + ring_.size() - first_;
}

void Membership::BeginFullList() {
  ++list_number_;
  full_list_open_ = true;
}

// A new start time means a new process: the failures and the ejection belong to the earlier process.
Membership::AppliedEntry Membership::ApplyEntry(const UpstreamInfo& info) {
  UpstreamPtr upstream = Find(info.id.value);
  const bool was_serving = upstream && upstream->info.state == UpstreamState::kServing;
  const bool new_process = !upstream || (info.started && info.started != upstream->info.started);
  if (new_process) upstream = Replace(info.id.value);
  upstream->info = info;
  if (!(upstream->info.weight > 0)) upstream->info.weight = 1;
  upstream->membership.listed_state = info.state;
  if (const auto it = overrides_.find(info.id.value); it != overrides_.end()) {
    const OverrideInForce& in_force = it->second;
    if (!in_force.disabled) upstream->membership.enabled_at = in_force.at;
    if (in_force.disabled && info.state == UpstreamState::kServing)
      upstream->info.state = UpstreamState::kDraining;
  }
  MarkChanged(upstream);
  return {upstream, new_process, new_process || !was_serving};
}

// An upstream may have restarted while it was disabled, and the list may show that late. Therefore an enabled
// upstream returns without history and warms up as if it started now.
std::optional<UpstreamInfo> Membership::ApplyOverride(const std::string& id, Override change, TimePoint now) {
  const bool disabled = change == Override::kDisable;
  OverrideInForce& in_force = overrides_[id];
  if (in_force.disabled == disabled) return std::nullopt;
  in_force = {disabled, now};
  const UpstreamPtr known = Find(id);
  if (!known) return std::nullopt;
  UpstreamInfo info = known->info;
  info.state = known->membership.listed_state;
  if (!disabled) Drop(id);
  return info;
}

UpstreamPtr Membership::Replace(const std::string& id) {
  Drop(id);
  auto upstream = std::make_shared<Upstream>();
  upstream->membership.rank = RankOf(id);
  index_[id] = upstream;
  return upstream;
}

void Membership::Drop(const std::string& id) {
  const auto it = index_.find(id);
  if (it == index_.end()) return;
  it->second->info.state = UpstreamState::kGone;
  MarkChanged(it->second);
  index_.erase(it);
}

void Membership::MarkChanged(const UpstreamPtr& upstream) {
  ++visits_;
  upstream->membership.listed_in = list_number_;
  changed_.push_back(upstream);
}

void Membership::CommitUpdate() {
  if (full_list_open_) DropUnlisted();
  full_list_open_ = false;
  const std::vector<UpstreamPtr> changed = std::move(changed_);
  changed_.clear();
  std::vector<Upstream*> entering;
  std::vector<Upstream*> leaving;
  for (const UpstreamPtr& upstream : changed) {
    MembershipState& state = upstream->membership;
    const bool stays = upstream->info.state != UpstreamState::kGone;
    weight_.Subtract(state.weight);
    state.weight = upstream->info.state == UpstreamState::kServing ? upstream->info.weight : 0;
    weight_.Add(state.weight);
    if (stays && !state.listed) entering.push_back(upstream.get());
    if (stays) state.listed = true;
    if (!stays) leaving.push_back(upstream.get());
  }
  if (entering.size() + leaving.size() > kMaxSeparateChanges) {
    RemoveAllFromRings(leaving);
    ring_.Merge(std::move(entering), visits_);
  } else {
    for (Upstream* upstream : leaving) RemoveFromRings(*upstream);
    for (Upstream* upstream : entering) ring_.Insert(*upstream, visits_);
  }
  first_ = static_cast<std::size_t>(own_place_ * static_cast<double>(ring_.size()));
}

void Membership::DropUnlisted() {
  visits_ += ring_.size();
  for (std::size_t i = 0; i < ring_.size(); ++i) {
    if (ring_[i]->membership.listed_in == list_number_) continue;
    ring_[i]->info.state = UpstreamState::kGone;
    changed_.push_back(ring_[i]->shared_from_this());
  }
}

void Membership::RemoveFromRings(Upstream& upstream) {
  MembershipState& state = upstream.membership;
  if (state.listed) ring_.Erase(upstream, visits_);
  if (state.monitored) monitored_.Erase(upstream, visits_);
  if (state.observed) observed_.Erase(upstream, visits_);
  state.listed = false;
  state.monitored = false;
  state.observed = false;
  EraseFromIndex(upstream);
}

void Membership::RemoveAllFromRings(const std::vector<Upstream*>& leaving) {
  for (Upstream* upstream : leaving) {
    upstream->membership.listed = false;
    upstream->membership.monitored = false;
    upstream->membership.observed = false;
    EraseFromIndex(*upstream);
  }
  ring_.EraseIf([](const Upstream* upstream) { return !upstream->membership.listed; }, visits_);
  monitored_.EraseIf([](const Upstream* upstream) { return !upstream->membership.monitored; }, visits_);
  observed_.EraseIf([](const Upstream* upstream) { return !upstream->membership.observed; }, visits_);
}

// The id may already belong to a newer process, whose entry must stay.
void Membership::EraseFromIndex(const Upstream& upstream) {
  const auto it = index_.find(upstream.info.id.value);
  if (it != index_.end() && it->second.get() == &upstream) index_.erase(it);
}

void Membership::Monitor(Upstream& upstream) {
  if (upstream.info.state == UpstreamState::kGone || upstream.membership.monitored) return;
  upstream.membership.monitored = true;
  monitored_.Insert(upstream, visits_);
}

std::vector<Upstream*> Membership::Monitored() const { return InRingOrder(monitored_); }

void Membership::MarkObserved(Upstream& upstream) {
  if (upstream.membership.observed) return;
  upstream.membership.observed = true;
  observed_.Insert(upstream, visits_);
}

std::vector<Upstream*> Membership::Observed() const { return InRingOrder(observed_); }

std::vector<Upstream*> Membership::InRingOrder(const Ring& ring) const {
  std::vector<Upstream*> in_order;
  if (ring.size() == 0) return in_order;
  in_order.reserve(ring.size());
  const std::size_t first = ring.IndexOf(*ring_[first_], visits_);
  for (std::size_t i = first; i < ring.size(); ++i) in_order.push_back(ring[i]);
  for (std::size_t i = 0; i < first; ++i) in_order.push_back(ring[i]);
  visits_ += ring.size();
  return in_order;
}

}  // namespace lb
