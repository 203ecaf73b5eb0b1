// Finds the models of upstream machines by the ids that endpoint lists name.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/model/network_model.h"
#include "lab/model/upstream_model.h"

namespace lb::lab {

// The upstream machines by id, shared by all hollow sidecars. It outlives them.
class UpstreamDirectory {
 public:
  // `model` has to outlive the directory. Ids are not used twice.
  void Add(UpstreamModel& model);
  // Its place, from 0 on in the order of adding; nothing for an unknown id.
  std::optional<std::size_t> Find(const std::string& id) const;
  UpstreamModel& model(std::size_t place) const { return *entries_[place].model; }
  const Location& location(std::size_t place) const { return entries_[place].location; }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    UpstreamModel* model;
    Location location;
  };
  std::vector<Entry> entries_;
  std::unordered_map<std::string, std::size_t> places_;
};

}  // namespace lb::lab
