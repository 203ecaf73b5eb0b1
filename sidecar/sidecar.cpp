#include "sidecar/sidecar.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <variant>

namespace lb::sidecar {
namespace {

using boost::beast::string_view;
using boost::system::error_code;
using lb::AttemptFinished;
using lb::AttemptId;
using lb::MembershipUpdate;
using lb::Outcome;
using lb::RequestId;
using std::chrono::milliseconds;

// The client's clock started when it sent the request: so much earlier, at least, than it was read here.
constexpr Duration kTrip = milliseconds(2);
constexpr std::size_t kLongestId = 128;
// A second request under the id of one that ended just now is a copy that crossed the answer: it must not run
// again. Ids are never used again, so they need no longer memory than such a copy takes.
constexpr Duration kIdMemory = std::chrono::seconds(5);
constexpr std::size_t kMostEndedIds = 8192;
// An attempt for a client that has ended its sending waits so long before its client is looked at again.
constexpr Duration kLookAgain = milliseconds(2);
// A client that says it waits longer than this many of its class's deadlines has no idea what it says.
constexpr int kMostDeadlines = 2;
// A planned stop: SIGKILL comes no sooner after SIGTERM than the deployment's longest deadline, counted as
// kLongestCounted at most, and kKillGrace (PROTOCOL, "Figures"). What is taken meanwhile is answered
// kStopMargin ahead of that: the process may be held up, and the answer has to reach its client.
constexpr Duration kLongestCounted = std::chrono::seconds(3);
constexpr Duration kKillGrace = milliseconds(700);
constexpr Duration kStopMargin = milliseconds(150);
// So long the list as last held is not good enough to be called ready: discovery answers at once unless it is
// down.
constexpr Duration kListPatience = std::chrono::seconds(2);

// A planned end waits so long at most until what operators said is stored.
constexpr Duration kStorePatience = std::chrono::seconds(2);

// For what is no request of this protocol: its connection is closed, too.
HttpResponse Unfit(const std::string& why) {
  auto response = PlainResponse(http::status::bad_request, why);
  response.keep_alive(false);
  return response;
}

// The one value of a header; nothing where it is missing or given twice.
std::optional<string_view> Single(const HttpRequest& request, string_view name) {
  const auto range = request.equal_range(name);
  if (range.first == range.second || std::next(range.first) != range.second) return std::nullopt;
  return range.first->value();
}

bool Visible(string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

bool GoodId(string_view id) { return !id.empty() && id.size() <= kLongestId && Visible(id); }

// Does the method tell the same as the class? What contradicts itself could be repeated against its class.
bool Fits(const HttpRequest& request, bool more, lb::Idempotency idempotency) {
  if (idempotency == lb::Idempotency::kIdempotent) {
    return request.method() == http::verb::get && request.body().empty() && !more;
  }
  const auto key = Single(request, "Idempotency-Key");
  const bool keyed = key && GoodId(*key);
  return request.method() == http::verb::post &&
         (idempotency == lb::Idempotency::kIdempotencyKey ? keyed : request.count("Idempotency-Key") == 0);
}

template <typename T>
std::optional<T> Whole(string_view text) {
  T value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

string_view FirstPart(string_view target) {
  if (target.empty() || target.front() != '/') return {};
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// What the log calls an outcome that speaks of trouble; null for the others.
const char* Name(Outcome outcome) {
  if (outcome == Outcome::kError) return "error";
  if (outcome == Outcome::kTimeout) return "timed out";
  if (outcome == Outcome::kConnectFailed) return "could not connect";
  if (outcome == Outcome::kReset) return "reset";
  if (outcome == Outcome::kLocalFailure) return "failed on this machine";
  return nullptr;
}

// How long after SIGTERM the last answer has to be out.
Duration TimeToStop(const lb::Settings& settings) {
  Duration longest{};
  for (const auto& request_class : settings.classes) longest = std::max(longest, request_class.deadline);
  return std::min(longest, kLongestCounted) + kKillGrace - kStopMargin;
}

// What the process before hands over, if it listens where this one is to.
std::optional<int> Listening(HotRestart& hot_restart, const Endpoint& endpoint) {
  const auto listening = hot_restart.InheritListener();
  if (!listening) return std::nullopt;
  Endpoint local;
  socklen_t size = static_cast<socklen_t>(local.capacity());
  if (::getsockname(*listening, local.data(), &size) == 0 && local == endpoint) return listening;
  ::close(*listening);
  return std::nullopt;
}

MembershipList Known(const nlohmann::json& known, const UnixClock& clock) {
  MembershipList list;
  if (!known.is_null()) {
    try {
      list = ParseList(known, clock);
    } catch (const std::exception& e) {
      throw ConfigError(std::string("LB_CONFIG: known: ") + e.what());
    }
  }
  list.update.kind = MembershipUpdate::Kind::kRestored;
  return list;
}

}  // namespace

Sidecar::Sidecar(boost::asio::io_context& io, const Config& config)
    : settings_(config.settings),
      wall_clock_(config.settings.fleet_limits.slow_start_duration),
      log_(config.name),
      descriptors_(config.sockets, Descriptors::kFixed + (config.admin ? Admin::kDescriptors : 0)),
      hot_restart_(io, config.keep, log_,
                   {[this] { FollowOther(); },
                    [this] {
                      operator_state_->TellAll(
                          [this](const std::string& word, bool set) { hot_restart_.TellNext(word, set); });
                    },
                    [this](const std::string& word, bool set) { operator_state_->Heard(word, set); }}),
      balancer_clock_(io, [this] { host_.FireDueTimers(); }),
      host_(config.settings, config.seed, balancer_clock_, *this),
      upstreams_(io, config.settings.limits, config.settings.load_by_probe, config.pipe, descriptors_),
      discovery_(
          io, config.discovery, config.settings.polled_membership, config.settings.fleet_limits.drain_grace,
          unix_clock_, log_, config.seed,
          [this](MembershipList list) {
            list_told_ = true;
            Apply(std::move(list));
            Serve();
          },
          [this] {
            host_.Deliver(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}});
          }),
      io_(io),
      patience_(io),
      listener_(
          io, config.listen, config.admin.has_value(), Listening(hot_restart_, config.listen), config.pipe,
          descriptors_, log_,
          [this](HttpRequest request, Body body, Listener::SendResponse reply, Listener::CheckClient look) {
            return Take(std::move(request), std::move(body), std::move(reply), std::move(look));
          },
          [this] { return upstream_told_; }) {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    classes_.emplace(settings_.classes[i].name, lb::ClassId{i});
  }
  for (std::size_t i = 0; i < settings_.tenants.size(); ++i) {
    tenants_.emplace(settings_.tenants[i].name, lb::TenantId{i});
  }
  MembershipList known = Known(config.known, unix_clock_);
  // Where nothing was known there is nothing to change: the whole list is needed.
  if (!known.locations.empty()) known_ = known.revision;
  Apply(std::move(known));
  // Where membership is told on request, the module asks.
  if (!settings_.polled_membership) discovery_.Ask();
  if (!hot_restart_.after_another()) listener_.Start();
  if (!config.admin) return;
  operator_state_.emplace(
      io, config.keep, log_, [this](const OperatorState& state) { Follow(state); },
      [this](const std::string& word, bool set) { hot_restart_.Tell(word, set); });
  try {
    admin_.emplace(io, *config.admin, log_,
                   [this](http::verb method, const std::string& target) { return Operate(method, target); });
  } catch (const boost::system::system_error& e) {
    std::ostringstream text;
    text << "LB_ADMIN " << *config.admin << ": " << e.what();
    throw ConfigError(text.str());
  }
  descriptors_.Share(hot_restart_.after_another());
  patience_.expires_after(kListPatience);
  patience_.async_wait([this](error_code error) {
    if (!error) Serve();
  });
}

// A process that comes after another leaves the clients to that one until it can serve them as well.
void Sidecar::Serve() {
  if (!operator_state_ || serving_ || stopping_) return;
  if (NotServing() != nullptr && hot_restart_.after_another()) return;
  serving_ = true;
  listener_.Start();
  hot_restart_.OfferListener(listener_.native_handle());
}

void Sidecar::FollowOther() {
  log_.Line(hot_restart_.next_serves()     ? "another process takes the clients, too"
            : hot_restart_.has_next()      ? "another process has come"
            : hot_restart_.after_another() ? "the process before is there"
                                           : "this is the only process");
  descriptors_.Share(hot_restart_.after_another() || hot_restart_.has_next());
  upstreams_.EnforceCapacity();
  Serve();
}

void Sidecar::Drain(std::function<void()> done) {
  if (!std::exchange(stopping_, true)) stop_by_ = Now() + TimeToStop(settings_);
  listener_.ShutDown(hot_restart_.next_serves(), stop_by_, [this, done = std::move(done)] {
    if (!operator_state_) return done();
    operator_state_->Finish(kStorePatience, done);
  });
}

void Sidecar::Reconfigure(const Config& config) {
  Known(config.known, unix_clock_);  // checked like the rest, though the list from discovery is newer
  log_.Line("configuration read again");
  wall_clock_.ForgetService();
  discovery_.MoveTo(config.discovery);
}

HttpResponse Sidecar::Operate(http::verb method, const std::string& target) {
  static const std::string kDisable = "/upstreams/disable/", kEnable = "/upstreams/enable/";
  const bool disable = target.starts_with(kDisable);
  const bool enable = target.starts_with(kEnable);
  const bool asks = target == "/ready";
  if (!asks && !disable && !enable && target != "/drain" && target != "/undrain") {
    return PlainResponse(http::status::not_found, "no such call");
  }
  if (method != (asks ? http::verb::get : http::verb::post)) {
    auto response = PlainResponse(http::status::method_not_allowed, asks ? "GET only" : "POST only");
    response.set(http::field::allow, asks ? "GET" : "POST");
    return response;
  }
  if (asks) return Ready();
  if (disable || enable) {
    return SetDisabled(target.substr(disable ? kDisable.size() : kEnable.size()), disable);
  }
  operator_state_->Drain(target == "/drain");
  return Done(operator_state_->state().drained ? "clients are sent away" : "clients are taken");
}

// One that has left the list can still be put back.
HttpResponse Sidecar::SetDisabled(const std::string& upstream, bool disabled) {
  if (!upstreams_.Contains(upstream) && !disabled_.contains(upstream)) {
    return PlainResponse(http::status::not_found, "no such upstream");
  }
  if (disabled) operator_state_->Disable(upstream);
  if (!disabled) operator_state_->Enable(upstream);
  return Done(upstream + (disabled ? " is out" : " is back"));
}

// A call holds from now on; whether it will outlast this process is said beside it.
HttpResponse Sidecar::Done(const std::string& what) const {
  const std::string fault = operator_state_->StorageFault();
  return PlainResponse(http::status::ok, fault.empty() ? what : what + "; " + fault);
}

const char* Sidecar::NotServing() const {
  if (!list_told_ && Now() - started_ < kListPatience) return "waiting for discovery";
  return upstreams_.empty() ? "no upstream is known" : nullptr;
}

HttpResponse Sidecar::Ready() const {
  const char* why = NotServing();
  if (!why && !serving_) why = "starting";
  if (operator_state_->state().drained) why = "drained";
  if (stopping_) why = "stopping";
  if (!why) return Done("ready");
  const std::string fault = operator_state_->StorageFault();
  return PlainResponse(http::status::service_unavailable,
                       std::string("not ready: ") + why + (fault.empty() ? "" : "; " + fault));
}

void Sidecar::Follow(const OperatorState& state) {
  const auto say = [this](const std::string& upstream, bool disabled) {
    log_.Line(upstream + (disabled ? " is taken out" : " is put back") + " by the operators");
    const BalancerHost::EventHold hold(host_);
    host_.Enqueue(lb::OperatorOverride{{upstream}, disabled});
    upstreams_.SetDisabled(upstream, disabled);
  };
  const std::set<std::string> before = std::exchange(disabled_, state.disabled);
  for (const auto& upstream : disabled_)
    if (!before.contains(upstream)) say(upstream, true);
  for (const auto& upstream : before)
    if (!disabled_.contains(upstream)) say(upstream, false);
  host_.HandleQueuedEvents();
  listener_.SetConnectionDraining(state.drained);
}

// The module hears of the list before it hears of attempts that the list ended, and acts on it only when the
// sockets know it too: else it would send again to what drains, or to what is not known yet.
void Sidecar::Apply(MembershipList list) {
  const bool ask_for_all = JudgeStarts(list);
  {
    const BalancerHost::EventHold hold(host_);
    const bool whole = list.update.kind != MembershipUpdate::Kind::kChanges;
    host_.Enqueue(std::move(list.update));
    if (whole) upstreams_.ReplaceAll(list.locations);
    if (!whole)
      for (const auto& [uid, location] : list.locations) upstreams_.Update(uid, location);
  }
  upstream_told_ = upstream_told_ || !upstreams_.empty();
  host_.HandleQueuedEvents();
  if (ask_for_all) discovery_.AskForAll();
}

bool Sidecar::JudgeStarts(MembershipList& list) {
  const bool trusted = !wall_clock_.ahead();
  const bool ask_for_all = wall_clock_.Judge(list.update, Now());
  if (const auto ahead = wall_clock_.ahead(); trusted && ahead) {
    log_.Line("the wall clock was " + std::to_string(std::abs(ahead->count()) / 1000) + " ms " +
              (*ahead < Duration::zero() ? "behind" : "ahead") +
              " at the start, by the start times of upstreams; these are judged without it");
  }
  return ask_for_all;
}

Listener::OnDisconnected Sidecar::Take(HttpRequest request, Body body, Listener::SendResponse reply,
                                       Listener::CheckClient look) {
  const TimePoint now = Now();
  const auto bad = [&reply](const std::string& why) {
    reply(Unfit(why), nullptr);
    return nullptr;
  };
  RemoveHopByHop(request);  // first: `Connection` may name what is checked below
  if (!Visible(request.target())) return bad("bad target");
  const auto cls = classes_.find(std::string(FirstPart(request.target())));
  if (cls == classes_.end()) return bad("unknown class");
  const auto& known = settings_.classes[static_cast<std::size_t>(cls->second)];
  if (!Fits(request, body != nullptr, known.idempotency))
    return bad("method or Idempotency-Key does not fit the class");
  const auto wire_id = Single(request, "X-Request-ID");
  if (!wire_id || !GoodId(*wire_id)) return bad("missing or bad X-Request-ID");
  const auto timeout_text = Single(request, "X-Timeout-Ms");
  const auto timeout = timeout_text ? Whole<std::uint32_t>(*timeout_text) : std::nullopt;
  if (!timeout || *timeout == 0 || milliseconds(*timeout) > kMostDeadlines * known.deadline) {
    return bad("missing or bad X-Timeout-Ms");
  }
  // Two requests of one id could not be told apart upstream.
  const std::string key(*wire_id);
  ForgetOldIds(now);
  if (!taken_ids_.insert(key).second) return bad("X-Request-ID is taken");

  lb::RequestArrived event;
  event.request = RequestId{++last_request_};
  event.request_class = cls->second;
  event.deadline = DeadlineOf(now, std::max<Duration>(milliseconds(*timeout) - kTrip, milliseconds(1)));
  if (const auto tenant = tenants_.find(std::string(request["X-Tenant-Id"])); tenant != tenants_.end()) {
    event.tenant = tenant->second;
  }
  if (const auto cost = Whole<std::uint32_t>(request["X-Cost"])) event.work = Duration(*cost);
  event.client_retry = request["X-Retried"] == "1";
  event.body_pending = body != nullptr;

  Pending pending;
  pending.wire_id = key;
  pending.message = std::make_shared<const HttpRequest>(std::move(request));
  pending.deadline = event.deadline;
  pending.timeout = event.deadline - now;
  pending.reply = std::move(reply);
  pending.look = std::move(look);
  const RequestId id = event.request;
  if (body) {
    pending.deadline = TimePoint::max();
    body->NotifyWhenSent([this, id] { BodySent(id); });
    pending.body = std::move(body);
  }
  requests_.emplace(id, std::move(pending));
  host_.Deliver(event);
  return [this, id] { Gone(id); };
}

TimePoint Sidecar::DeadlineOf(TimePoint complete, Duration timeout) const {
  return std::max(complete, std::min(complete + timeout, stop_by_));
}

void Sidecar::BodySent(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.reply) return;
  Pending& pending = it->second;
  pending.deadline = DeadlineOf(*pending.body->sent_at(), pending.timeout);
  host_.Deliver(lb::RequestCompleted{id, pending.deadline});
}

