#include "balancer/request_table.h"

namespace lb {

Request* RequestTable::Insert(RequestId id) {
  const auto [it, is_new] = requests_.try_emplace(id);
  if (!is_new) return nullptr;
  it->second.id = id;
  return &it->second;
}

Request* RequestTable::Find(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

void RequestTable::EraseIfDone(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.ended || it->second.HasPendingAttempt()) return;
  for (const std::uint64_t token : it->second.timers) timers_.erase(token);
  requests_.erase(it);
}

std::uint64_t RequestTable::AddTimer(RequestId id) {
  const std::uint64_t token = ++last_token_;
  timers_.emplace(token, id);
  requests_.at(id).timers.push_back(token);
  return token;
}

std::optional<RequestId> RequestTable::TakeTimer(std::uint64_t token) {
  const auto it = timers_.find(token);
  if (it == timers_.end()) return std::nullopt;
  const RequestId id = it->second;
  timers_.erase(it);
  return id;
}

}  // namespace lb
