// Steps that several tests of the sidecar's sockets have in common.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "tests/peers.h"

namespace lb::sidecar::testing {

// Starts a sidecar for the one upstream at `address` and sends it a POST of the non-idempotent class with a
// body of `body` bytes. Returns the status of the response: 503 says that nothing ran, 502 and 504 that it
// may have. 0 where there is no response.
unsigned NonIdempotentStatus(const std::string& address, int timeout_ms, std::size_t body = 10);

// Waits until the connection on which a response came may carry the next request.
void WaitForConnectionReuse();

// How many bytes of a message the system accepts for a narrow peer that never reads; at most 65,536.
std::size_t BytesAcceptedUnread();

// The next response that is not a 102, which the sidecar sends to tell a half-close from a close.
std::optional<Response> ReadFinalResponse(Client& client);

// Sends requests until one is answered with this body; false where none is in time.
bool BecomesServedBy(SidecarProcess& sidecar, const std::string& body);

}  // namespace lb::sidecar::testing
