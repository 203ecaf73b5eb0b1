// Parser of the load report that an upstream sends as text, for example `inflight=7,queue=2,util=0.61`.
#pragma once

#include <boost/beast/core/string.hpp>

#include "balancer/balancer.h"

namespace lb::sidecar {

// Parses the value of X-Server-Load or the body of a load probe's response. Fields have the names of the
// protocol (inflight, queue, util, qps) or of the settings (rif, q, busy, rate); other names are ignored.
// Values are numbers from 0 to 1,000,000. If any value is invalid, the rest of the report can't be trusted
// either, and the result is empty.
lb::LoadReport ParseLoadReport(boost::beast::string_view text);

}  // namespace lb::sidecar
