// What operators ask of this sidecar: executes the commands of the admin interface and applies the operator
// state, whichever process of the sidecar was told it, to the balancer, the upstream connections and the
// listener.
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
  // What the operator state is applied to. All have to outlive the control.
  struct Targets {
    BalancerHost& host;
    Upstreams& upstreams;
    Listener& listener;
    Logger& log;
  };
  // The sidecar's state but for `draining`, which is the operators'.
  using GetServingState = std::function<ServingState()>;

  // Applies what is stored in `folder` (empty: nothing is stored), then binds and listens at `endpoint`;
  // throws ConfigError where that fails. `on_override` is called with each override that operators set at
  // this process.
  OperatorControl(boost::asio::io_context& io, const Endpoint& endpoint, const std::string& folder,
                  const Targets& targets, GetServingState get_serving_state,
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
  AdminReply DrainingReply() const;
  // A command holds from now on; where it will not outlast this process its reply says so.
  AdminReply Reply(AdminStatus status, const std::string& text) const;
  // An upstream that has left the endpoint list can still be enabled.
  bool IsKnown(const std::string& upstream) const;
  void ApplyOperatorState(const OperatorState& state);
  void ApplyOverride(const std::string& upstream, bool disabled);

  const Targets targets_;
  const GetServingState get_serving_state_;
  std::set<std::string> disabled_;  // the upstreams that the balancer and the connections know to be disabled
  OperatorStateStore store_;
  std::optional<AdminInterface>
      admin_;  // always there once constructed; last, as its calls reach all the others
};

}  // namespace lb::sidecar
