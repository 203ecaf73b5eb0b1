// The responses to clients that the sidecar makes itself. Their texts are of the first release.
#pragma once

#include "sidecar/clock.h"
#include "sidecar/http.h"
#include "sidecar/request_validation.h"

namespace lb::sidecar {

// 400; closes the client's connection.
HttpResponse BadRequestResponse(RequestError error);

// 503: nothing was done, so a further attempt is harmless. `retry_after`: zero for no advice.
HttpResponse RejectedResponse(Duration retry_after);

// The request may have taken effect.
HttpResponse DeadlineExceededResponse();  // 504
HttpResponse UpstreamFailedResponse();    // 502

}  // namespace lb::sidecar
