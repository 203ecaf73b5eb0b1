#include "sidecar/connection_eviction.h"

#include <chrono>
#include <utility>

namespace lb::sidecar {
namespace {

using State = ClientConnection::State;

// Usual clients connect when they have a request, and send it at once.
constexpr Duration kSilentAfter = std::chrono::seconds(1);
// Measured from the first byte of a request; for the first request of a connection, from the start of the
// connection.
constexpr Duration kSlowRequestAfter = std::chrono::seconds(1);

// Returns the connection to close first, of those not in `excluded`; null if there is none.
std::shared_ptr<ClientConnection> FindLowestPriority(const ClientConnections& connections,
                                                     const std::set<ClientConnection*>& excluded,
                                                     TimePoint now) {
  std::shared_ptr<ClientConnection> lowest;
  std::pair<EvictionPriority, TimePoint> lowest_rank;
  for (const auto& connection : connections) {
    const auto priority = PriorityOf(*connection, now);
    if (!priority || excluded.contains(connection.get())) continue;
    const std::pair rank(*priority, connection->state_since());
    if (lowest && rank >= lowest_rank) continue;
    lowest = connection;
    lowest_rank = rank;
  }
  return lowest;
}

}  // namespace

std::optional<EvictionPriority> PriorityOf(ClientConnection& connection, TimePoint now) {
  const Duration age = now - connection.state_since();
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
  // Connections whose bytes are about to be read. Few are, so HasBytesAboutToBeRead() is called only for the
  // connection that would be closed next.
  std::set<ClientConnection*> unread;
  while (const auto candidate = FindLowestPriority(connections, unread, now)) {
    if (candidate->state() == State::kReadingRequest && candidate->HasBytesAboutToBeRead()) {
      unread.insert(candidate.get());
      continue;
    }
    candidate->Evict();
    return true;
  }
  return false;
}

}  // namespace lb::sidecar
