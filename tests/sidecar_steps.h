// Steps that several tests of the sidecar program share.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "tests/peers.h"

namespace lb::sidecar::testing {

// Starts a sidecar with one upstream at `address` and sends it a POST request of the non-idempotent class
// with a body of `body` bytes. Returns the status of the response: 503 means that the request was not
// executed, 502 and 504 mean that it may have been executed. Returns 0 without a response.
unsigned NonIdempotentStatus(const std::string& address, int timeout_ms, std::size_t body = 10);

// Lets this process, and those that it starts, have as many descriptors as the system allows. Returns false
// if the system refuses.
[[nodiscard]] bool RaiseDescriptorLimit();

// Waits until the sidecar may reuse an upstream connection on which a response was received.
void WaitForConnectionReuse();

// Measures how many bytes of a message the system accepts for a peer with SetSmallBuffers() that never reads;
// at most 65,536.
std::size_t BytesAcceptedUnread();

// Sends this many GET requests in a row, some at a time before their responses are read. Returns how many
// were answered; their ids begin with `id_prefix`.
int CountAnsweredInARow(Client& client, int requests, const std::string& id_prefix);

// Waits until a response to the client begins. Returns false on timeout.
bool ReceivesFirstBytes(Client& client);

// Reads the next response whose status is not 102. The sidecar sends 102 responses to distinguish a
// half-close from a close.
std::optional<Response> ReadFinalResponse(Client& client);

// Sends requests until a response has this body. Returns false on timeout.
bool BecomesServedBy(SidecarProcess& sidecar, const std::string& body);

}  // namespace lb::sidecar::testing
