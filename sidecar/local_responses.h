// The responses to clients that the sidecar creates itself. Clients may depend on their texts, which have not
// changed since the first release.
#pragma once

#include "sidecar/clock.h"
#include "sidecar/http.h"
#include "sidecar/request_validation.h"

namespace lb::sidecar {

// 400. The client's connection is closed after it.
HttpResponse BadRequestResponse(RequestError error);

// 503: the request was not processed, so it is safe to send it again. Zero `retry_after`: no Retry-After
// header.
HttpResponse RejectedResponse(Duration retry_after);

// The upstream may have processed the request.
HttpResponse DeadlineExceededResponse();  // 504
HttpResponse UpstreamFailedResponse();    // 502

}  // namespace lb::sidecar
