// The load that an upstream reports of itself, as text: `inflight=7,queue=2,util=0.61`.
#pragma once

#include <boost/beast/core/string.hpp>

#include "balancer/balancer.h"

namespace lb::sidecar {

// Reads X-Server-Load or the body of a load probe's response. Fields have the names of the protocol
// (inflight, queue, util, qps) or of the settings (rif, q, busy, rate); other names are passed over. Values
// are numbers from 0 to 1,000,000. A report with any value that is no such number is dropped whole, as the
// rest of it can't be trusted either: the result is empty then.
lb::LoadReport ParseLoadReport(boost::beast::string_view text);

}  // namespace lb::sidecar
