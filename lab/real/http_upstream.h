// Upstreams that real sidecars can call: HTTP servers on loopback, each in front of an UpstreamModel, which
// decides when and how a request is answered.
//
// A request names its work in the header X-Work-Us, in microseconds on a core of speed 1. The response says
// in X-Service-Us how long after the request's arrival it was sent.
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

// All upstreams of a deployment, on the thread of one io_context: every call has to be made there, or while
// it does not run.
class HttpUpstreams {
 public:
  // Listens for all of them at once. `deployment`, `spec` and `scheduler`, which has to go by the same
  // io_context, have to outlive it, and it has to outlive the last run of the io_context. Throws
  // boost::system::system_error where it can't listen.
  HttpUpstreams(boost::asio::io_context& io, Scheduler& scheduler, const Deployment& deployment,
                const UpstreamSpec& spec, const HttpUpstreamOptions& options);
  ~HttpUpstreams();

  std::size_t size() const;
  // Stays the same over crashes.
  boost::asio::ip::tcp::endpoint endpoint(std::size_t upstream) const;
  std::string address(std::size_t upstream) const;  // `127.0.0.1:port`
  // For measurements; faults go through the functions below, as they concern the sockets, too.
  const UpstreamModel& model(std::size_t upstream) const;
  const HttpUpstreamCounters& counters(std::size_t upstream) const;
  HttpUpstreamCounters TotalCounters() const;
  std::size_t open_connections() const;

  // ---- Faults ----
  // See HttpUpstreamServer for these.
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
