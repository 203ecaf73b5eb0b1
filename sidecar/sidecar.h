// The sidecar: puts its parts together and routes events between them. What a part decides or keeps is in the
// part:
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
#include "sidecar/hot_restart.h"
#include "sidecar/listener.h"
#include "sidecar/log.h"
#include "sidecar/membership_follower.h"
#include "sidecar/operator_control.h"
#include "sidecar/readiness.h"
#include "sidecar/request_intake.h"
#include "sidecar/request_table.h"
#include "sidecar/steady_balancer_clock.h"
#include "sidecar/upstreams.h"

namespace lb::sidecar {

// One thread, that of its io_context, calls all members. The io_context must not run once the sidecar is
// gone.
//
// More than 15 data members: the parts are independent of each other, and this class is what holds them.
// Their order is the order of their construction, each needing only earlier ones, and the reverse of their
// destruction.
class Sidecar : private ActionHandler {
 public:
  // Starts at once: binds, hands the balancer the endpoint list of the configuration and asks discovery.
  // Throws ConfigError or boost::system::system_error.
  Sidecar(boost::asio::io_context& io, const Config& config);

  // Where clients and, if there is an admin interface, operators connect.
  Endpoint local() const { return listener_.local(); }
  std::optional<Endpoint> admin() const;

  // Graceful shutdown. `done` is called once every accepted request has its response.
  void ShutDown(std::function<void()> done);

  // The configuration was replaced: follows its `discovery`. The rest counts from the next start on. Throws
  // ConfigError, and changes nothing then.
  void Reconfigure(const Config& config);

  Logger& log() { return log_; }

 private:
  ServingState GetServingState() const;
  void HandleEndpointList(EndpointList list);
  void ApplyEndpointList(EndpointList list);
  // Accepts clients, once it can. A process that follows another leaves the clients to that one until it can
  // serve them as well.
  void ServeIfAble();
  // The other process of a hot restart has come, serves, or has gone.
  void HandleNeighbourChange();

  // What the balancer asks for.
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
  HotRestart hot_restart_;
  SteadyBalancerClock balancer_clock_;
  BalancerHost host_;
  Upstreams upstreams_;
  MembershipFollower membership_;
  DiscoveryClient discovery_;
  std::optional<std::uint64_t>
      known_revision_;  // of the list in the configuration, until discovery was asked
  RequestTable requests_;
  AttemptLauncher launcher_;
  RequestIntake intake_;
  const TimePoint started_at_ = Now();
  boost::asio::steady_timer first_list_timer_;
  bool serving_ = false;  // clients are accepted, also of a sidecar that can be hot restarted
  GracefulShutdown shutdown_;
  Listener listener_;                         // accepts requests once it is started
  std::optional<OperatorControl> operators_;  // where there is an admin interface
};

}  // namespace lb::sidecar
