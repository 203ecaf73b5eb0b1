// The upstreams that are listed, in the order of the ring, with the sums over them. A change costs what it
// changes: nothing here walks the whole list but where a whole list is told.
//
// A list is taken in by BeginWholeList(), if it is whole, then Adopt() for each entry, then Settle().
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancer/upstream.h"

namespace lb {

// A sum of weights that does not depend on the order of the additions, and so may be kept from change to
// change: it is exact, and rounded once where it is read. In units of 2^-64: a weight from 2^-11 up to 2^48
// is added as it is, a lesser one to the nearest unit, a greater one as 2^48.
class WeightSum {
 public:
  void Add(double weight) { units_ += Units(weight); }
  void Subtract(double weight) { units_ -= Units(weight); }
  double value() const;

 private:
  __extension__ using Wide = __int128;
  static Wide Units(double weight);
  Wide units_ = 0;
};

// Upstreams sorted by their place on the ring of all sidecars, by id where two share one.
class Ring {
 public:
  std::size_t size() const { return sorted_.size(); }
  Upstream* operator[](std::size_t index) const { return sorted_[index]; }
  // How many come before it; adds the upstreams compared to `visits`.
  std::size_t IndexOf(const Upstream& u, std::size_t& visits) const;
  void Insert(Upstream& u, std::size_t& visits);
  void Erase(const Upstream& u, std::size_t& visits);
  void Merge(std::vector<Upstream*> entering, std::size_t& visits);
  template <typename Condition>
  void EraseIf(Condition condition, std::size_t& visits) {
    visits += sorted_.size();
    std::erase_if(sorted_, condition);
  }

 private:
  std::vector<Upstream*> sorted_;
};

class Membership {
 public:
  // `own_place`: of this sidecar on the ring, from 0 up to 1.
  void StartAt(double own_place) { own_place_ = own_place; }

  std::size_t size() const { return ring_.size(); }
  // The one that is known by this id; null where there is none.
  UpstreamPtr Find(const std::string& id) const;
  // Deterministic subsetting (aperture): all sidecars place the upstreams on one ring, in the same order, and
  // the subset of each is the stretch of it that begins at its own place. The places are spread evenly by the
  // sidecars' numbers, so that each upstream is in about as many subsets. A change of the list moves a subset
  // by one upstream at most. `place` counts from this sidecar's own, and is less than size().
  Upstream& At(std::size_t place) const;
  // `u` is listed.
  std::size_t PlaceOf(const Upstream& u) const;

  // The whole list is told: what is not adopted from here to the next Settle() is gone.
  void BeginWholeList() { ++list_, whole_ = true; }
  // One entry of a list, or of a change.
  struct Adopted {
    UpstreamPtr upstream;
    bool new_process = false;  // a clean record
    bool enters = false;       // it has not been serving
  };
  Adopted Adopt(const UpstreamInfo& info);
  // The operators take an upstream out, or put it back, whatever the list says: the entry to adopt for it
  // now. Nothing where that changes nothing or it is not listed.
  std::optional<UpstreamInfo> Override(const std::string& id, bool out, TimePoint now);
  // Takes in what was adopted. Those gone leave the ring and live on while calls refer to them.
  void Settle();

  // Of those that serve.
  const WeightSum& listed_weight() const { return weight_; }

  // The few that may be due: in use, failing, ejected or cold. Whoever makes one such calls Watch(), and
  // StopWatching() drops those that are no more.
  void Watch(Upstream& u);
  std::vector<Upstream*> Watched() const;  // along the ring from this sidecar's place
  template <typename Condition>
  void StopWatching(Condition condition) {
    const auto dropped = [&condition](Upstream* u) {
      u->marks.watched = !condition(*u);
      return !u->marks.watched;
    };
    watched_.EraseIf(dropped, visits_);
  }

  // Sums over the upstreams in service and not ejected. They are kept from outcome to outcome, and counted
  // anew, over those that ever had an outcome, where an upstream enters or leaves service, and now and then
  // against rounding: at the next use after CountAnew().
  void CountAnew() { stale_ = true; }
  // An outcome of a call to `u`, which is listed; of its recent calls about `memory` are remembered.
  void Count(Upstream& u, bool served, bool timed_out, double memory);
  // The share of failures among the recent calls to all others; 0 to 0.95.
  double PeersFailureShare(const Upstream& u) const;

  // How many upstreams were looked at so far, for tests of what a change costs.
  std::size_t visits() const { return visits_; }

 private:
  // What the operators last said of an upstream, and when.
  struct Word {
    bool out = false;
    TimePoint at;
  };
  static bool InService(const Upstream& u) { return !u.ejected && u.info.state == UpstreamState::kServing; }
  UpstreamPtr Replace(const std::string& id);  // by a new process
  void Drop(const std::string& id);
  void Touch(const UpstreamPtr& u);
  void DropUnnamed();  // of a whole list
  void Leave(Upstream& u);
  void LeaveTogether(const std::vector<Upstream*>& leaving);
  void Forget(const Upstream& u);
  std::vector<Upstream*> FromOwnPlace(const Ring& some) const;
  void Recount() const;

  std::unordered_map<std::string, UpstreamPtr> index_;  // owns those that are listed; never walked
  std::unordered_map<std::string, Word> words_;         // looked up, never walked
  Ring ring_;                                           // all that are listed
  Ring watched_, met_;                                  // some of them
  double own_place_ = 0;
  std::size_t first_ = 0;   // the place of the sidecar as an index into the ring
  std::uint64_t list_ = 0;  // the number of the last whole list
  bool whole_ = false;      // one is being taken in
  std::vector<UpstreamPtr> touched_;
  WeightSum weight_;
  mutable bool stale_ = false;
  mutable double calls_ = 0, failures_ = 0;
  mutable std::size_t visits_ = 0;
};

}  // namespace lb
