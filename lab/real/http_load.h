// Open-loop load generator that emulates the applications next to real sidecars: requests arrive as a Poisson
// process for each sidecar, independently of response times, with the clients' retries and deadlines.
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
  // Index of the sidecar, sent with each request in kSidecarHeader (http_upstream_messages.h).
  std::size_t index = 0;
};

// Counts since the last call of HttpLoad::Take(). A request is counted when its last try has ended:
// `traffic.requests` is the sum of in_time, late, refused and failed. Of `traffic`, only these counters and
// client_retries are set.
struct LoadWindow {
  TrafficCounters traffic;
  std::uint64_t unanswered = 0;  // failed requests without a response when the client timed out
  // Tries that were written completely, whose client kept the connection open, and that got no byte of a
  // response before the sidecar closed the connection or ClientSpec::late_answer_wait had passed. Tries that
  // crossed the close of an idle connection are not counted.
  std::uint64_t dropped = 0;
  Distribution latency_ms;  // of served requests, from the start of the first try
  // Of requests served at their first try: the latency minus the time at the upstream (X-Service-Us).
  Distribution added_ms;
};

// Generates the load of all targets. Not thread-safe: call it only on the thread of its io_context, or while
// the io_context is not running.
class HttpLoad {
 public:
  // `scheduler` has to run on the same io_context. `scheduler`, `clients` and `classes` have to outlive this
  // object.
  HttpLoad(boost::asio::io_context& io, Scheduler& scheduler, const ClientSpec& clients,
           const std::vector<ClassSpec>& classes, const std::vector<LoadTarget>& targets, std::uint64_t seed);
  ~HttpLoad();

  void Start();
  // Begins no new requests; requests in flight continue.
  void Stop();
  // Sets whether the application of the sidecar `index` (LoadTarget::index) opens new connections; initially
  // it does. While it does not, it uses only its open connections, and skips a request if none is idle.
  void SetConnecting(std::size_t index, bool connecting);
  // Multiplies all request rates from now on; 1 initially.
  void SetFactor(double factor);
  // Returns the counts since the last call and resets them.
  LoadWindow Take();
  std::uint64_t begun() const;  // requests begun since the start
  // Requests that have not ended, plus timed-out tries that keep their connection.
  std::size_t in_flight() const;
  std::size_t connections() const;  // open connections

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace lb::lab
