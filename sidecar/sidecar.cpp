#include "sidecar/sidecar.h"

#include <sys/socket.h>
#include <unistd.h>

#include <boost/system/error_code.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "sidecar/log_events.h"

namespace lb::sidecar {
namespace {

// The memory budget may be exhausted several times a second; a log line each would tell no more.
constexpr Duration kBudgetLogInterval = std::chrono::seconds(10);

// The listening socket of the previous process, if it is bound to `endpoint`; otherwise it is closed.
std::optional<int> InheritListener(HotRestart& hot_restart, const Endpoint& endpoint) {
  const auto inherited = hot_restart.InheritListener();
  if (!inherited) return std::nullopt;
  Endpoint local;
  auto size = static_cast<socklen_t>(local.capacity());
  if (::getsockname(*inherited, local.data(), &size) == 0 && local == endpoint) return inherited;
  ::close(*inherited);
  return std::nullopt;
}

// Parses `known`, the endpoint list that the configuration gives as last received from discovery. Null yields
// an empty list.
EndpointList ParseKnownList(const nlohmann::json& known, const UnixClock& clock) {
  EndpointList list;
  if (!known.is_null()) {
    try {
      list = ParseEndpointList(known, clock);
    } catch (const MembershipError& e) {
      throw ConfigError(std::string("LB_CONFIG: known: ") + e.what());
    }
  }
  list.update.kind = MembershipUpdate::Kind::kRestored;
  return list;
}

DiscoveryClient::Mode DiscoveryMode(const Settings& settings) {
  return settings.polled_membership ? DiscoveryClient::Mode::kPolledService
                                    : DiscoveryClient::Mode::kWatchedAgent;
}

std::string_view NeighbourEvent(const HotRestart& hot_restart) {
  if (hot_restart.next_serves()) return log_events::kHotRestartNextServes;
  if (hot_restart.has_next()) return log_events::kHotRestartNextConnected;
  if (hot_restart.has_previous()) return log_events::kHotRestartPreviousRuns;
  return log_events::kHotRestartOnlyProcess;
}

std::size_t FixedDescriptors(const Config& config) {
  return Descriptors::kReservedDescriptors + (config.admin ? AdminInterface::kDescriptors : 0);
}

}  // namespace

Sidecar::Sidecar(boost::asio::io_context& io, const Config& config)
    : settings_(config.settings),
      log_(config.name),
      descriptors_(config.sockets, FixedDescriptors(config)),
      bodies_{config.stream_capacity, std::make_shared<MemoryBudget>(
                                          config.message_memory, [this] { HandleMemoryBudgetExhausted(); })},
      hot_restart_(
          io, config.state_folder, unix_clock_, log_,
          {[this] { HandleNeighbourChange(); },
           [this] {
             operators_->store().NotifyAll([this](const StoredOverride& stored, OverrideAction action) {
               hot_restart_.NotifyNext({stored, action});
             });
             if (membership_.list_received() || list_inherited_) hot_restart_.SendListToNext(held_list_);
           },
           [this](const OverrideMessage& message) {
             operators_->store().HandleOverrideFromNeighbour(message.stored, message.action);
           },
           [this](EndpointList list) { HandleInheritedList(std::move(list)); }}),
      balancer_clock_(io, [this] { host_.FireDueTimers(); }),
      host_(config.settings, config.seed, balancer_clock_, *this),
      upstreams_(io, config.settings.limits, config.settings.load_probes_report_load, bodies_, descriptors_),
      membership_(config.settings.fleet_limits.slow_start_duration, host_, upstreams_, log_),
      discovery_(
          io, config.discovery, DiscoveryMode(config.settings), config.settings.fleet_limits.drain_grace,
          unix_clock_, log_, config.seed, [this](EndpointList list) { HandleEndpointList(std::move(list)); },
          [this] {
            host_.Deliver(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}});
          }),
      request_ids_(config.request_id_slots, config.request_ids_file, config.seed),
      requests_(request_ids_),
      request_id_renewal_(io),
      launcher_(io, host_, requests_, upstreams_, counters_, log_),
      intake_(io, settings_, host_, requests_, launcher_, counters_, log_),
      first_list_timer_(io),
      shutdown_(settings_),
      listener_(
          io, config.listen, config.admin.has_value(), InheritListener(hot_restart_, config.listen), bodies_,
          descriptors_, log_,
          [this](HttpRequest request, Body body, Listener::SendResponse send_response,
                 Listener::CheckClient check_client) {
            return intake_.AcceptRequest(std::move(request), std::move(body), std::move(send_response),
                                         std::move(check_client));
          },
          [this] { return membership_.has_known_upstream(); }, [this] { upstreams_.EvictSilentResponse(); }) {
  if (!config.request_ids_file.empty() && !request_ids_.is_shared()) {
    log_.Write(LogEvent(log_events::kRequestIdsNotShared).With("file", config.request_ids_file));
  }
  RenewRequestIds();
  EndpointList known = ParseKnownList(config.known, unix_clock_);
  // Without a restored list there is nothing to apply changes to, so that discovery is asked for the whole
  // list.
  if (!known.locations.empty()) discovery_.SetKnownRevision(known.revision);
  ApplyEndpointList(std::move(known));
  // Where membership is polled, the balancer starts the queries (see Subscribe()).
  if (!settings_.polled_membership) discovery_.Ask();
  if (!hot_restart_.has_previous()) listener_.Start();
  if (!config.admin) return;
  operators_.emplace(
      io, *config.admin, config.state_folder, OperatorControl::Targets{host_, upstreams_, listener_, log_},
      [this] { return GetServingState(); },
      [this] { return counters_.ToText(requests_.size(), *bodies_.budget); },
      [this](const StoredOverride& stored, OverrideAction action) {
        hot_restart_.Notify({stored, action});
      });
  descriptors_.SetShared(hot_restart_.has_previous());
  first_list_timer_.expires_after(kFirstListTimeout);
  first_list_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) ServeIfAble();
  });
}

