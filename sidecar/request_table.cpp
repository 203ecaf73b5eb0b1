#include "sidecar/request_table.h"

namespace lb::sidecar {

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
  if (it->second.attempts.empty()) {
    wire_ids_.Release(it->second.wire_id, now);
  } else {
    wire_ids_.Renew(it->second.wire_id, now);
  }
  requests_.erase(it);
}

void RequestTable::RenewWireIds(TimePoint now) {
  for (const auto& [id, request] : requests_) wire_ids_.Renew(request.wire_id, now);
}

}  // namespace lb::sidecar
