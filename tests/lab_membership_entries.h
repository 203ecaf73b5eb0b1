// Membership entries for tests of the emulator's discovery.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "lab/model/membership.h"

namespace lb::lab {

// Returns `count` entries u0, u1, ... assigned to `services` services in rotation.
inline std::vector<MembershipEntry> SomeEntries(std::size_t count, std::size_t services = 1) {
  std::vector<MembershipEntry> entries;
  for (std::size_t index = 0; index < count; ++index) {
    MembershipEntry entry;
    entry.id = "u" + std::to_string(index);
    entry.service = index % services;
    entry.endpoint = "127.0.0.1:9";
    entry.zone = "r1-z1";
    entry.kind = "small";
    entries.push_back(entry);
  }
  return entries;
}

// Returns the entry with its weight replaced.
inline MembershipEntry WithWeight(MembershipEntry entry, double weight) {
  entry.weight = weight;
  return entry;
}

}  // namespace lb::lab
