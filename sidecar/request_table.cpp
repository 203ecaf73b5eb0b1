#include "sidecar/request_table.h"

namespace lb::sidecar {

bool RequestTable::ReserveWireId(const std::string& wire_id, TimePoint now) {
  ReleaseOldWireIds(now);
  return reserved_wire_ids_.insert(wire_id).second;
}

void RequestTable::Add(RequestId id, InFlightRequest request) { requests_.emplace(id, std::move(request)); }

InFlightRequest* RequestTable::Find(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

const InFlightRequest* RequestTable::Find(RequestId id) const {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

void RequestTable::RemoveIfEnded(RequestId id, TimePoint now) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.AwaitsResponse() || it->second.unfinished_attempts > 0) return;
  ended_wire_ids_.emplace_back(now, std::move(it->second.wire_id));
  requests_.erase(it);
}

void RequestTable::ReleaseOldWireIds(TimePoint now) {
  while (!ended_wire_ids_.empty() &&
         (ended_wire_ids_.size() > kMaxEndedIds || now - ended_wire_ids_.front().first > kEndedIdRetention)) {
    reserved_wire_ids_.erase(ended_wire_ids_.front().second);
    ended_wire_ids_.pop_front();
  }
}

}  // namespace lb::sidecar