Duration Sidecar::LeftToClient(RequestId id, TimePoint now) const {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return Duration::zero();
  const Pending& pending = it->second;
  if (pending.deadline != TimePoint::max()) return pending.deadline - now;
  return pending.body->LastByteNotBefore() + pending.timeout - now;
}

void Sidecar::Started(RequestId id, AttemptId attempt, HttpResponse head, Body body) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.reply) return body->AbandonByReader();
  head.version(11);
  RemoveHopByHop(head);
  it->second.answering = attempt;
  Answer(it->second, std::move(head), std::move(body));
  host_.Deliver(lb::ResponseStarted{id, attempt});
}

void Sidecar::Gone(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.reply) return;
  it->second.reply = nullptr;
  SendNoMore(it->second);
  host_.Deliver(lb::RequestCancelled{id});
  ForgetIfDone(id);
}

void Sidecar::Ended(RequestId id, AttemptId attempt, const std::string& upstream, ExchangeResult result) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Pending& pending = it->second;
  --pending.out;
  LogBad(pending, upstream, static_cast<std::size_t>(attempt), result);
  if (result.outcome == Outcome::kServed && pending.reply) {
    HttpResponse response(http::status::ok, 11);
    response.base() = std::move(result.response.base());
    response.body() = std::move(result.response.body());
    response.version(11);
    RemoveHopByHop(response);
    Answer(pending, std::move(response));
  }
  // While an answer passes through, the end of another attempt is not the request's.
  const bool finished = !pending.reply && pending.answering.value_or(attempt) == attempt;
  host_.Deliver(AttemptFinished{id, attempt, result.outcome, result.elapsed, finished, result.load,
                                result.use > 1 ? std::optional(result.idle) : std::nullopt,
                                pending.body && pending.body->consumed()});
  ForgetIfDone(id);
}

