// Which client connection is closed first when descriptors run out.
#pragma once

#include <memory>
#include <optional>
#include <set>

#include "sidecar/client_connection.h"
#include "sidecar/clock.h"

namespace lb::sidecar {

using ClientConnections = std::set<std::shared_ptr<ClientConnection>>;

// The lowest value goes first, and of equal ones the one that has been so longest. The order protects the
// usual clients, which connect when they have a request, from those that hold connections and say nothing.
enum class EvictionPriority {
  kLingering,         // its response has reached the client's machine: nothing is lost
  kSilent,            // has said nothing for longer than a usual client takes
  kIdle,              // has carried a request: its client asks on another connection
  kSlowRequest,       // has not finished a request in a time that is enough for usual clients
  kNew,               // has connected just now and is about to send its first request
  kReceivingRequest,  // is about to be served
};

// None where the connection must stay: a request is being served, or its response written.
std::optional<EvictionPriority> PriorityOf(ClientConnection& connection, TimePoint now);

// Nothing of a further request has come, not even into the kernel's buffer.
bool IsSafeToClose(ClientConnection& connection);

// Closes the connection with the lowest priority, which leaves `connections` by its own close. False where
// none can be closed.
bool EvictConnection(const ClientConnections& connections, TimePoint now);

}  // namespace lb::sidecar
