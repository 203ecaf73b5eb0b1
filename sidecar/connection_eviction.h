// Selects the client connection to close when the process runs out of descriptors.
#pragma once

#include <memory>
#include <optional>
#include <set>

#include "sidecar/client_connection.h"
#include "sidecar/clock.h"

namespace lb::sidecar {

using ClientConnections = std::set<std::shared_ptr<ClientConnection>>;

// The connection with the lowest value is closed first; among equal values, the one that has been in its
// state the longest. The order protects usual clients, which connect when they have a request to send, from
// clients that hold connections open without sending.
enum class EvictionPriority {
  kLingering,         // the client's machine has received all of the response: nothing is lost
  kSilent,            // has sent nothing for longer than a usual client takes
  kIdle,              // has carried a request; the client can send the next one on another connection
  kSlowRequest,       // has not completed a request within a time that suffices for usual clients
  kNew,               // opened recently and expected to send its first request
  kReceivingRequest,  // receives a request within the usual time; about to be served
};

// Returns nothing if the connection must not be closed: its request is being served, its response is being
// written, or part of the response has not reached the client's machine.
std::optional<EvictionPriority> PriorityOf(ClientConnection& connection, TimePoint now);

// Whether the connection is idle and no byte of a further request has arrived, in the kernel's receive buffer
// either.
bool IsSafeToClose(ClientConnection& connection);

// Closes the connection with the lowest priority, which removes it from `connections`
// (ClientConnectionContext::on_closed). Returns false if none can be closed.
bool EvictConnection(const ClientConnections& connections, TimePoint now);

}  // namespace lb::sidecar
