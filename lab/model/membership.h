// The membership data served by discovery: the upstreams' entries, their recent history by revision, and the
// changes between a caller's revision and a newer one.
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
  std::string endpoint;  // `127.0.0.1:port`; on the virtual clock no process listens there
  lb::UpstreamState state = lb::UpstreamState::kServing;
  double weight = 1;
  std::int64_t boot_ms = 0;  // start time of the process in Unix milliseconds; 0 if it started long ago
};

// All entries and their history. The revision starts at 1 and grows by one with each change. Not thread-safe.
class MembershipRegistry {
 public:
  // Number of changes kept. A caller with an older revision receives the whole list.
  static constexpr std::size_t kHistory = 4096;

  struct View {
    std::uint64_t revision = 0;
    bool full_list = true;  // whether `entries` is the whole list; otherwise only changed entries
    std::vector<MembershipEntry> entries;
  };

  // Throws std::invalid_argument if two entries have the same id.
  explicit MembershipRegistry(std::vector<MembershipEntry> entries);
  std::uint64_t revision() const { return revision_; }
  // Replaces the entry with the same id, for a new state, weight or start time. Returns the new revision.
  // Throws std::out_of_range for an unknown id.
  std::uint64_t Change(const MembershipEntry& entry);
  const MembershipEntry& Find(const std::string& id) const;  // throws std::out_of_range
  // The entries changed after `known_revision`, or the whole list if `known_revision` is absent or older than
  // the history. If `service` is given, only entries of that service. Entries in the state kGone appear among
  // changes, but not in the whole list.
  View Since(std::optional<std::uint64_t> known_revision, std::optional<std::size_t> service) const;
  // The same for the entries as of revision `as_of`, for a caller that has not received anything newer. If
  // `as_of` is older than the history, the oldest revision of the history is used instead. A `known_revision`
  // newer than the revision used gives the whole list.
  View SinceAsOf(std::optional<std::uint64_t> known_revision, std::uint64_t as_of,
                 std::optional<std::size_t> service) const;

 private:
  struct Version {
    std::uint64_t revision = 0;
    std::size_t index = 0;  // into entries_
    MembershipEntry before;
    MembershipEntry after;
  };

  // The first version that is newer than `revision`.
  std::deque<Version>::const_iterator FirstNewerThan(std::uint64_t revision) const;
  std::uint64_t oldest() const { return revision_ - history_.size(); }
  std::vector<MembershipEntry> WholeAsOf(std::uint64_t revision) const;
  std::vector<MembershipEntry> ChangedBetween(std::uint64_t known_revision, std::uint64_t as_of) const;

  std::vector<MembershipEntry> entries_;
  std::unordered_map<std::string, std::size_t> by_id_;
  std::deque<Version> history_;  // the latest changes, one for each revision, without gaps
  std::uint64_t revision_ = 1;
};

// A view as JSON, in the form of the discovery protocol's endpoint list (`rev`, `all`, `targets`).
nlohmann::json ToJson(const MembershipRegistry::View& view);

}  // namespace lb::lab
