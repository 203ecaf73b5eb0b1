#include "balancer/membership.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace lb {
namespace {

constexpr int kUnitBits = 64;
constexpr double kMostWeight = 0x1p48;  // 2^15 of them still fit
// More changes at a time than this are merged in one pass over the list.
constexpr std::size_t kFewChanges = 8;

bool Before(const Upstream* a, const Upstream* b) {
  return std::tie(a->marks.rank, a->info.id) < std::tie(b->marks.rank, b->info.id);
}

std::size_t SearchSteps(std::size_t size) { return static_cast<std::size_t>(std::bit_width(size)); }

}  // namespace

WeightSum::Wide WeightSum::Units(double weight) {
  return static_cast<Wide>(std::ldexp(std::min(weight, kMostWeight), kUnitBits));
}

double WeightSum::value() const { return std::ldexp(static_cast<double>(units_), -kUnitBits); }

std::size_t Ring::IndexOf(const Upstream& u, std::size_t& visits) const {
  visits += SearchSteps(sorted_.size());
  return static_cast<std::size_t>(std::lower_bound(sorted_.begin(), sorted_.end(), &u, Before) -
                                  sorted_.begin());
}

void Ring::Insert(Upstream& u, std::size_t& visits) {
  sorted_.insert(sorted_.begin() + static_cast<std::ptrdiff_t>(IndexOf(u, visits)), &u);
}

// The process before and the one after it have one place while a change is taken in.
void Ring::Erase(const Upstream& u, std::size_t& visits) {
  const auto from = sorted_.begin() + static_cast<std::ptrdiff_t>(IndexOf(u, visits));
  const auto at = std::find(from, sorted_.end(), &u);
  if (at != sorted_.end()) sorted_.erase(at);
}

void Ring::Merge(std::vector<Upstream*> entering, std::size_t& visits) {
  visits += sorted_.size() + entering.size();
  std::sort(entering.begin(), entering.end(), Before);
  std::vector<Upstream*> merged;
  merged.reserve(sorted_.size() + entering.size());
  std::merge(sorted_.begin(), sorted_.end(), entering.begin(), entering.end(), std::back_inserter(merged),
             Before);
  sorted_ = std::move(merged);
}

UpstreamPtr Membership::Find(const std::string& id) const {
  ++visits_;
  const auto it = index_.find(id);
  return it == index_.end() ? nullptr : it->second;
}

Upstream& Membership::At(std::size_t place) const {
  ++visits_;
  const std::size_t index = first_ + place;
  return *ring_[index < ring_.size() ? index : index - ring_.size()];
}

std::size_t Membership::PlaceOf(const Upstream& u) const {
  const std::size_t index = ring_.IndexOf(u, visits_);
  return index >= first_ ? index - first_ : index + ring_.size() - first_;
}

// A new start time is a new process: the failures and the ejection belong to the one that died.
Membership::Adopted Membership::Adopt(const UpstreamInfo& info) {
  UpstreamPtr u = Find(info.id.value);
  const bool was_serving = u && u->info.state == UpstreamState::kServing;
  const bool new_process = !u || (info.started && info.started != u->info.started);
  if (new_process) u = Replace(info.id.value);
  u->info = info;
  if (!(u->info.weight > 0)) u->info.weight = 1;
  u->told = info.state;
  if (const auto word = words_.find(info.id.value); word != words_.end()) {
    if (!word->second.out) u->put_back = word->second.at;
    if (word->second.out && info.state == UpstreamState::kServing) u->info.state = UpstreamState::kDraining;
  }
  Touch(u);
  return {u, new_process, new_process || !was_serving};
}

// One put back may have started anew while it was out, and the list tells that late: it comes back with a
// clean record, as cold as one that starts now.
std::optional<UpstreamInfo> Membership::Override(const std::string& id, bool out, TimePoint now) {
  Word& word = words_[id];
  if (word.out == out) return std::nullopt;
  word = {out, now};
  const UpstreamPtr known = Find(id);
  if (!known) return std::nullopt;
  UpstreamInfo info = known->info;
  info.state = known->told;
  if (!out) Drop(id);
  return info;
}

UpstreamPtr Membership::Replace(const std::string& id) {
  Drop(id);
  auto u = std::make_shared<Upstream>();
  u->marks.rank = Hash(id, 0);
  index_[id] = u;
  return u;
}

