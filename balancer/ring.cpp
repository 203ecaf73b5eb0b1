#include "balancer/ring.h"

#include <bit>
#include <iterator>
#include <tuple>
#include <utility>

namespace lb {
namespace {

bool ComesBefore(const Upstream* left, const Upstream* right) {
  return std::tie(left->membership.rank, left->info.id) < std::tie(right->membership.rank, right->info.id);
}

std::size_t SearchSteps(std::size_t size) { return static_cast<std::size_t>(std::bit_width(size)); }

}  // namespace

std::size_t Ring::IndexOf(const Upstream& upstream, std::size_t& visits) const {
  visits += SearchSteps(sorted_.size());
  return static_cast<std::size_t>(std::lower_bound(sorted_.begin(), sorted_.end(), &upstream, ComesBefore) -
                                  sorted_.begin());
}

void Ring::Insert(Upstream& upstream, std::size_t& visits) {
  sorted_.insert(sorted_.begin() + static_cast<std::ptrdiff_t>(IndexOf(upstream, visits)), &upstream);
}

// Searches from the first entry of equal rank and id, because while a change is applied the ring can contain
// a process and its successor, whose rank and id are equal.
void Ring::Erase(const Upstream& upstream, std::size_t& visits) {
  const auto from = sorted_.begin() + static_cast<std::ptrdiff_t>(IndexOf(upstream, visits));
  const auto at = std::find(from, sorted_.end(), &upstream);
  if (at != sorted_.end()) sorted_.erase(at);
}

void Ring::Merge(std::vector<Upstream*> entering, std::size_t& visits) {
  visits += sorted_.size() + entering.size();
  std::sort(entering.begin(), entering.end(), ComesBefore);
  std::vector<Upstream*> merged;
  merged.reserve(sorted_.size() + entering.size());
  std::merge(sorted_.begin(), sorted_.end(), entering.begin(), entering.end(), std::back_inserter(merged),
             ComesBefore);
  sorted_ = std::move(merged);
}

}  // namespace lb
