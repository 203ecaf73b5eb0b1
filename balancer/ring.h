// The upstreams sorted by their rank on the ring that all sidecars share, and by id if ranks are equal.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "balancer/upstream.h"

namespace lb {

// Does not own the upstreams: they have to stay alive while they are on the ring. Each operation adds the
// number of upstreams that it visited to `visits`.
class Ring {
 public:
  std::size_t size() const { return sorted_.size(); }
  Upstream* operator[](std::size_t index) const { return sorted_[index]; }

  // The number of entries before `upstream`, which need not be on the ring.
  std::size_t IndexOf(const Upstream& upstream, std::size_t& visits) const;
  void Insert(Upstream& upstream, std::size_t& visits);
  void Erase(const Upstream& upstream, std::size_t& visits);
  // Inserts several upstreams in one pass.
  void Merge(std::vector<Upstream*> entering, std::size_t& visits);
  template <typename Condition>
  void EraseIf(Condition condition, std::size_t& visits) {
    visits += sorted_.size();
    std::erase_if(sorted_, condition);
  }

 private:
  std::vector<Upstream*> sorted_;
};

}  // namespace lb