void Membership::Drop(const std::string& id) {
  const auto it = index_.find(id);
  if (it == index_.end()) return;
  it->second->info.state = UpstreamState::kGone;
  Touch(it->second);
  index_.erase(it);
}

void Membership::Touch(const UpstreamPtr& u) {
  ++visits_;
  u->marks.told_in = list_;
  touched_.push_back(u);
}

void Membership::Settle() {
  if (std::exchange(whole_, false)) DropUnnamed();
  const std::vector<UpstreamPtr> touched = std::exchange(touched_, {});
  std::vector<Upstream*> entering, leaving;
  for (const UpstreamPtr& u : touched) {
    const bool stays = u->info.state != UpstreamState::kGone;
    weight_.Subtract(u->marks.weight);
    u->marks.weight = u->info.state == UpstreamState::kServing ? u->info.weight : 0;
    weight_.Add(u->marks.weight);
    if (stays && !u->marks.listed) entering.push_back(u.get());
    if (stays) u->marks.listed = true;
    if (!stays) leaving.push_back(u.get());
  }
  if (entering.size() + leaving.size() > kFewChanges) {
    LeaveTogether(leaving);
    ring_.Merge(std::move(entering), visits_);
  } else {
    for (Upstream* u : leaving) Leave(*u);
    for (Upstream* u : entering) ring_.Insert(*u, visits_);
  }
  first_ = static_cast<std::size_t>(own_place_ * static_cast<double>(ring_.size()));
  CountAnew();
}

void Membership::DropUnnamed() {
  visits_ += ring_.size();
  for (std::size_t i = 0; i < ring_.size(); ++i) {
    if (ring_[i]->marks.told_in == list_) continue;
    ring_[i]->info.state = UpstreamState::kGone;
    touched_.push_back(ring_[i]->shared_from_this());
  }
}

void Membership::Leave(Upstream& u) {
  if (std::exchange(u.marks.listed, false)) ring_.Erase(u, visits_);
  if (std::exchange(u.marks.watched, false)) watched_.Erase(u, visits_);
  if (std::exchange(u.marks.met, false)) met_.Erase(u, visits_);
  Forget(u);
}

void Membership::LeaveTogether(const std::vector<Upstream*>& leaving) {
  for (Upstream* u : leaving) {
    u->marks.listed = u->marks.watched = u->marks.met = false;
    Forget(*u);
  }
  ring_.EraseIf([](const Upstream* u) { return !u->marks.listed; }, visits_);
  watched_.EraseIf([](const Upstream* u) { return !u->marks.watched; }, visits_);
  met_.EraseIf([](const Upstream* u) { return !u->marks.met; }, visits_);
}

// The id may be another process's by now.
void Membership::Forget(const Upstream& u) {
  const auto it = index_.find(u.info.id.value);
  if (it != index_.end() && it->second.get() == &u) index_.erase(it);
}

void Membership::Watch(Upstream& u) {
  if (u.info.state == UpstreamState::kGone || std::exchange(u.marks.watched, true)) return;
  watched_.Insert(u, visits_);
}

std::vector<Upstream*> Membership::Watched() const { return FromOwnPlace(watched_); }

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

void Membership::Count(Upstream& u, bool served, bool timed_out, double memory) {
  Recount();
  const bool counts = InService(u);
  if (counts) calls_ -= u.calls, failures_ -= u.failures;
  u.calls += 1 - u.calls / memory;
  u.failures += (served ? 0 : 1) - u.failures / memory;
  u.timeouts += (timed_out ? 1 : 0) - u.timeouts / memory;
  if (counts) calls_ += u.calls, failures_ += u.failures;
  if (!std::exchange(u.marks.met, true)) met_.Insert(u, visits_);
}

double Membership::PeersFailureShare(const Upstream& u) const {
  Recount();
  const double calls = calls_ - (u.ejected ? 0 : u.calls);
  const double failures = failures_ - (u.ejected ? 0 : u.failures);
  return calls < 1 ? 0 : std::clamp(failures / calls, 0.0, 0.95);
}

// In the order of the ring: rounding depends on it. One without an outcome adds nothing.
void Membership::Recount() const {
  if (!std::exchange(stale_, false)) return;
  calls_ = failures_ = 0;
  for (const Upstream* u : FromOwnPlace(met_)) {
    if (!InService(*u)) continue;
    calls_ += u->calls;
    failures_ += u->failures;
  }
}

}  // namespace lb
