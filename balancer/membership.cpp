#include "balancer/membership.h"

#include <algorithm>
#include <utility>

namespace lb {
namespace {

// More changes at a time than this are merged in one pass over the list; fewer are inserted one by one.
constexpr std::size_t kFewChanges = 8;

// The rank of an id on the ring: FNV-1a with a finalizer that spreads ids evenly, the same on every platform.
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

void Membership::BeginWholeList() {
  ++list_number_;
  whole_list_open_ = true;
}

// A new start time is a new process: the failures and the ejection belong to the one that died.
Membership::Adopted Membership::Adopt(const UpstreamInfo& info) {
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
  Touch(upstream);
  return {upstream, new_process, new_process || !was_serving};
}

// An enabled upstream may have restarted while it was disabled, and the list tells that late: it comes back
// without history, and warms up like one that starts now.
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
  Touch(it->second);
  index_.erase(it);
}

void Membership::Touch(const UpstreamPtr& upstream) {
  ++visits_;
  upstream->membership.listed_in = list_number_;
  touched_.push_back(upstream);
}

void Membership::Settle() {
  if (whole_list_open_) DropUnlisted();
  whole_list_open_ = false;
  const std::vector<UpstreamPtr> touched = std::move(touched_);
  touched_.clear();
  std::vector<Upstream*> entering;
  std::vector<Upstream*> leaving;
  for (const UpstreamPtr& upstream : touched) {
    MembershipState& state = upstream->membership;
    const bool stays = upstream->info.state != UpstreamState::kGone;
    weight_.Subtract(state.weight);
    state.weight = upstream->info.state == UpstreamState::kServing ? upstream->info.weight : 0;
    weight_.Add(state.weight);
    if (stays && !state.listed) entering.push_back(upstream.get());
    if (stays) state.listed = true;
    if (!stays) leaving.push_back(upstream.get());
  }
  if (entering.size() + leaving.size() > kFewChanges) {
    LeaveTogether(leaving);
    ring_.Merge(std::move(entering), visits_);
  } else {
    for (Upstream* upstream : leaving) Leave(*upstream);
    for (Upstream* upstream : entering) ring_.Insert(*upstream, visits_);
  }
  first_ = static_cast<std::size_t>(own_place_ * static_cast<double>(ring_.size()));
}

void Membership::DropUnlisted() {
  visits_ += ring_.size();
  for (std::size_t i = 0; i < ring_.size(); ++i) {
    if (ring_[i]->membership.listed_in == list_number_) continue;
    ring_[i]->info.state = UpstreamState::kGone;
    touched_.push_back(ring_[i]->shared_from_this());
  }
}

void Membership::Leave(Upstream& upstream) {
  MembershipState& state = upstream.membership;
  if (state.listed) ring_.Erase(upstream, visits_);
  if (state.monitored) monitored_.Erase(upstream, visits_);
  if (state.observed) observed_.Erase(upstream, visits_);
  state.listed = false;
  state.monitored = false;
  state.observed = false;
  Forget(upstream);
}

void Membership::LeaveTogether(const std::vector<Upstream*>& leaving) {
  for (Upstream* upstream : leaving) {
    upstream->membership.listed = false;
    upstream->membership.monitored = false;
    upstream->membership.observed = false;
    Forget(*upstream);
  }
  ring_.EraseIf([](const Upstream* upstream) { return !upstream->membership.listed; }, visits_);
  monitored_.EraseIf([](const Upstream* upstream) { return !upstream->membership.monitored; }, visits_);
  observed_.EraseIf([](const Upstream* upstream) { return !upstream->membership.observed; }, visits_);
}

// The id may belong to a newer process by now.
void Membership::Forget(const Upstream& upstream) {
  const auto it = index_.find(upstream.info.id.value);
  if (it != index_.end() && it->second.get() == &upstream) index_.erase(it);
}

void Membership::Monitor(Upstream& upstream) {
  if (upstream.info.state == UpstreamState::kGone || upstream.membership.monitored) return;
  upstream.membership.monitored = true;
  monitored_.Insert(upstream, visits_);
}

std::vector<Upstream*> Membership::Monitored() const { return FromOwnPlace(monitored_); }

void Membership::MarkObserved(Upstream& upstream) {
  if (upstream.membership.observed) return;
  upstream.membership.observed = true;
  observed_.Insert(upstream, visits_);
}

std::vector<Upstream*> Membership::Observed() const { return FromOwnPlace(observed_); }

std::vector<Upstream*> Membership::FromOwnPlace(const Ring& some) const {
  std::vector<Upstream*> along;
  if (some.size() == 0) return along;
  along.reserve(some.size());
  const std::size_t first = some.IndexOf(*ring_[first_], visits_);
  for (std::size_t i = first; i < some.size(); ++i) along.push_back(some[i]);
  for (std::size_t i = 0; i < first; ++i) along.push_back(some[i]);
  visits_ += some.size();
  return along;
}

}  // namespace lb
