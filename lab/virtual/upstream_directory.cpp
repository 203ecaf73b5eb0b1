#include "lab/virtual/upstream_directory.h"

namespace lb::lab {

void UpstreamDirectory::Add(UpstreamModel& model) {
  const UpstreamInstance& instance = model.instance();
  indices_.emplace(instance.id, entries_.size());
  entries_.push_back({&model, {instance.region, instance.zone}});
}

std::optional<std::size_t> UpstreamDirectory::Find(const std::string& id) const {
  const auto it = indices_.find(id);
  return it == indices_.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace lb::lab
