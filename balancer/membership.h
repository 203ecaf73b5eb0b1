// The endpoint list: the listed upstreams, indexed by id and ordered on a ring, and the sum of their weights.
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

// A change costs time in proportion to the changed entries: only a full list visits all upstreams. An update
// is applied by BeginFullList() if it is a full list, ApplyEntry() for each entry, and CommitUpdate().
class Membership {
 public:
  enum class Override { kDisable, kEnable };

  // `own_place`: the position of this sidecar on the ring, in [0, 1). Implements deterministic subsetting
  // (aperture): all sidecars order the upstreams alike on one ring, and the subset of a sidecar is the
  // segment that begins at its own place. The places are spread evenly by the sidecars' numbers, so that each
  // upstream is in about the same number of subsets. A change of the list moves a subset by one upstream at
  // most.
  explicit Membership(double own_place) : own_place_(own_place) {}

  std::size_t size() const { return ring_.size(); }
  // Returns null if no upstream has this id.
  UpstreamPtr Find(const std::string& id) const;
  // Returns the upstream at `place`, which counts from this sidecar's own place and is less than size().
  Upstream& At(std::size_t place) const {
    ++visits_;
    const std::size_t index = first_ + place;
    return *ring_[index < ring_.size() ? index : index - ring_.size()];
  }
  // The inverse of At(). `upstream` must be listed.
  std::size_t PlaceOf(const Upstream& upstream) const;

  // Begins a full list: upstreams that are not passed to ApplyEntry() before the next CommitUpdate() are
  // gone.
  void BeginFullList();
  struct AppliedEntry {
    UpstreamPtr upstream;
    bool new_process = false;  // a new process, without history
    bool enters = false;       // the upstream was not serving before
  };
  // Applies one entry of a full list or of a change.
  AppliedEntry ApplyEntry(const UpstreamInfo& info);
  // Applies an operator's override, which takes precedence over the endpoint list. Returns the entry to pass
  // to ApplyEntry() now; nothing if the override changes nothing or the id is not listed.
  std::optional<UpstreamInfo> ApplyOverride(const std::string& id, Override change, TimePoint now);
  // Ends a full list or a change. Upstreams that are gone leave the ring; they stay alive while requests
  // refer to them.
  void CommitUpdate();

  // The start time of the process, as far as it is known. An upstream that operators enabled may have
  // restarted while it was disabled, so the time of enabling counts as its start.
  static std::optional<TimePoint> StartTime(const Upstream& upstream) {
    return std::max(upstream.info.started, upstream.membership.enabled_at);
  }
  static bool IsEnabledByOperators(const Upstream& upstream) {
    return upstream.membership.enabled_at.has_value();
  }

  // The sum of the weights of all upstreams that serve according to the list.
  const WeightSum& listed_weight() const { return weight_; }

  // Housekeeping visits only the monitored upstreams: those in use, failing, ejected or warming up. A
  // component that puts an upstream into one of these states calls Monitor(). StopMonitoring() drops those
  // for which `condition` holds.
  void Monitor(Upstream& upstream);
  std::vector<Upstream*> Monitored() const;  // in ring order from this sidecar's place
  template <typename Condition>
  void StopMonitoring(Condition condition) {
    const auto dropped = [&condition](Upstream* upstream) {
      upstream->membership.monitored = !condition(*upstream);
      return !upstream->membership.monitored;
    };
    monitored_.EraseIf(dropped, visits_);
  }

  // Upstreams to which a call has ended, in ring order from this sidecar's place.
  void MarkObserved(Upstream& upstream);
  std::vector<Upstream*> Observed() const;

  // The number of upstream entries visited so far, for tests of the cost of a change.
  std::size_t visits() const { return visits_; }

 private:
  struct OverrideInForce {
    bool disabled = false;
    TimePoint at;
  };
  // Adds a new process in place of the earlier one with this id.
  UpstreamPtr Replace(const std::string& id);
  void Drop(const std::string& id);
  void MarkChanged(const UpstreamPtr& upstream);
  void DropUnlisted();  // upstreams that a full list omitted
  void RemoveFromRings(Upstream& upstream);
  void RemoveAllFromRings(const std::vector<Upstream*>& leaving);
  void EraseFromIndex(const Upstream& upstream);
  std::vector<Upstream*> InRingOrder(const Ring& ring) const;

  std::unordered_map<std::string, UpstreamPtr> index_;          // owns the listed upstreams; never iterated
  std::unordered_map<std::string, OverrideInForce> overrides_;  // by id; never iterated
  Ring ring_;                                                   // all listed upstreams
  Ring monitored_;
  Ring observed_;
  double own_place_;
  std::size_t first_ = 0;          // ring index of this sidecar's place
  std::uint64_t list_number_ = 0;  // number of the last full list
  bool full_list_open_ = false;    // a full list is being applied
  std::vector<UpstreamPtr> changed_;
  WeightSum weight_;
  mutable std::size_t visits_ = 0;
};

}  // namespace lb
