// The endpoint list: the upstreams that are listed, by id and on the ring, and the sum of their weights.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancer/ring.h"
#include "balancer/upstream.h"
#include "balancer/weight_sum.h"

namespace lb {

// A change of the list costs what it changes: nothing here walks the whole list but where a whole list is
// given. A list is taken in by BeginWholeList(), if it is whole, then Adopt() for each entry, then Settle().
class Membership {
 public:
  enum class Override { kDisable, kEnable };

  // `own_place`: of this sidecar on the ring, from 0 up to 1. Deterministic subsetting (aperture): all
  // sidecars order the upstreams alike on one ring, and the subset of each is the stretch that begins at its
  // own place. The places are spread evenly by the sidecars' numbers, so that each upstream is in about as
  // many subsets. A change of the list moves a subset by one upstream at most.
  explicit Membership(double own_place) : own_place_(own_place) {}

  std::size_t size() const { return ring_.size(); }
  // Null where no upstream has this id.
  UpstreamPtr Find(const std::string& id) const;
  // `place` counts from this sidecar's own, and is less than size().
  Upstream& At(std::size_t place) const {
    ++visits_;
    const std::size_t index = first_ + place;
    return *ring_[index < ring_.size() ? index : index - ring_.size()];
  }
  // The inverse of At(). `upstream` is listed.
  std::size_t PlaceOf(const Upstream& upstream) const;

  // A whole list follows: what is not adopted from here to the next Settle() is gone.
  void BeginWholeList();
  struct Adopted {
    UpstreamPtr upstream;
    bool new_process = false;  // it has no history
    bool enters = false;       // it was not serving before
  };
  // Takes in one entry of a list or of a change.
  Adopted Adopt(const UpstreamInfo& info);
  // The operators' word holds whatever the list says. Returns the entry to adopt now; nothing where the
  // override changes nothing or the id is not listed.
  std::optional<UpstreamInfo> ApplyOverride(const std::string& id, Override change, TimePoint now);
  // Ends a list or a change. Those gone leave the ring and live on while requests refer to them.
  void Settle();

  // When the process started, as far as that is known: an upstream that operators enabled may have restarted
  // while it was disabled.
  static std::optional<TimePoint> StartTime(const Upstream& upstream) {
    return std::max(upstream.info.started, upstream.membership.enabled_at);
  }
  static bool IsEnabledByOperators(const Upstream& upstream) {
    return upstream.membership.enabled_at.has_value();
  }

  // Of all that serve by the list.
  const WeightSum& listed_weight() const { return weight_; }

  // The few that housekeeping has to look at: in use, failing, ejected or warming up. Whoever makes an
  // upstream such a one calls Monitor(); StopMonitoring() drops those that are such no more.
  void Monitor(Upstream& upstream);
  std::vector<Upstream*> Monitored() const;  // along the ring from this sidecar's place
  template <typename Condition>
  void StopMonitoring(Condition condition) {
    const auto dropped = [&condition](Upstream* upstream) {
      upstream->membership.monitored = !condition(*upstream);
      return !upstream->membership.monitored;
    };
    monitored_.EraseIf(dropped, visits_);
  }

  // Those to which a call has ended, likewise along the ring.
  void MarkObserved(Upstream& upstream);
  std::vector<Upstream*> Observed() const;

  // How many upstreams were looked at so far, for tests of what a change costs.
  std::size_t visits() const { return visits_; }

 private:
  struct OverrideInForce {
    bool disabled = false;
    TimePoint at;
  };
  UpstreamPtr Replace(const std::string& id);  // by a new process
  void Drop(const std::string& id);
  void Touch(const UpstreamPtr& upstream);
  void DropUnlisted();  // what a whole list left out
  void Leave(Upstream& upstream);
  void LeaveTogether(const std::vector<Upstream*>& leaving);
  void Forget(const Upstream& upstream);
  std::vector<Upstream*> FromOwnPlace(const Ring& some) const;

  std::unordered_map<std::string, UpstreamPtr> index_;          // owns those listed; never walked
  std::unordered_map<std::string, OverrideInForce> overrides_;  // never walked
  Ring ring_;                                                   // all that are listed
  Ring monitored_;
  Ring observed_;
  double own_place_;
  std::size_t first_ = 0;          // the index on the ring of this sidecar's place
  std::uint64_t list_number_ = 0;  // of the last whole list
  bool whole_list_open_ = false;   // a whole list is being taken in
  std::vector<UpstreamPtr> touched_;
  WeightSum weight_;
  mutable std::size_t visits_ = 0;
};

}  // namespace lb
