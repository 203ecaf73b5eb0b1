// The sidecar: constructs its components and routes events between them. Decisions and state are in the
// components:
//   requests    RequestIntake, RequestTable, AttemptLauncher
//   decisions   BalancerHost
//   membership  DiscoveryClient, MembershipFollower
//   operators   OperatorControl (AdminInterface, OperatorStateStore)
//   processes   HotRestart, GracefulShutdown
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>

#include "balancer/balancer.h"
#include "settings/config.h"
#include "sidecar/attempt_launcher.h"
#include "sidecar/balancer_host.h"
#include "sidecar/clock.h"
#include "sidecar/descriptors.h"
#include "sidecar/discovery_client.h"
#include "sidecar/endpoint_list.h"
#include "sidecar/graceful_shutdown.h"
#include "sidecar/held_endpoint_list.h"
#include "sidecar/hot_restart.h"
#include "sidecar/listener.h"
#include "sidecar/log.h"
#include "sidecar/membership_follower.h"
#include "sidecar/memory_budget.h"
#include "sidecar/operator_control.h"
#include "sidecar/readiness.h"
#include "sidecar/request_counters.h"
#include "sidecar/request_id_registry.h"
#include "sidecar/request_intake.h"
#include "sidecar/request_table.h"
#include "sidecar/steady_balancer_clock.h"
#include "sidecar/upstreams.h"

namespace lb::sidecar {

// Not thread-safe: all members are called on the thread that runs the io_context. The io_context must not run
// after the sidecar is destroyed.
//
// The class has more than 15 data members because it owns the components, which are independent of each
// other. Each member depends only on members declared before it, so the declaration order is a valid order of
// construction, and its reverse a valid order of destruction.
class Sidecar : private ActionHandler {
 public:
  // Starts the sidecar: binds the listener, passes the endpoint list of the configuration to the balancer and
  // queries discovery. Throws ConfigError if the configuration is invalid or the admin interface cannot bind,
  // and boost::system::system_error if the listener cannot bind.
  Sidecar(boost::asio::io_context& io, const Config& config);

  // The addresses to which clients connect and, if there is an admin interface, operators.
  Endpoint local() const { return listener_.local(); }
  std::optional<Endpoint> admin() const;

  // Starts a graceful shutdown. Calls `done` once every accepted request has its response and the operator
  // state is stored; it waits at most kStoreTimeout for the latter.
  void ShutDown(std::function<void()> done);

  // Applies a replaced configuration: switches to its `discovery` address; the other settings take effect at
  // the next start of the process. Throws ConfigError, in which case nothing is changed.
  void Reconfigure(const Config& config);

  Logger& log() { return log_; }

 private:
  ServingState GetServingState() const;
  void HandleEndpointList(EndpointList list);
  // The list of the previous process counts until discovery's arrives, in place of the configuration's.
  void HandleInheritedList(EndpointList list);
  void ApplyEndpointList(EndpointList list);
  // Starts accepting clients and offers the listener to a next process, if this sidecar has an admin
  // interface. While the previous process of a hot restart runs, this is put off until requests can be
  // forwarded here, and the previous process alone accepts clients.
  void ServeIfAble();
  void HandleMemoryBudgetExhausted();
  // Keeps the ids of long requests reserved, now and at intervals.
  void RenewRequestIds();
  // Called when the other process of a hot restart has connected, started to serve, or ended.
  void HandleNeighbourChange();

  // ActionHandler: actions requested by the balancer.
  void StartAttempt(const lb::SendAttempt& action) override { launcher_.StartAttempt(action); }
  void CancelAttempt(const lb::CancelAttempt& action) override { launcher_.CancelAttempt(action); }
  void RejectRequest(const lb::RejectRequest& action) override { intake_.RejectRequest(action); }
  void FailRequest(const lb::FailRequest& action) override { intake_.FailRequest(action); }
  void StartLoadProbe(const lb::SendLoadProbe& action) override { launcher_.StartLoadProbe(action); }
  void CloseIdleConnections(const lb::CloseIdleConnections& action) override;
  void Subscribe(const lb::Subscribe& action) override;
  void WriteLogLine(const lb::LogLine& action) override;

  const Settings settings_;
  const UnixClock unix_clock_;
  Logger log_;
  Descriptors descriptors_;
  const BodyBuffering bodies_;
  std::optional<TimePoint> budget_exhausted_logged_at_;
  HotRestart hot_restart_;
  SteadyBalancerClock balancer_clock_;
  BalancerHost host_;
  Upstreams upstreams_;
  MembershipFollower membership_;
  // The list of the configuration, the previous process or discovery, whichever came last, with discovery's
  // changes to it. Passed to the next process, unless it is the configuration's.
  HeldEndpointList held_list_;
  bool list_inherited_ = false;  // from the previous process
  DiscoveryClient discovery_;
  RequestCounters counters_;
  RequestIdRegistry request_ids_;
  RequestTable requests_;
  boost::asio::steady_timer request_id_renewal_;
  AttemptLauncher launcher_;
  RequestIntake intake_;
  const TimePoint started_at_ = Now();
  boost::asio::steady_timer first_list_timer_;
  bool serving_ = false;  // clients are accepted and a next process can take over; needs an admin interface
  GracefulShutdown shutdown_;
  Listener listener_;                         // accepts clients after Start()
  std::optional<OperatorControl> operators_;  // empty if no admin interface is configured
};

}  // namespace lb::sidecar
