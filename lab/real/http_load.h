// The applications next to real sidecars: requests at random times (a Poisson process for each sidecar),
// however long the answers take, with the clients' retries and deadlines.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "lab/measure/metrics.h"
#include "lab/model/scheduler.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

// The application of one sidecar.
struct LoadTarget {
  boost::asio::ip::tcp::endpoint sidecar;
  double requests_per_s = 0;
  std::size_t index = 0;  // of the sidecar; each request tells it in kSidecarHeader (http_upstream.h)
};

// What ended since the last look. A request counts when its last try has ended: `traffic.requests` is the sum
// of in_time, late, refused and failed. Of `traffic`, only these and client_retries are filled.
struct LoadWindow {
  TrafficCounters traffic;
  std::uint64_t unanswered = 0;  // of the failed, those without a response when the client gave up
  // Tries that were written whole, by clients that stayed, and got no byte of an answer: the sidecar closed
  // the connection (not one that rested, as they came), or ClientSpec::listens_on was over.
  std::uint64_t dropped = 0;
  Distribution latency_ms;  // of served requests, from the first try's start
  // Of requests served at their first try: the latency without what the answer's upstream took
  // (X-Service-Us).
  Distribution added_ms;
};

// All on the thread of one io_context: every call has to be made there, or while it does not run.
class HttpLoad {
 public:
  // `scheduler`, which has to go by the same io_context, `clients` and `classes` have to outlive it.
  HttpLoad(boost::asio::io_context& io, Scheduler& scheduler, const ClientSpec& clients,
           const std::vector<ClassSpec>& classes, const std::vector<LoadTarget>& targets, std::uint64_t seed);
  ~HttpLoad();

  void Start();
  // No new requests; those under way go on.
  void Stop();
  // Whether the application of the sidecar `index` (LoadTarget::index) opens connections, as it does at the
  // start. Without them it goes on with those that it has, and begins nothing where none is idle.
  void SetConnecting(std::size_t index, bool connecting);
  // Of all rates, from now on; 1 at the start.
  void SetFactor(double factor);
  LoadWindow Take();
  std::uint64_t begun() const;      // requests, since the start
  std::size_t under_way() const;    // requests that have not ended, and clients that listen on
  std::size_t connections() const;  // open

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace lb::lab