// One line for each attempt that ended badly, so that a request can be followed by its id.
void Sidecar::LogBad(const Pending& pending, const std::string& upstream, std::size_t attempt,
                     const ExchangeResult& result) {
  const bool passing = pending.answering && static_cast<std::size_t>(*pending.answering) == attempt;
  const char* how = Name(result.outcome);
  if (passing && result.outcome == Outcome::kCancelled) how = "called off, its client left";
  if (how == nullptr) return;
  const auto us = [](Duration d) { return std::to_string(d.count()) + " us"; };
  log_.Line(pending.wire_id + " " + std::string(pending.message->target()) + " to " + upstream + " attempt " +
            std::to_string(attempt) + (passing ? " passing through " : " ") + how + " after " +
            us(result.elapsed) + " as exchange " + std::to_string(result.use) + " of a connection open for " +
            us(result.open) + ", idle for " + us(result.idle) +
            (result.why ? ": " + result.why.message() : ""));
}

void Sidecar::Answer(Pending& pending, HttpResponse response, Body body) {
  const auto reply = std::exchange(pending.reply, nullptr);
  if (reply) reply(std::move(response), std::move(body));
  SendNoMore(pending);
}

// The module lets a trial go on behind the answer, to learn of its upstream. But where its connection has not
// come up by now the request must not be sent on any more.
void Sidecar::SendNoMore(const Pending& pending) {
  for (const auto exchange : pending.attempts) upstreams_.AbandonUnsent(exchange);
}

