// Drives the Balancer: the clock, the timers and the table of requests; turns what happens into events and
// carries out the actions, in their order.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balancer/balancer.h"
#include "settings/config.h"
#include "sidecar/admin.h"
#include "sidecar/balancer_host.h"
#include "sidecar/clock.h"
#include "sidecar/descriptors.h"
#include "sidecar/discovery.h"
#include "sidecar/hot_restart.h"
#include "sidecar/listener.h"
#include "sidecar/log.h"
#include "sidecar/operator_state.h"
#include "sidecar/steady_balancer_clock.h"
#include "sidecar/upstreams.h"
#include "sidecar/wall_clock.h"

namespace lb::sidecar {

class Sidecar : private ActionHandler {
 public:
  // Starts at once: binds, hands the module the known list and asks discovery. Throws where it cannot.
  Sidecar(boost::asio::io_context& io, const Config& config);

  std::optional<Endpoint> admin() const { return admin_ ? std::optional(admin_->local()) : std::nullopt; }
  Endpoint local() const { return listener_.local(); }
  // A planned stop; `done` is called when all that was taken is answered.
  void Drain(std::function<void()> done);
  // The configuration was replaced: follows its `discovery`. The rest counts from the next start on.
  // Throws ConfigError, and changes nothing then.
  void Reconfigure(const Config& config);
  Logger& log() { return log_; }

 private:
  struct Pending {
    std::string wire_id;
    std::shared_ptr<const HttpRequest> message;
    Body body;                     // of a request that passes through
    TimePoint deadline;            // not known while its body still comes
    Duration timeout{};            // how long its client waits from its last byte on
    Listener::SendResponse reply;  // empty once the request has its answer or its client is gone
    Listener::CheckClient look;
    std::vector<Upstreams::ExchangeId> attempts;
    std::size_t out = 0;                     // attempts that have not ended
    std::optional<lb::AttemptId> answering;  // the one whose answer passes through
  };

  void Apply(MembershipList list);
  bool JudgeStarts(MembershipList& list);  // true: the whole list is needed
  Listener::OnDisconnected Take(HttpRequest request, Body body, Listener::SendResponse reply,
                                Listener::CheckClient look);
  // By when a request that was complete at `complete` has to have its answer: within `timeout`, and in a
  // planned stop before the process may be killed. At `complete` itself where that has passed.
  TimePoint DeadlineOf(TimePoint complete, Duration timeout) const;
  // The last byte of a request that passes through has been sent.
  void BodySent(lb::RequestId id);
  // What its client will still wait, at least.
  Duration LeftToClient(lb::RequestId id, TimePoint now) const;
  // Sends an attempt that was decided on at `decided`, unless its client has gone by now.
  void Launch(const lb::SendAttempt& action, lb::AttemptId attempt, TimePoint decided);
  void LaunchLater(const lb::SendAttempt& action, lb::AttemptId attempt, TimePoint decided);
  Listener::ClientPresence LookAtClient(lb::RequestId id) const;
  void Started(lb::RequestId id, lb::AttemptId attempt, HttpResponse head, Body body);
  void Gone(lb::RequestId id);
  void Ended(lb::RequestId id, lb::AttemptId attempt, const std::string& upstream, ExchangeResult result);
  void LogBad(const Pending& pending, const std::string& upstream, std::size_t attempt,
              const ExchangeResult& result);
  void Answer(Pending& pending, HttpResponse response, Body body = nullptr);
  void SendNoMore(const Pending& pending);
  void ForgetOldIds(TimePoint now);
  void ForgetIfDone(lb::RequestId id);
  // What operators say, and what they are told.
  HttpResponse Operate(http::verb method, const std::string& target);
  HttpResponse SetDisabled(const std::string& upstream, bool disabled);
  HttpResponse Done(const std::string& what) const;
  HttpResponse Ready() const;
  const char* NotServing() const;  // why it can't serve yet; null where it can
  void Serve();                    // takes clients, once it can
  void FollowOther();              // the other process of an upgrade came, serves or went
  void Follow(const OperatorState& state);

  void StartAttempt(const lb::SendAttempt& action) override;
  void CancelAttempt(const lb::CancelAttempt& action) override;
  void RejectRequest(const lb::RejectRequest& action) override;
  void FailRequest(const lb::FailRequest& action) override;
  void StartLoadProbe(const lb::SendLoadProbe& action) override;
  void CloseIdleConnections(const lb::CloseIdleConnections& action) override;
  void Subscribe(const lb::Subscribe& action) override;
  void WriteLogLine(const lb::LogLine& action) override;

  const lb::Settings settings_;
  std::map<std::string, lb::ClassId, std::less<>> classes_;
  std::map<std::string, lb::TenantId, std::less<>> tenants_;
  const UnixClock unix_clock_;
  WallClock wall_clock_;
  Logger log_;
  Descriptors descriptors_;
  HotRestart hot_restart_;
  SteadyBalancerClock balancer_clock_;
  BalancerHost host_;
  Upstreams upstreams_;
  Discovery discovery_;
  std::optional<std::uint64_t> known_;  // the version of the list it was started with, until that was used
  std::unordered_map<lb::RequestId, Pending> requests_;
  // Ids as the clients gave them, of requests that are open or have ended a short while ago.
  std::set<std::string, std::less<>> taken_ids_;
  std::deque<std::pair<TimePoint, std::string>> ended_ids_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_exchange_ = 0;
  boost::asio::io_context& io_;
  std::set<std::string> disabled_;  // upstreams that the module and the sockets know to be disabled
  bool list_told_ = false;          // discovery has told a list since the start
  bool upstream_told_ = false;      // by discovery or as known: there has been one to serve with
  const TimePoint started_ = Now();
  boost::asio::steady_timer patience_;  // for discovery's first list
  bool serving_ = false;
  bool stopping_ = false;
  TimePoint stop_by_ = TimePoint::max();  // the last answer of a planned stop
  Listener listener_;                     // it takes requests from here on
  std::optional<OperatorStateStore> operator_state_;
  std::optional<Admin> admin_;  // last: it speaks of all the others, and goes first
};

}  // namespace lb::sidecar
