// Executes the commands of the admin interface, and applies the operator state to the balancer, the upstream
// connections and the listener, including the changes that another process of the sidecar received.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "settings/config.h"
#include "sidecar/admin.h"
#include "sidecar/admin_commands.h"
#include "sidecar/balancer_host.h"
#include "sidecar/http.h"
#include "sidecar/listener.h"
#include "sidecar/log.h"
#include "sidecar/operator_state.h"
#include "sidecar/readiness.h"
#include "sidecar/upstreams.h"

namespace lb::sidecar {

class OperatorControl {
 public:
  // The components to which the operator state is applied. All have to outlive the OperatorControl.
  struct Targets {
    BalancerHost& host;
    Upstreams& upstreams;
    Listener& listener;
    Logger& log;
  };
  // Returns the metrics in Prometheus's text format.
  using GetMetrics = std::function<std::string()>;
  // Returns the sidecar's state without `draining`, which is part of the operator state.
  using GetServingState = std::function<ServingState()>;

  // Applies the operator state stored in `folder` (empty: the state is only kept in memory), then binds and
  // listens at `endpoint`; throws ConfigError if binding fails. `on_override` is called with each override
  // that operators set or withdraw through this process.
  OperatorControl(boost::asio::io_context& io, const Endpoint& endpoint, const std::string& folder,
                  const Targets& targets, GetServingState get_serving_state, GetMetrics get_metrics,
                  OperatorStateStore::OnOverride on_override);

  Endpoint local() const { return admin_->local(); }
  OperatorStateStore& store() { return store_; }

 private:
  HttpResponse HandleAdminRequest(http::verb method, const std::string& target);
  AdminReply Execute(const DisableUpstream& command);
  AdminReply Execute(const EnableUpstream& command);
  AdminReply Execute(const StartDraining& command);
  AdminReply Execute(const StopDraining& command);
  AdminReply Execute(const QueryReadiness& command) const;
  AdminReply Execute(const QueryMetrics& command) const;
  AdminReply DrainingReply() const;
  // The reply to a command, which is already in effect. Includes the reason if the operator state is not
  // stored and would not outlast this process.
  AdminReply Reply(AdminStatus status, const std::string& text) const;
  // True for upstreams in the endpoint list, and for disabled ones that have left it: these can still be
  // enabled.
  bool IsKnown(const std::string& upstream) const;
  void ApplyOperatorState(const OperatorState& state);
  void ApplyOverride(const std::string& upstream, bool disabled);

  const Targets targets_;
  const GetServingState get_serving_state_;
  const GetMetrics get_metrics_;
  std::set<std::string> disabled_;  // upstream ids; as last applied to the targets
  OperatorStateStore store_;
  // Has a value once constructed. Declared last: its requests use all other members.
  std::optional<AdminInterface> admin_;
};

}  // namespace lb::sidecar
