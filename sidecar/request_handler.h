// The interface between a client connection and the handler of its requests.
#pragma once

#include <functional>

#include "sidecar/body_stream.h"
#include "sidecar/http.h"

namespace lb::sidecar {

// kUnknown: the client has ended its sending. It may have closed the connection, or it may wait for its
// response (a half-close); HalfCloseProbe finds out within some milliseconds.
enum class ClientPresence { kConnected, kUnknown, kGone };

// Responds to one request. `body`: of a streamed response; null if `response` contains the whole body.
using SendResponse = std::function<void(HttpResponse response, Body body)>;

// Called at most once, and only before the response: when the client disconnects or the rest of its request
// is malformed or overdue.
using OnDisconnected = std::function<void()>;

// Checks the current state of the client's connection in the kernel. To be called right before any work for
// the request begins.
using CheckClient = std::function<ClientPresence()>;

// Handles one request and calls `reply` once, possibly before it returns. `body`: of a streamed request; null
// if `request` contains the whole body.
using OnRequest = std::function<OnDisconnected(HttpRequest request, Body body, SendResponse reply,
                                               CheckClient check_client)>;

}  // namespace lb::sidecar