// While events wait their attempts are still needed: their turn comes with the last of them.
void Sidecar::ForgetIfDone(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.reply || it->second.out > 0) return;
  ended_ids_.emplace_back(Now(), std::move(it->second.wire_id));
  requests_.erase(it);
}

void Sidecar::ForgetOldIds(TimePoint now) {
  while (!ended_ids_.empty() &&
         (ended_ids_.size() > kMostEndedIds || now - ended_ids_.front().first > kIdMemory)) {
    taken_ids_.erase(ended_ids_.front().second);
    ended_ids_.pop_front();
  }
}

void Sidecar::StartAttempt(const lb::SendAttempt& action) {
  const auto it = requests_.find(action.request);
  if (it == requests_.end()) return;
  Pending& pending = it->second;
  const AttemptId attempt{pending.attempts.size()};
  pending.attempts.push_back(Upstreams::ExchangeId{++last_exchange_});
  ++pending.out;
  Launch(action, attempt, host_.handled_at());
}

// Once its request has its answer nobody waits for more.
Listener::ClientPresence Sidecar::LookAtClient(RequestId id) const {
  const auto it = requests_.find(id);
  return it != requests_.end() && it->second.reply ? it->second.look() : Listener::ClientPresence::kGone;
}

void Sidecar::Launch(const lb::SendAttempt& action, AttemptId attempt, TimePoint decided) {
  const RequestId id = action.request;
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  const Pending& pending = it->second;
  const auto client = LookAtClient(id);
  if (client == Listener::ClientPresence::kUnknown) return LaunchLater(action, attempt, decided);
  // The client may end its sending, or leave, while a connection for it comes up.
  const auto on_end = [this, action, attempt, decided](ExchangeResult result) {
    const bool unsent = result.outcome == Outcome::kNotSent;
    if (unsent && LookAtClient(action.request) == Listener::ClientPresence::kUnknown)
      return LaunchLater(action, attempt, decided);
    Ended(action.request, attempt, action.upstream.value, std::move(result));
  };
  if (client == Listener::ClientPresence::kGone) return on_end({Outcome::kNotSent, {}, {}, {}});
  const Duration spent = Now() - decided;
  Upstreams::ExchangeRequest call;
  call.request = pending.message;
  call.body = pending.body;
  call.timeout = action.timeout;
  // Of a body that still comes the time runs from its last byte.
  if (pending.deadline != TimePoint::max())
    call.timeout = std::max<Duration>(call.timeout - spent, milliseconds(1));
  call.max_connection_idle = action.max_connection_idle;
  if (action.begin_within != Duration::max()) call.begin_within = action.begin_within - spent;
  call.client_is_waiting = [this, id] { return LookAtClient(id) == Listener::ClientPresence::kConnected; };
  call.time_left = [this, id](TimePoint now) { return LeftToClient(id, now); };
  call.body_stall_timeout = pending.timeout;
  call.on_response_started = [this, id, attempt](HttpResponse head, Body body) {
    Started(id, attempt, std::move(head), std::move(body));
  };
  call.on_finished = on_end;
  upstreams_.StartExchange(pending.attempts[static_cast<std::size_t>(attempt)], action.upstream.value,
                           std::move(call));
}

