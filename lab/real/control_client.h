// Discovery clients of hollow sidecars on the real clock. They use the real sidecar's discovery client; each
// thread runs many of them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <ostream>
#include <vector>

#include "balancer/balancer.h"
#include "lab/real/worker_thread.h"
#include "settings/config.h"
#include "sidecar/clock.h"
#include "sidecar/discovery_client.h"
#include "sidecar/log.h"

namespace lb::lab {

using lb::TimePoint;

struct ControlClientOptions {
  lb::Endpoint discovery;
  bool on_request = false;  // membership is delivered only on request: see Ask()
  lb::Duration drain_grace = lb::FleetLimits().drain_grace;
  std::uint64_t seed = 1;
};

// An endpoint list, or a failure, that a sidecar received from discovery.
struct ControlNotice {
  std::uint64_t revision = 0;  // of the list; 0 if a call failed
  TimePoint at;
  lb::MembershipUpdate update;
};

// All members must be called on the io_context's thread.
class ControlClient {
 public:
  using OnNotice = std::function<void(ControlNotice)>;

  // Calls `on_notice` with each list and, if membership is on request, with each failure as an update of kind
  // kFailed. The references must outlive the client.
  ControlClient(boost::asio::io_context& io, const ControlClientOptions& options,
                const sidecar::UnixClock& clock, OnNotice on_notice);

  // Requests the list and watches it. If membership is on request, call it once at the start and again after
  // each failure.
  void Ask() { discovery_.Ask(); }

 private:
  const OnNotice on_notice_;
  std::ostream null_stream_{nullptr};
  sidecar::Logger log_;
  sidecar::DiscoveryClient discovery_;
};

// The control clients of a fleet, distributed over a few threads: on a single thread, processing a list that
// all clients receive at once would delay their calls beyond the timeout of the discovery client. Not
// thread-safe.
class ControlFleet {
 public:
  ControlFleet(std::size_t sidecars, const sidecar::UnixClock& clock);  // `clock` has to outlive it
  ~ControlFleet();

  // Starts the client of that sidecar and replaces a previous one. `on_notice` is called on another thread;
  // notices of the previous client may still arrive until that thread has processed the replacement.
  void Start(std::size_t sidecar, const ControlClientOptions& options, ControlClient::OnNotice on_notice);
  void Stop(std::size_t sidecar);
  void Ask(std::size_t sidecar);

  double CpuSeconds();    // processor time of all threads
  void RethrowFailure();  // throws the exception that ended a thread, if any

 private:
  WorkerThread& ThreadOf(std::size_t sidecar) { return *threads_[sidecar % threads_.size()]; }

  const sidecar::UnixClock& clock_;
  std::vector<std::unique_ptr<WorkerThread>> threads_;
  std::vector<std::unique_ptr<ControlClient>> clients_;  // by sidecar; each is used only on its thread
};

}  // namespace lb::lab
