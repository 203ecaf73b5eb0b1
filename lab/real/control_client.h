// The control side of hollow sidecars on the real clock: the program's own discovery client, many to a
// thread.
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
  bool on_request = false;  // membership is delivered on request only: see Ask()
  lb::Duration drain_grace = lb::FleetLimits().drain_grace;
  std::uint64_t seed = 1;
};

// What a sidecar received from discovery.
struct ControlNotice {
  std::uint64_t revision = 0;  // of the list; 0 where a call has failed
  TimePoint at;
  lb::MembershipUpdate update;
};

// Its io_context's thread calls all members.
class ControlClient {
 public:
  using OnNotice = std::function<void(ControlNotice)>;

  // `on_notice` is handed each list, and on request each failure as an update of kind kFailed. The references
  // have to outlive the client.
  ControlClient(boost::asio::io_context& io, const ControlClientOptions& options,
                const sidecar::UnixClock& clock, OnNotice on_notice);

  // Asks for the list and watches it. On request: once at the start, and after each failure again.
  void Ask() { discovery_.Ask(); }

 private:
  const OnNotice on_notice_;
  std::ostream silent_{nullptr};
  sidecar::Logger log_;
  sidecar::DiscoveryClient discovery_;
};

// The control clients of a fleet, spread over a few threads: on one alone, a list that all take at once would
// hold up their calls beyond the patience that they have with discovery. Its members are for one thread.
class ControlFleet {
 public:
  ControlFleet(std::size_t sidecars, const sidecar::UnixClock& clock);  // `clock` has to outlive it
  ~ControlFleet();

  // Replaces the client of that sidecar, if there is one. `on_notice` is called on another thread; notices of
  // the replaced client may still come until its thread has taken note.
  void Start(std::size_t sidecar, const ControlClientOptions& options, ControlClient::OnNotice on_notice);
  void Stop(std::size_t sidecar);
  void Ask(std::size_t sidecar);

  double CpuSeconds();    // of all its threads
  void RethrowFailure();  // throws what has ended one of its threads, where anything has

 private:
  WorkerThread& ThreadOf(std::size_t sidecar) { return *threads_[sidecar % threads_.size()]; }

  const sidecar::UnixClock& clock_;
  std::vector<std::unique_ptr<WorkerThread>> threads_;
  std::vector<std::unique_ptr<ControlClient>> clients_;  // each belongs to its thread
};

}  // namespace lb::lab
