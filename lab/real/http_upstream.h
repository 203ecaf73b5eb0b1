// Upstreams that real sidecars can call: HTTP servers on loopback, each backed by an UpstreamModel, which
// decides when and how a request is answered.
//
// The request header X-Work-Us gives the service time in microseconds on a core of speed 1. The response
// header X-Service-Us gives the microseconds from the request's arrival to the response.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "lab/model/scheduler.h"
#include "lab/model/upstream_model.h"
#include "lab/real/http_upstream_messages.h"
#include "lab/real/http_upstream_server.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

// All upstreams of a deployment. Not thread-safe: call it only on the thread of its io_context, or while the
// io_context is not running.
class HttpUpstreams {
 public:
  // Starts listening for all upstreams. `scheduler` has to run on the same io_context; `deployment`, `spec`
  // and `scheduler` have to outlive this object, and this object has to outlive the last run of the
  // io_context. Throws boost::system::system_error if a socket cannot listen.
  HttpUpstreams(boost::asio::io_context& io, Scheduler& scheduler, const Deployment& deployment,
                const UpstreamSpec& spec, const HttpUpstreamOptions& options);
  ~HttpUpstreams();

  std::size_t size() const;
  // The address of an upstream; a crash does not change it.
  boost::asio::ip::tcp::endpoint endpoint(std::size_t upstream) const;
  std::string address(std::size_t upstream) const;  // `127.0.0.1:port`
  // For measurements only. Faults have to use the functions below, which also act on the sockets.
  const UpstreamModel& model(std::size_t upstream) const;
  const HttpUpstreamCounters& counters(std::size_t upstream) const;
  HttpUpstreamCounters TotalCounters() const;
  std::size_t open_connections() const;

  // ---- Faults ----
  // Inject a fault at one upstream; see HttpUpstreamServer and UpstreamModel.
  void Crash(std::size_t upstream);
  void Start(std::size_t upstream);
  void SetHanging(std::size_t upstream, bool hanging);
  void SetSlowdown(std::size_t upstream, double factor);
  void SetSilent(std::size_t upstream, bool silent);
  void SetDraining(std::size_t upstream, bool draining);

 private:
  void SweepIdle();

  const UpstreamSpec& spec_;
  boost::asio::steady_timer sweep_timer_;
  std::vector<std::unique_ptr<HttpUpstreamServer>> servers_;
};

}  // namespace lb::lab
