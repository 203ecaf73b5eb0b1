// What discovery holds: the upstreams in PROTOCOL's form, each version of them, and what a caller that holds
// one version has missed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "deployment.h"
#include "kestrellb/balancer.h"
#include "nlohmann/json.hpp"

namespace aspendyke::lab {

struct MembershipEntry {
  std::string id;
  std::size_t service = 0;
  std::string zone;
  std::string kind;
  std::string endpoint;  // `127.0.0.1:port`; on the virtual clock one that nobody listens at
  kestrellb::UpstreamState state = kestrellb::UpstreamState::kServing;
  double weight = 1;
  std::int64_t boot_ms = 0;  // Unix milliseconds; 0 for long ago
};

// All entries and their history. Revisions count from 1 and grow by one with each change.
class MembershipRegistry {
 public:
  struct View {
    std::uint64_t revision = 0;
    bool whole = true;  // the whole list, or only what changed
    std::vector<MembershipEntry> entries;
  };

  explicit MembershipRegistry(std::vector<MembershipEntry> entries);
  std::uint64_t revision() const;
  // A new state, weight or start of one entry. Returns the new revision.
  std::uint64_t Change(const MembershipEntry& entry);
  const MembershipEntry& Find(const std::string& id) const;  // throws std::out_of_range
  // All that is newer than `held`; the whole list where `held` is absent or too old to know. `service`
  // restricts it; entries that are gone appear among changes alone.
  View Since(std::optional<std::uint64_t> held, std::optional<std::size_t> service) const;

 private:
  struct Version {
    std::uint64_t revision = 0;
    MembershipEntry entry;
  };
  std::vector<MembershipEntry> entries_;
  std::deque<Version> history_;
  std::uint64_t revision_ = 1;
};

// A view in the form of PROTOCOL's list (`rev`, `all`, `targets`).
nlohmann::json ToJson(const MembershipRegistry::View& view);

}  // namespace aspendyke::lab
