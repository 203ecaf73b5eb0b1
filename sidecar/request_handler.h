// What passes between a client's connection and the handler of its requests.
#pragma once

#include <functional>

#include "sidecar/body_stream.h"
#include "sidecar/http.h"

namespace lb::sidecar {

// kUnknown: the client has ended its sending. It may have closed, or it may wait for its response (a
// half-close); HalfCloseProbe finds out within some milliseconds.
enum class ClientPresence { kConnected, kUnknown, kGone };

// Answers one request. `body`: of a response that is streamed; null where `response` is whole.
using SendResponse = std::function<void(HttpResponse response, Body body)>;

// Called at most once, where the client disconnects, or its request turns out malformed, before its response.
using OnDisconnected = std::function<void()>;

// Looks at the client's connection as the kernel has it now. To be called right before anything is begun for
// the request.
using CheckClient = std::function<ClientPresence()>;

// Handles one request and calls `reply` once, perhaps before it returns. `body`: of a request that is
// streamed; null where `request` is whole.
using OnRequest = std::function<OnDisconnected(HttpRequest request, Body body, SendResponse reply,
                                               CheckClient check_client)>;

}  // namespace lb::sidecar