std::optional<Endpoint> Sidecar::admin() const {
  if (!operators_) return std::nullopt;
  return operators_->local();
}

ServingState Sidecar::GetServingState() const {
  ServingState state;
  state.list_received = membership_.list_received();
  state.since_start = Now() - started_at_;
  state.has_upstreams = !upstreams_.empty();
  state.serving = serving_;
  state.stopping = shutdown_.begun();
  return state;
}

void Sidecar::ServeIfAble() {
  if (!operators_ || serving_ || shutdown_.begun()) return;
  if (hot_restart_.has_previous() && WhyUnableToServe(GetServingState())) return;
  serving_ = true;
  listener_.Start();
  hot_restart_.OfferListener(listener_.native_handle());
}

void Sidecar::HandleNeighbourChange() {
  log_.Write(LogEvent(NeighbourEvent(hot_restart_)));
  descriptors_.SetShared(hot_restart_.has_previous() || hot_restart_.has_next());
  upstreams_.EnforceCapacity();
  ServeIfAble();
}

void Sidecar::HandleMemoryBudgetExhausted() {
  const TimePoint now = Now();
  if (budget_exhausted_logged_at_ && now - *budget_exhausted_logged_at_ < kBudgetLogInterval) return;
  budget_exhausted_logged_at_ = now;
  log_.Write(LogEvent(log_events::kMessageMemoryExhausted)
                 .With("charged_bytes", bodies_.budget->charged())
                 .With("limit_bytes", bodies_.budget->limit()));
}

void Sidecar::RenewRequestIds() {
  requests_.RenewWireIds(Now());
  request_id_renewal_.expires_after(RequestTable::kWireIdRenewalInterval);
  request_id_renewal_.async_wait([this](boost::system::error_code error) {
    if (!error) RenewRequestIds();
  });
}

void Sidecar::ShutDown(std::function<void()> done) {
  const TimePoint last_response_by = shutdown_.Begin(Now());
  intake_.LimitDeadlines(last_response_by);
  launcher_.LimitResponses(last_response_by);
  upstreams_.LimitResponses(last_response_by);
  listener_.ShutDown(hot_restart_.next_serves(), last_response_by, [this, done = std::move(done)] {
    if (!operators_) return done();
    operators_->store().Flush(kStoreTimeout, done);
  });
}

void Sidecar::Reconfigure(const Config& config) {
  // Validates the list as part of the configuration. It is not applied: the list from discovery is newer.
  ParseKnownList(config.known, unix_clock_);
  log_.Write(LogEvent(log_events::kConfigurationReloaded));
  membership_.ForgetService();
  discovery_.MoveTo(config.discovery);
}

void Sidecar::HandleEndpointList(EndpointList list) {
  membership_.MarkListReceived();
  ApplyEndpointList(std::move(list));
  ServeIfAble();
}

void Sidecar::HandleInheritedList(EndpointList list) {
  if (membership_.list_received()) return;
  list_inherited_ = true;
  log_.Write(LogEvent(log_events::kHotRestartListInherited)
                 .With("revision", list.revision)
                 .With("upstreams", list.locations.size()));
  discovery_.SetKnownRevision(list.revision);
  ApplyEndpointList(std::move(list));
  ServeIfAble();
}

void Sidecar::ApplyEndpointList(EndpointList list) {
  held_list_.Apply(list);
  if (membership_.Apply(std::move(list)) == NextList::kWhole) discovery_.RequestFullList();
}

void Sidecar::CloseIdleConnections(const lb::CloseIdleConnections& action) {
  upstreams_.CloseIdleConnections(action.upstream.value);
}

void Sidecar::Subscribe(const lb::Subscribe& /*action*/) { discovery_.Ask(); }

void Sidecar::WriteLogLine(const lb::LogLine& action) { log_.Line(action.text); }

}  // namespace lb::sidecar
