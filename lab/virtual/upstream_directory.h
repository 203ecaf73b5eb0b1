// Index of the upstream models by the ids in endpoint lists.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/model/network_model.h"
#include "lab/model/upstream_model.h"

namespace lb::lab {

// Shared by all hollow sidecars of a run, and must outlive them.
class UpstreamDirectory {
 public:
  // `model` must outlive the directory, and its id must not have been added before.
  void Add(UpstreamModel& model);
  // Returns the index, counted from 0 in the order of Add(); std::nullopt for an unknown id.
  std::optional<std::size_t> Find(const std::string& id) const;
  UpstreamModel& model(std::size_t index) const { return *entries_[index].model; }
  const Location& location(std::size_t index) const { return entries_[index].location; }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    UpstreamModel* model;
    Location location;
  };
  std::vector<Entry> entries_;
  std::unordered_map<std::string, std::size_t> indices_;
};

}  // namespace lb::lab
