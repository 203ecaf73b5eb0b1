#include "lab/model/membership.h"

#include <algorithm>
#include <map>
#include <stdexcept>
#include <utility>

namespace lb::lab {
namespace {

using lb::UpstreamState;
using nlohmann::json;

const char* StateWord(UpstreamState state) {
  switch (state) {
    case UpstreamState::kServing:
      return "active";
    case UpstreamState::kDraining:
      return "leaving";
    case UpstreamState::kGone:
      return "left";
  }
  throw std::invalid_argument("unknown upstream state");
}

json ToJson(const MembershipEntry& entry) {
  return {{"uid", entry.id},
          {"endpoint", entry.endpoint},
          {"az", entry.zone},
          {"model", entry.kind},
          {"pod_group", 0},
          {"state", StateWord(entry.state)},
          {"capacity_hint", entry.weight},
          {"boot_ms", entry.boot_ms}};
}

}  // namespace

MembershipRegistry::MembershipRegistry(std::vector<MembershipEntry> entries) : entries_(std::move(entries)) {
  for (std::size_t index = 0; index < entries_.size(); ++index) {
    if (!by_id_.emplace(entries_[index].id, index).second) {
      throw std::invalid_argument("two entries for " + entries_[index].id);
    }
  }
}

std::uint64_t MembershipRegistry::Change(const MembershipEntry& entry) {
  const std::size_t index = by_id_.at(entry.id);
  ++revision_;
  history_.push_back({revision_, index, entries_[index], entry});
  entries_[index] = entry;
  if (history_.size() > kHistory) history_.pop_front();
  return revision_;
}

const MembershipEntry& MembershipRegistry::Find(const std::string& id) const {
  return entries_[by_id_.at(id)];
}

MembershipRegistry::View MembershipRegistry::Since(std::optional<std::uint64_t> known_revision,
                                                   std::optional<std::size_t> service) const {
  return SinceAsOf(known_revision, revision_, service);
}

MembershipRegistry::View MembershipRegistry::SinceAsOf(std::optional<std::uint64_t> known_revision,
                                                       std::uint64_t as_of,
                                                       std::optional<std::size_t> service) const {
  View view;
  view.revision = std::clamp(as_of, oldest(), revision_);
  view.full_list = !known_revision || *known_revision < oldest() || *known_revision > view.revision;
  view.entries = view.full_list ? WholeAsOf(view.revision) : ChangedBetween(*known_revision, view.revision);
  std::erase_if(view.entries, [&](const MembershipEntry& entry) {
    const bool other_service = service && entry.service != *service;
    return other_service || (view.full_list && entry.state == UpstreamState::kGone);
  });
  return view;
}

std::deque<MembershipRegistry::Version>::const_iterator MembershipRegistry::FirstNewerThan(
    std::uint64_t revision) const {
  return history_.begin() + static_cast<std::ptrdiff_t>(revision - oldest());
}

std::vector<MembershipEntry> MembershipRegistry::WholeAsOf(std::uint64_t revision) const {
  std::vector<MembershipEntry> entries = entries_;
  const auto first_undone = FirstNewerThan(revision);
  for (auto version = history_.end(); version != first_undone;) {
    --version;
    entries[version->index] = version->before;
  }
  return entries;
}

std::vector<MembershipEntry> MembershipRegistry::ChangedBetween(std::uint64_t known_revision,
                                                                std::uint64_t as_of) const {
  std::map<std::size_t, const MembershipEntry*> latest;
  const auto end = FirstNewerThan(as_of);
  for (auto version = FirstNewerThan(known_revision); version != end; ++version)
    latest[version->index] = &version->after;
  std::vector<MembershipEntry> entries;
  entries.reserve(latest.size());
  for (const auto& [index, entry] : latest) entries.push_back(*entry);
  return entries;
}

json ToJson(const MembershipRegistry::View& view) {
  json targets = json::array();
  for (const MembershipEntry& entry : view.entries) targets.push_back(ToJson(entry));
  return {{"rev", view.revision}, {"all", view.full_list}, {"targets", std::move(targets)}};
}

}  // namespace lb::lab
