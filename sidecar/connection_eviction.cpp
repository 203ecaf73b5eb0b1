#include "sidecar/connection_eviction.h"

#include <chrono>
#include <utility>

namespace lb::sidecar {
namespace {

using State = ClientConnection::State;

// Usual clients connect when they have a request, and send it at once.
constexpr Duration kSilentAfter = std::chrono::seconds(1);
// From a request's first byte, or the start of the connection that it is the first of.
constexpr Duration kSlowRequestAfter = std::chrono::seconds(1);

// The candidate that goes first; null where there is none. Those in `excluded` are none.
std::shared_ptr<ClientConnection> FindFirstToGo(const ClientConnections& connections,
                                                const std::set<ClientConnection*>& excluded, TimePoint now) {
  std::shared_ptr<ClientConnection> first;
  std::pair<EvictionPriority, TimePoint> first_rank;
  for (const auto& connection : connections) {
    const auto priority = PriorityOf(*connection, now);
    if (!priority || excluded.contains(connection.get())) continue;
    const std::pair rank(*priority, connection->since());
    if (first && rank >= first_rank) continue;
    first = connection;
    first_rank = rank;
  }
  return first;
}

}  // namespace

std::optional<EvictionPriority> PriorityOf(ClientConnection& connection, TimePoint now) {
  const Duration age = now - connection.since();
  if (connection.state() == State::kLingering && !connection.HasUnsentBytes()) {
    return EvictionPriority::kLingering;
  }
  if (connection.state() != State::kReadingRequest) return std::nullopt;
  if (connection.HasRequestBegun()) {
    return age > kSlowRequestAfter ? EvictionPriority::kSlowRequest : EvictionPriority::kReceivingRequest;
  }
  if (connection.HasAnyRequestBegun()) return EvictionPriority::kIdle;
  return age > kSilentAfter ? EvictionPriority::kSilent : EvictionPriority::kNew;
}

bool IsSafeToClose(ClientConnection& connection) {
  return connection.IsIdle() && !connection.HasUnreadBytes();
}

bool EvictConnection(const ClientConnections& connections, TimePoint now) {
  // Those of which more has come than was read: they look slow or idle only because this process is. There
  // are few, so each is asked for only when it would be the next to go.
  std::set<ClientConnection*> unread;
  while (const auto candidate = FindFirstToGo(connections, unread, now)) {
    if (candidate->state() == State::kReadingRequest && candidate->HasUnreadBytes()) {
      unread.insert(candidate.get());
      continue;
    }
    candidate->Evict();
    return true;
  }
  return false;
}

}  // namespace lb::sidecar
