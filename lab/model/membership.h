// What discovery holds: the upstreams in PROTOCOL's form, each version of them, and what a caller that holds
// one version has missed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancer/balancer.h"
#include "lab/spec/deployment.h"
#include "nlohmann/json.hpp"

namespace lb::lab {

struct MembershipEntry {
  std::string id;
  std::size_t service = 0;
  std::string zone;
  std::string kind;
  std::string endpoint;  // `127.0.0.1:port`; on the virtual clock one where no process listens
  lb::UpstreamState state = lb::UpstreamState::kServing;
  double weight = 1;
  std::int64_t boot_ms = 0;  // Unix milliseconds; 0 for long ago
};

// All entries and their history. Revisions count from 1 and grow by one with each change. Not thread-safe.
class MembershipRegistry {
 public:
  // So many changes are remembered; a caller that holds an older revision is given the whole list.
  static constexpr std::size_t kHistory = 4096;

  struct View {
    std::uint64_t revision = 0;
    bool whole = true;  // the whole list, or only what changed
    std::vector<MembershipEntry> entries;
  };

  // Throws std::invalid_argument where two entries have one id.
  explicit MembershipRegistry(std::vector<MembershipEntry> entries);
  std::uint64_t revision() const { return revision_; }
  // A new state, weight or start of one entry. Returns the new revision. Throws std::out_of_range for an
  // unknown id.
  std::uint64_t Change(const MembershipEntry& entry);
  const MembershipEntry& Find(const std::string& id) const;  // throws std::out_of_range
  // All that is newer than `held`; the whole list where `held` is absent or too old to know. `service`
  // restricts it; entries that are gone appear among changes alone.
  View Since(std::optional<std::uint64_t> held, std::optional<std::size_t> service) const;
  // The same as it was at revision `as_of`, for a caller that has not received anything newer. Where that
  // is too old to know, as it was at the oldest known revision; a `held` beyond it gives the whole list.
  View SinceAsOf(std::optional<std::uint64_t> held, std::uint64_t as_of,
                 std::optional<std::size_t> service) const;

 private:
  struct Version {
    std::uint64_t revision = 0;
    std::size_t index = 0;  // into entries_
    MembershipEntry before;
    MembershipEntry after;
  };

  // The first version that is newer than `revision`.
  std::deque<Version>::const_iterator NewerThan(std::uint64_t revision) const;
  std::uint64_t oldest() const { return revision_ - history_.size(); }
  std::vector<MembershipEntry> WholeAsOf(std::uint64_t revision) const;
  std::vector<MembershipEntry> ChangedBetween(std::uint64_t held, std::uint64_t as_of) const;

  std::vector<MembershipEntry> entries_;
  std::unordered_map<std::string, std::size_t> by_id_;
  std::deque<Version> history_;  // one for each of the last revisions, without gaps
  std::uint64_t revision_ = 1;
};

// A view in the form of PROTOCOL's list (`rev`, `all`, `targets`).
nlohmann::json ToJson(const MembershipRegistry::View& view);

}  // namespace lb::lab