void Sidecar::LaunchLater(const lb::SendAttempt& action, AttemptId attempt, TimePoint decided) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, kLookAgain);
  timer->async_wait([this, timer, action, attempt, decided](error_code error) {
    if (!error) Launch(action, attempt, decided);
  });
}

void Sidecar::CancelAttempt(const lb::CancelAttempt& action) {
  const auto it = requests_.find(action.request);
  const auto attempt = static_cast<std::size_t>(action.attempt);
  if (it == requests_.end() || attempt >= it->second.attempts.size()) return;
  upstreams_.Cancel(it->second.attempts[attempt]);
}

void Sidecar::RejectRequest(const lb::RejectRequest& action) {
  const auto it = requests_.find(action.request);
  if (it == requests_.end()) return;
  auto response = PlainResponse(http::status::service_unavailable, "refused: trying again is harmless");
  if (action.retry_after > Duration::zero()) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", std::chrono::duration<double>(action.retry_after).count());
    response.set(http::field::retry_after, seconds);
  }
  Answer(it->second, std::move(response));
  ForgetIfDone(action.request);
}

void Sidecar::FailRequest(const lb::FailRequest& action) {
  const auto it = requests_.find(action.request);
  if (it == requests_.end()) return;
  const bool late = Now() >= it->second.deadline;
  Answer(it->second, late ? PlainResponse(http::status::gateway_timeout, "no answer in time")
                          : PlainResponse(http::status::bad_gateway, "upstream failed"));
  ForgetIfDone(action.request);
}

void Sidecar::StartLoadProbe(const lb::SendLoadProbe& action) {
  upstreams_.SendLoadProbe(
      Upstreams::ExchangeId{++last_exchange_}, action.upstream.value, action.max_connection_idle,
      [this, upstream = action.upstream](ExchangeResult result) {
        host_.Deliver(lb::LoadProbeFinished{upstream, result.outcome, result.elapsed, result.load});
      });
}

void Sidecar::CloseIdleConnections(const lb::CloseIdleConnections& action) {
  upstreams_.CloseIdleConnections(action.upstream.value);
}

void Sidecar::Subscribe(const lb::Subscribe&) { discovery_.Ask(std::exchange(known_, std::nullopt)); }

void Sidecar::WriteLogLine(const lb::LogLine& action) { log_.Line(action.text); }

}  // namespace lb::sidecar
