#include "sidecar/operator_control.h"

#include <boost/system/system_error.hpp>
#include <sstream>
#include <utility>
#include <variant>

#include "sidecar/log_events.h"

namespace lb::sidecar {

OperatorControl::OperatorControl(boost::asio::io_context& io, const Endpoint& endpoint,
                                 const std::string& folder, const Targets& targets,
                                 GetServingState get_serving_state, GetMetrics get_metrics,
                                 OperatorStateStore::OnOverride on_override)
    : targets_(targets),
      get_serving_state_(std::move(get_serving_state)),
      get_metrics_(std::move(get_metrics)),
      store_(
          io, folder, targets.log, [this](const OperatorState& state) { ApplyOperatorState(state); },
          std::move(on_override)) {
  try {
    admin_.emplace(io, endpoint, targets.log, [this](http::verb method, const std::string& target) {
      return HandleAdminRequest(method, target);
    });
  } catch (const boost::system::system_error& e) {
    std::ostringstream text;
    text << "LB_ADMIN " << endpoint << ": " << e.what();
    throw ConfigError(text.str());
  }
}

HttpResponse OperatorControl::HandleAdminRequest(http::verb method, const std::string& target) {
  const auto parsed = ParseAdminCommand(method, target);
  if (const auto* error = std::get_if<AdminCommandError>(&parsed)) return ToHttpResponse(*error);
  return ToHttpResponse(
      std::visit([this](const auto& command) { return Execute(command); }, std::get<AdminCommand>(parsed)));
}

bool OperatorControl::IsKnown(const std::string& upstream) const {
  return targets_.upstreams.Contains(upstream) || disabled_.contains(upstream);
}

AdminReply OperatorControl::Execute(const DisableUpstream& command) {
  if (!IsKnown(command.upstream)) return {AdminStatus::kUnknownUpstream, "no such upstream", ""};
  store_.Disable(command.upstream);
  return Reply(AdminStatus::kDone, command.upstream + " is out");
}

AdminReply OperatorControl::Execute(const EnableUpstream& command) {
  if (!IsKnown(command.upstream)) return {AdminStatus::kUnknownUpstream, "no such upstream", ""};
  store_.Enable(command.upstream);
  return Reply(AdminStatus::kDone, command.upstream + " is back");
}

AdminReply OperatorControl::Execute(const StartDraining& /*command*/) {
  store_.StartDraining();
  return DrainingReply();
}

AdminReply OperatorControl::Execute(const StopDraining& /*command*/) {
  store_.StopDraining();
  return DrainingReply();
}

AdminReply OperatorControl::DrainingReply() const {
  return Reply(AdminStatus::kDone, store_.state().draining ? "clients are sent away" : "clients are taken");
}

AdminReply OperatorControl::Execute(const QueryReadiness& /*command*/) const {
  ServingState state = get_serving_state_();
  state.draining = store_.state().draining;
  const auto reason = WhyNotReady(state);
  if (!reason) return Reply(AdminStatus::kDone, "ready");
  return Reply(AdminStatus::kNotReady, "not ready: " + std::string(ToString(*reason)));
}

AdminReply OperatorControl::Execute(const QueryMetrics& /*command*/) const {
  return {AdminStatus::kDone, get_metrics_(), ""};
}

AdminReply OperatorControl::Reply(AdminStatus status, const std::string& text) const {
  return {status, text, store_.StorageFault()};
}

void OperatorControl::ApplyOperatorState(const OperatorState& state) {
  const std::set<std::string> before = std::move(disabled_);
  disabled_ = state.disabled;
  for (const auto& upstream : disabled_) {
    if (!before.contains(upstream)) ApplyOverride(upstream, true);
  }
  for (const auto& upstream : before) {
    if (!disabled_.contains(upstream)) ApplyOverride(upstream, false);
  }
  targets_.host.HandleQueuedEvents();
  targets_.listener.SetConnectionDraining(state.draining);
}

// The balancer has to handle the override before the ends of attempts that disabling the upstream causes.
// EventHold keeps all of them queued, in this order, until both calls are made.
void OperatorControl::ApplyOverride(const std::string& upstream, bool disabled) {
  const auto event = disabled ? log_events::kUpstreamDisabled : log_events::kUpstreamEnabled;
  targets_.log.Write(LogEvent(event).With("upstream", upstream));
  const BalancerHost::EventHold hold(targets_.host);
  targets_.host.Enqueue(lb::OperatorOverride{{upstream}, disabled});
  targets_.upstreams.SetDisabled(upstream, disabled);
}

}  // namespace lb::sidecar
