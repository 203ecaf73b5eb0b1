// Every decision, and nothing else. The interface is balancer/balancer.h; what is kept of a request is in
// state.h, of an upstream in upstream.h, of the list in membership.h.
//
// The mechanism is the consecutive-failures circuit breaker of the Linkerd circuit-breaking RFC, per
// upstream, with smooth weighted rotation over the upstreams that are not ejected. The parts, in this order:
//   constants    one table; what can be derived from the settings is derived at its place of use
//   membership   which upstreams there are; a new start time is a new process with a clean record
//   ejection     the failure run, the ejection and its inflation, trials and the return
//   rotation     who takes the next call: MayTake() and Pick(); weights that follow what was observed
//   attempts     MaySend(): what a class allows; time-outs, trials, retries, second copies
//   admission    the limit on calls held at once, refusal, and the final answer: Finish()
//   slow start   the ramp and the budget of a cold upstream
#include "balancer/balancer.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

#include "balancer/state.h"

namespace lb {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- Constants ----

// The design page's own figures.
constexpr int kFailuresToEject = 5;
constexpr Duration kBaseEjection = seconds(60);
constexpr int kEjectionMultiplier = 2;
constexpr Duration kMaxEjection = seconds(120);
constexpr Duration kHousekeeping = milliseconds(250);  // not urgent: decisions look at the clock
constexpr std::uint64_t kHousekeepingToken = 0;
// Of what would topple a cold one, going by its peers' load; and of that, from those beyond whose subset it
// is.
constexpr double kColdSafety = 0.8, kColdBeyond = 0.5;
// Load is not sickness: where more than this share of the calls to the other upstreams fail, the run must be
// long enough to be as rare as five in a row are here.
constexpr double kOrdinaryFailureShare = 0.1;
constexpr double kOutcomeMemory = 20;  // an upstream's share of failures follows about so many calls
// An ejected upstream is tried ahead of its time with copies of calls that may be repeated: the first after
// this, the next ones at twice the time after each that fails; it is back after so many served in a row.
constexpr Duration kFirstTrial = milliseconds(1000), kMaxTrial = milliseconds(8000);
constexpr int kTrialsToReturn = 2;
// Subsetting: over kLeastSubset upstreams at least, by the rate of calls once that has been seen for
// kRateKnown. Beyond kFairConnections at each upstream, were all sidecars alike, a subset only grows where
// its members hold kBusyMember calls of this sidecar in the mean.
constexpr double kLeastSubset = 3;
constexpr Duration kRateKnown = seconds(2);
constexpr double kFirstConnections = 5, kFairConnections = 15, kBusyMember = 2;
// How long an idle connection is trusted: half the age at which one was found dropped, at least kLeastTrust,
// growing by this factor each housekeeping (twice in some ten seconds).
constexpr Duration kLeastTrust = milliseconds(100);
constexpr double kTrustGrowth = 1.02;
constexpr double kHardToConnect = 0.5;  // half of the calls that connect take twice their time or fail
constexpr double kCrowdSlack = 0.5;     // one holding more than its share and this is passed over
// Speeds are learnt over about kUsualMemory answers of a class or kind of machine, kSlownessMemory of an
// upstream; its kind weighs more than its own until kKindPrior answers. kMaxSlowness bounds them.
constexpr double kUsualMemory = 50, kSlownessMemory = 10;
constexpr double kKindPrior = 5, kMaxSlowness = 3;
constexpr double kSilence = 3;         // it holds calls and has answered nothing for this many usual times
constexpr int kFailuresToSuspect = 2;  // in a row make a suspect, that is passed over while others stand
constexpr double kLate = 3;  // a call that takes so many usual times gets a second copy, where it may
// Further attempts and second copies are at most this share of first tries, saved up to a burst.
constexpr double kRetryBudget = 0.3, kRetryBurst = 10;
constexpr std::size_t kFreeRepeats = 2;  // so many attempts after a proof that nothing ran are free of it
// Where upstreams tell their load when probed, the next ones in turn are asked before a call, as many as this
// share of the service pays for and at most kMostAsked; the call waits for this share of a connect time-out.
constexpr double kAskSpend = 0.01, kMostAsked = 3, kAskPatience = 0.1;
constexpr std::size_t kAsksAtRisk = 2;  // where probes are dear: the pick and one to turn to
constexpr double kCrossingGain = 0.5;  // of a crossing's price: near ones must not fill up to the whole of it
constexpr double kHoldFor = 0.5;       // it holds more than it serves in this share of the aim: jammed
constexpr int kSuccessPower = 3;       // of the success share in a weight: errors come fast and attract calls
// Overload shows as answers after their aim, time-outs and refusals as full from upstreams in good standing.
// Above kTooManyLate of at least kLateSample outcomes (a quarter of them, where all of these are late) the
// calls held at once are limited, to the less of what is held the more are late; below it the limit grows
// again, by kLimitGrowth each such look, and goes when it no longer binds.
constexpr double kLateFrom = 0.75;  // what took this share of its aim is late: before it costs its worth
constexpr double kTooManyLate = 0.15;
// An upstream under load answers the rest slowly too: a time-out tells of load only where its answers take
// this share of their aims in the mean. Guards against refusing for one that swallows some calls.
constexpr double kLoadedShare = 0.35;
constexpr double kLateSample = 20, kLimitCut = 0.6, kLimitGrowth = 0.05;
constexpr double kLeastLimit = 0.5;  // of a call, taken by chance: in sum it still sheds
// Near the limit the classes with less worth for their time are refused first, from this share of it on, but
// each class keeps kClassFloor of its calls.
constexpr double kSheddingFrom = 0.7, kClassFloor = 0.4;
constexpr Duration kSpell = seconds(2);  // refusing is over when none was refused for this long
constexpr double kRetrySpread = 0.1;     // of the longest Retry-After: not all come back in step

}  // namespace

class Balancer::Impl : private Book {
 public:
  Impl(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {
    settings_.Validate();
    members_.StartAt(static_cast<double>(settings_.sidecar_index % settings_.sidecar_count) /
                     static_cast<double>(settings_.sidecar_count));
    ask_pause_ = LongestAskPause() / 2;
    trusted_idle_ = settings_.limits.idle_close;
    retry_budget_ = kRetryBurst;
    if (settings_.load_by_probe && settings_.limits.load_probes_allowed) {
      ask_price_ = std::max(settings_.decision_costs.probe, 1e-9);
      asks_ = static_cast<std::size_t>(std::clamp(kAskSpend / ask_price_, 1.0, kMostAsked));
    }
    usual_time_.resize(settings_.classes.size());
    admitted_.assign(settings_.classes.size(), 1);
  }

  void Handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    out_ = &actions;
    if (!running_) Start();
    std::visit([this](const auto& e) { On(e); }, event);
    out_ = nullptr;
  }

  std::size_t UpstreamsVisited() const { return members_.visits(); }

 private:
  // ---- Membership ----

  void Start() {
    running_ = true;
    started_ = now_;
    if (settings_.polled_membership) Emit(Subscribe{});
    Emit(SetTimer{now_ + kHousekeeping, kHousekeepingToken});
  }

  void On(const MembershipUpdate& update) {
    if (update.kind == MembershipUpdate::Kind::kFailed) {
      // Not at once, that would add to what made it fail; well inside `ask_within` the list still holds.
      if (settings_.polled_membership) ask_again_at_ = now_ + Scaled(ask_pause_, 1 + Uniform());
      ask_pause_ = std::min(2 * ask_pause_, LongestAskPause());
      return;
    }
    if (update.kind != MembershipUpdate::Kind::kRestored) ask_pause_ = LongestAskPause() / 2;
    // What a whole list leaves out is gone.
    if (update.kind != MembershipUpdate::Kind::kChanges) members_.BeginWholeList();
    std::vector<UpstreamPtr> entering;
    for (const UpstreamInfo& info : update.upstreams) Adopt(info, entering);
    members_.Settle();
    // With the whole list known: a turn drawn from the sum so far would put the first ones of the list first
    // at every sidecar, and a fleet of them would send their first calls to the same few.
    const double turn = Turn();
    for (const UpstreamPtr& u : entering) u->credit = -Uniform() * turn;
  }

  // Up to twice that is waited, and the next housekeeping acts on it.
  Duration LongestAskPause() const {
    return std::min(settings_.fleet_limits.poll_interval_limit / 4, (kLongestPollPause - kHousekeeping) / 2);
  }

  // As many as it sends the calls that eject one while what the first tells still counts. Guards against a
  // trickle spread so thin that no upstream is met twice: every call would need a new connection and tell
  // nothing of the next. Where calls are many it is the list; but where the fleet is so large that the
  // connections of all would fill the upstreams' tables, it is as many as this one keeps busy.
  double SubsetSize() const {
    const auto all = static_cast<double>(members_.size());
    const double each =
        all / static_cast<double>(settings_.sidecar_count);  // of one connection at each upstream
    if (now_ - started_ < kRateKnown || usual_rate_ <= 0)
      return std::max(kLeastSubset, std::min(all, kFirstConnections * each));
    const double watched = usual_rate_ * Seconds(LateMemory()) / kFailuresToEject;
    const double busy = usual_held_ * able_weight_ / kBusyMember;
    return std::max(kLeastSubset, std::min(watched, std::max(kFairConnections * each, busy)));
  }

  double SubsetShare() const {
    return std::min(1.0, SubsetSize() / std::max(1.0, static_cast<double>(members_.size())));
  }

  void Adopt(const UpstreamInfo& info, std::vector<UpstreamPtr>& entering) {
    const auto [u, new_process, enters] = members_.Adopt(info);
    if (new_process) {
      u->cold_budget = Uniform();  // sidecars that hear of it together: some call now, some a call later
      u->cold_refilled = now_;
    }
    u->kind_slowness = &kind_slowness_[info.kind];
    if (Warmth(*u) < 1) members_.Watch(*u);
    if (enters) entering.push_back(u);
  }

  void On(const OperatorOverride& e) {
    const auto info = members_.Override(e.upstream.value, e.disabled, now_);
    if (!info) return;
    std::vector<UpstreamPtr> entering;
    Adopt(*info, entering);
    members_.Settle();
    for (const UpstreamPtr& u : entering) u->credit = -Uniform() * Turn();
  }

  // ---- Ejection ----

  void Judge(Upstream& u, const Attempt& attempt, Outcome outcome) {
    if (u.info.state == UpstreamState::kGone) return;  // nothing more is decided about it
    const bool served = outcome == Outcome::kServed;
    if (attempt.trial) JudgeTrial(u, outcome);
    if (outcome != Outcome::kConnectFailed && outcome != Outcome::kTimeout &&
        outcome != Outcome::kCancelled && outcome != Outcome::kLocalFailure) {
      u.waiting_since = now_;
    }
    // Said to be full: it needs about the time of an answer to have room again.
    if (outcome == Outcome::kRejected) u.full_until = now_ + Scaled(UsualTime(), 0.5 + Uniform());
    if (!served && !IsFailure(outcome)) return;
    members_.Count(u, served, outcome == Outcome::kTimeout, kOutcomeMemory);
    u.failure_run = served ? 0 : u.failure_run + 1;
    members_.Watch(u);
    if (!u.ejected && u.failure_run >= LongRun(u, kFailuresToEject)) Eject(u);
  }

  double FailureShare(const Upstream& u) const {
    return u.failures / std::max(u.calls, static_cast<double>(kFailuresToEject));
  }

  // A run as rare as `run` in a row: longer where the other upstreams fail too. Guards against an overload or
  // a slowdown of the whole fleet, whose time-outs string up on healthy upstreams until all are out.
  int LongRun(const Upstream& u, int run) const {
    const double share = members_.PeersFailureShare(u);
    if (share <= kOrdinaryFailureShare) return run;
    return static_cast<int>(std::ceil(run * std::log(kOrdinaryFailureShare) / std::log(share)));
  }

  void JudgeTrial(Upstream& u, Outcome outcome) {
    u.on_trial = false;
    u.next_trial = now_;
    if (outcome == Outcome::kServed) {
      if (u.ejected && ++u.trials_served >= kTrialsToReturn) Return(u, "after it served on trial");
    } else if (IsFailure(outcome)) {
      u.trials_served = 0;
      u.trial_gap = u.ejected ? std::min(u.trial_gap * 2, kMaxTrial) : kFirstTrial;
      u.next_trial = now_ + u.trial_gap;
    } else {
      u.next_trial = now_ + kFirstTrial;
    }
  }

  void Eject(Upstream& u) {
    const int run = u.failure_run;
    const bool relapse = u.ejected_at && now_ - u.ejected_until < kBaseEjection;
    u.ejection_time = relapse ? std::min(u.ejection_time * kEjectionMultiplier, kMaxEjection) : kBaseEjection;
    u.ejected = true;
    members_.CountAnew();
    u.ejected_at = now_;
    u.ejected_until = now_ + u.ejection_time;
    u.failure_run = 0;
    u.trial_gap = kFirstTrial;
    u.next_trial = now_ + u.trial_gap;
    u.trials_served = 0;
    Say("ejected " + u.info.id.value + " for " +
        std::to_string(duration_cast<milliseconds>(u.ejection_time).count()) + " ms after " +
        std::to_string(run) + " failures in a row");
  }

  void ReturnIfServed(Upstream& u) {
    if (u.ejected && now_ >= u.ejected_until) Return(u, "after its ejection");
  }

  void Return(Upstream& u, const char* why) {
    u.ejected = false;
    members_.CountAnew();
    u.ejected_until = now_;
    u.credit = -Uniform() * Turn();
    Say("returned " + u.info.id.value + " " + why);
  }

  // ---- Rotation ----

  // An upstream that enters or returns starts somewhere in its turn: no hoard of credit, and sidecars that
  // hear of it together do not all pick it next.
  double Turn() const { return members_.listed_weight().value() * SubsetShare(); }

  // The registered weight, less when cold, by what was observed; squared: a slow one is late far more often.
  double Weight(const Upstream& u) const {
    const double calls = std::max(u.calls, static_cast<double>(kFailuresToEject));
    // Time-outs beside fast answers attract no calls: the rest of what it takes it serves.
    const double swallowed = Loaded(u) ? 0 : u.timeouts / calls;
    const double failing = FailureShare(u) - swallowed;
    return u.info.weight * Warmth(u) / (Slowness(u) * Slowness(u)) *
           std::max(0.02, std::pow(1 - failing, kSuccessPower) * (1 - swallowed));
  }

  static bool Loaded(const Upstream& u) { return u.aim_share.value >= kLoadedShare; }

  // The usual time of an answer: of a class, and over all.
  Duration UsualTime(std::size_t cls) const {
    return TimeOr(usual_time_[cls], settings_.classes[cls].latency_objective / 4);
  }
  Duration UsualTime() const { return TimeOr(usual_any_, settings_.classes[0].latency_objective / 4); }

  // How long an upstream's answers take against what is usual. A trickle meets one upstream too seldom to
  // know: until it has answered often, it is taken for what its kind of machine is like.
  double Slowness(const Upstream& u) const {
    const double like = u.kind_slowness->samples > 0 ? u.kind_slowness->value : 1;
    const double known = kKindPrior * like + u.slowness.samples * u.slowness.value;
    return std::clamp(known / (kKindPrior + u.slowness.samples), 1 / kMaxSlowness, kMaxSlowness);
  }

  void LearnTime(Upstream& u, const Attempt& a, std::size_t cls, Outcome outcome, Duration elapsed) {
    const auto time = static_cast<double>(elapsed.count());
    if (ProvesNotRun(outcome) || outcome == Outcome::kError || outcome == Outcome::kReset) return;
    const double ratio = std::min(time / static_cast<double>(UsualTime(cls).count()), 2 * kMaxSlowness);
    // Unanswered so far says that it takes at least as long, but where others are answered fast.
    if (outcome != Outcome::kServed && (ratio < Slowness(u) || !Loaded(u))) return;
    u.slowness.Add(ratio, kSlownessMemory);
    if (a.held > 0) u.held.Add(a.held, kSlownessMemory), usual_load_.Add(a.held, kUsualMemory);
    u.kind_slowness->Add(ratio, kUsualMemory);
    if (outcome != Outcome::kServed) return;
    u.aim_share.Add(time / static_cast<double>(settings_.classes[cls].latency_objective.count()),
                    kSlownessMemory);
    usual_time_[cls].Add(time, kUsualMemory);
    usual_any_.Add(time, kUsualMemory);
  }

  // Guards against hangs, silent machines and cut links, which show by nothing but time: passed over before
  // five in a row, while others stand. One answer clears it.
  bool Suspect(const Upstream& u) const {
    if (u.failure_run >= LongRun(u, kFailuresToSuspect)) return true;
    return u.outstanding > 0 && now_ - u.waiting_since > Scaled(UsualTime(), kSilence * Slowness(u));
  }

  bool HasConnection(const Upstream& u) const {
    if (settings_.limits.streams_per_connection > 1 && u.outstanding > 0) return true;
    return u.idle > 0 && now_ - u.idle_since < settings_.limits.idle_close;
  }

  // How calls fare that open a connection: 1 where none comes about or it takes as long as an answer.
  void LearnConnecting(Upstream& u, const Attempt& a, std::size_t cls, Outcome outcome, Duration elapsed) {
    const bool kept =
        outcome == Outcome::kServed || outcome == Outcome::kError || outcome == Outcome::kRejected;
    if (kept) ++u.idle, u.idle_since = now_;
    if (outcome == Outcome::kConnectFailed || outcome == Outcome::kReset) u.idle = 0;
    if (outcome == Outcome::kLocalFailure) u.idle = 0, u.connects_again = now_ + kConnectPause;
    // Reset at once on a connection that had been idle: it had been dropped unseen. Guards calls that may not
    // be repeated: idle ones are closed before that age, and trusted longer again with time.
    const bool at_once = elapsed < Scaled(settings_.limits.connect_timeout, kAskPatience);
    if (outcome == Outcome::kReset && !a.connects && at_once)
      trusted_idle_ = std::max(kLeastTrust, std::min(trusted_idle_, a.idle_for / 2));
    if (!a.connects || (outcome != Outcome::kServed && outcome != Outcome::kConnectFailed)) return;
    const double over = Seconds(elapsed) / Seconds(UsualTime(cls)) - 1;
    connecting_.Add(outcome == Outcome::kServed ? std::clamp(over, 0.0, 1.0) : 1, kOutcomeMemory);
  }

  // May this upstream take a call? The one gate to every upstream. An ejected one takes trials only.
  bool MayTake(Upstream& u, bool trial = false) {
    if (u.info.state != UpstreamState::kServing) return false;
    ReturnIfServed(u);
    if (trial ? !(u.ejected || Suspect(u)) || u.on_trial || now_ < u.next_trial : u.ejected) return false;
    return HasColdBudget(u);
  }

  // The next one by smooth weighted rotation over the subset: not yet tried while any such stands, of those
  // one in good standing; then the crowded, then the suspects. The next in order make up for members amiss.
  UpstreamPtr Pick(const Request& r, bool only_good = false, bool only_near = false) {
    double weight = 0;
    int outstanding = 1;
    std::vector<Upstream*> takers;
    if (!MaySendAnywhere(r)) {  // the budgets of cold ones and the returns are looked at all the same
      for (Upstream* u : members_.Watched()) MayTake(*u);
      return nullptr;
    }
    double room = SubsetSize();
    for (std::size_t place = 0; place < members_.size() && room > 0; ++place) {
      Upstream& u = members_.At(place);
      if (!MayTake(u) || now_ < u.full_until || !MaySend(r, u)) continue;
      if (only_near && !Near(u)) continue;
      takers.push_back(&u);
      if (Suspect(u)) continue;
      if (!Tried(r, u)) room -= Warmth(u);  // the cold ones are no help yet
      weight += Weight(u);
      outstanding += u.outstanding;
    }
    std::vector<Upstream*> best;
    int best_standing = only_good ? 1 : 12;
    for (Upstream* taker : takers) {
      const Upstream& u = *taker;
      // Where connecting takes long or fails, one without a connection is no better than a crowded one.
      const bool crowded = u.outstanding + 1 > kCrowdSlack + 0.5 + outstanding * Weight(u) / weight ||
                           (connecting_.value > kHardToConnect && !HasConnection(u));
      const bool unconnected = !HasConnection(u) && (LocalFailures(r) > 0 || now_ < u.connects_again);
      const int standing = (unconnected ? 6 : 0) + (Tried(r, u) ? 3 : 0) + (Suspect(u) ? 2 : crowded ? 1 : 0);
      if (standing < best_standing) best.clear();
      if (standing > best_standing) continue;
      best_standing = standing;
      best.push_back(taker);
    }
    return best.empty() ? nullptr : Rotate(best).shared_from_this();
  }

  Upstream& Rotate(const std::vector<Upstream*>& candidates) {
    double sum = 0;
    Upstream* best = candidates.front();
    for (const Upstream* u : candidates) sum += Weight(*u);
    for (Upstream* u : candidates) {
      // One that was not among the candidates for long comes from a turn of another length.
      u->credit = std::clamp(u->credit, -sum, sum) + Weight(*u);
      if (u->credit > best->credit) best = u;
    }
    best->credit -= sum;
    return *best;
  }

  bool Near(const Upstream& u) const { return u.info.zone == settings_.zone; }

  // ---- Attempts ----

  // May this be sent again (or for the first time), to whatever upstream?
  bool MaySendAnywhere(const Request& r) const {
    if (r.ended || r.streaming || r.spent || (r.passing && AnyOut(r))) return false;
    if (!r.open && now_ >= r.deadline) return false;
    if (!AttemptLeft(r, settings_.limits.max_attempts, true)) return false;
    for (const Attempt& a : r.attempts) {
      if (a.outcome && ProvesNotRun(*a.outcome)) continue;
      if (!a.outcome && !settings_.limits.hedging_allowed) return false;
      if (r.cls->idempotency == Idempotency::kNotIdempotent) return false;
      // Repeats are dropped only while the upstreams remember the key. Half the window is left to begin and
      // for the way there.
      if (r.cls->idempotency == Idempotency::kIdempotencyKey && now_ - a.sent >= r.cls->key_window / 2)
        return false;
    }
    return true;
  }

  // And to this upstream? The one gate to every attempt.
  bool MaySend(const Request& r, const Upstream& upstream) const {
    if (!MaySendAnywhere(r)) return false;
    if (!AttemptLeft(r, settings_.limits.max_attempts, HasConnection(upstream))) return false;
    for (const Attempt& a : r.attempts) {
      if (a.outcome && ProvesNotRun(*a.outcome)) continue;
      if (r.cls->idempotency != Idempotency::kIdempotencyKey) continue;
      // Repeats are dropped only among the upstreams that know the key.
      const UpstreamInfo& first = a.upstream->info;
      const UpstreamInfo& next = upstream.info;
      if (r.cls->key_scope == KeyScope::kZone && first.zone != next.zone) return false;
      if (r.cls->key_scope == KeyScope::kCell && first.cell != next.cell) return false;
    }
    return true;
  }

  // A copy whose connection comes up late must not begin when the first that may have run is about forgotten.
  Duration BeginWithin(const Request& r) const {
    Duration within = Duration::max();
    if (r.cls->idempotency != Idempotency::kIdempotencyKey) return within;
    for (const Attempt& a : r.attempts) {
      if (a.outcome && ProvesNotRun(*a.outcome)) continue;
      within = std::min(within, Duration(a.sent + r.cls->key_window * 3 / 4 - now_));
    }
    return within;
  }

  bool MayRefuse(const Request& r) const {
    if (r.cls->idempotency == Idempotency::kIdempotent) return true;
    if (r.cls->idempotency == Idempotency::kIdempotencyKey && r.cls->key_scope == KeyScope::kAll) return true;
    return std::ranges::all_of(r.attempts, [](auto& a) { return a.outcome && ProvesNotRun(*a.outcome); });
  }

  Duration Timeout(const Request& r) const {
    const Duration left = r.deadline - (r.open ? r.arrived : now_);
    // Where a late answer has a worth it is waited for: given up at its aim, all the work on it would be lost
    // and begun anew, and in an overload that is most of what the upstreams do.
    if (r.cls->late_priority_weight > 0) return left;
    // What else may be repeated is given up at its aim: another upstream may have time for it, or it is worth
    // nothing.
    const TimePoint latency_objective = r.arrived + r.cls->latency_objective;
    // Under overload also what may not be repeated: kept past its aim it is worth nothing and holds up the
    // rest.
    const bool give_up = r.cls->idempotency != Idempotency::kNotIdempotent ||
                         (r.cls->late_priority_weight <= 0 && limit_ < kNoLimit);
    if (give_up && r.open) return std::min(left, r.cls->latency_objective);
    if (give_up && now_ < latency_objective) return std::min(left, Duration(latency_objective - now_));
    return left;
  }

  bool Send(Request& r) {
    UpstreamPtr pick = Pick(r);
    if (!pick) return false;
    // A crossing's price has to be earned by a call less likely late. A far one hardly met is taken to be
    // good.
    const bool weigh = asks_ == 1 && settings_.decision_costs.cross_zone > 0 && !Near(*pick);
    const UpstreamPtr near = weigh ? Pick(r, true, true) : nullptr;
    if (near && Risk(*near) < Risk(*pick, 0) + settings_.decision_costs.cross_zone * kCrossingGain)
      pick = near;
    r.asked = {{pick}};
    const std::size_t asks = asks_ == 1 && Risk(*pick) > ask_price_ ? kAsksAtRisk : asks_;
    while (r.asked.size() < asks) {
      // Where crossing zones has its price the next one is near; a third anywhere, as near ones jam together.
      const bool second = settings_.decision_costs.cross_zone > 0 && r.asked.size() == 1;
      UpstreamPtr next = second ? Pick(r, true, true) : nullptr;
      if (!next || Tried(r, *next)) next = Pick(r);
      if (!next || Tried(r, *next)) break;  // there is no other
      r.asked.push_back({next});
    }
    if (r.asked.size() == 1) {
      r.asked.clear();
      SendTo(r, pick, false);
      return true;
    }
    // One answer serves all that wait for it: a burst would open a connection for each probe.
    for (const Asked& a : r.asked)
      if (!std::exchange(a.upstream->asked, true)) Emit(SendLoadProbe{a.upstream->info.id, trusted_idle_});
    asking_.push_back(r.id);
    Wake(r, now_ + Scaled(settings_.limits.connect_timeout, kAskPatience));
    return true;
  }

  // How likely a call to it is late, by what this sidecar saw of it lately and, as far as that is little, of
  // all. Where probes are dear only what costs more than one is asked for its load.
  double Risk(const Upstream& u, double others = 1) const {
    const Fading all = all_late_.By(now_, LateMemory());
    const Fading own = u.late.By(now_, LateMemory());
    return (own.sum + others * Share(all)) / (own.samples + 1);
  }

  Duration LateMemory() const { return settings_.fleet_limits.slow_start_duration / 2; }

  // Of the upstreams asked, the one that holds the least for what it can do. Guards against queues that a
  // sidecar with a trickle does not see: they are other sidecars' calls.
  void Decide(Request& r) {
    const std::vector<Asked> asked = std::exchange(r.asked, {});
    std::erase(asking_, r.id);
    if (r.ended || r.streaming) return;
    UpstreamPtr best;
    double least = 0, held = 0;
    bool jammed = false;
    const double mean =
        members_.listed_weight().value() / static_cast<double>(std::max<std::size_t>(1, members_.size()));
    for (const Asked& a : asked) {
      Upstream& u = *a.upstream;
      if (!a.held || !MayTake(u) || !MaySend(r, u)) continue;
      // Holds more than it serves within the aim: a call would be late and keep it jammed.
      const double late = Expected(u, *a.held, r.cls_index) / Seconds(r.cls->latency_objective);
      const bool jam = a.served > 0 ? *a.held > a.served * kHoldFor * Seconds(r.cls->latency_objective)
                                    : late > kHoldFor && usual_load_.samples >= kKindPrior;
      // About how likely it is late, against a crossing's price. One put back is to be seen in use again.
      const double far = Near(u) ? 0 : settings_.decision_costs.cross_zone;
      const bool unmet = u.put_back && u.calls + u.outstanding < 1;
      const double load = unmet ? 0 : std::pow(late * mean / u.info.weight, 2) + far;
      jammed |= jam;
      if (!jam && (!best || load < least)) best = a.upstream, least = load, held = *a.held + 1;
    }
    if (jammed && !best) SayRefusing("overload, upstreams hold more than they can serve in time");
    if (!jammed && !best) best = Pick(r);
    if (best) return SendTo(r, best, false, held);
    if (!AnyOut(r)) Finish(r);
  }

  // The time of an answer from one that says it holds so many: as its answers took, by what it held for them.
  double Expected(const Upstream& u, double held, std::size_t cls) const {
    const double then = (kKindPrior * std::max(1.0, usual_load_.value) + u.held.samples * u.held.value) /
                        (kKindPrior + u.held.samples);
    return Seconds(UsualTime(cls)) * Slowness(u) / Warmth(u) * (held + 1) / then;
  }

  void On(const LoadProbeFinished& e) {
    const UpstreamPtr u = members_.Find(e.upstream.value);
    if (!u) return;
    u->asked = false;
    // No answer to as little as this is a failure.
    if (e.outcome == Outcome::kConnectFailed || e.outcome == Outcome::kTimeout) ++u->failure_run;
    members_.Watch(*u);
    const std::vector<RequestId> asking = asking_;
    for (const RequestId id : asking)
      for (Asked& a : Find(id)->asked)
        if (a.upstream == u) a = {a.upstream, true, e.load.in_flight, e.load.rate.value_or(0)};
    for (const RequestId id : asking) {
      Request* r = Find(id);
      if (r != nullptr && !r->asked.empty() && std::ranges::all_of(r->asked, &Asked::answered)) Decide(*r);
    }
  }

  void SendTo(Request& r, const UpstreamPtr& upstream, bool trial, double held = 0) {
    Upstream& u = *upstream;
    if (Warmth(u) < 1) u.cold_budget -= 1;
    if (trial) u.on_trial = true;
    for (const RequestId id : asking_)  // what they were told did not count this one
      for (Asked& a : Find(id)->asked)
        if (a.upstream == upstream && a.held) ++*a.held;
    const Duration idle_for = now_ - u.idle_since;
    if (u.idle > 0 && idle_for > trusted_idle_) {
      Emit(CloseIdleConnections{u.info.id});
      u.idle = 0;
    }
    const bool connects = !HasConnection(u);
    if (u.idle > 0) --u.idle;
    const Duration begin_within = BeginWithin(r);
    r.attempts.push_back({upstream, now_, trial, connects, idle_for, held});
    if (!r.open) Hold(r.attempts.back());
    Emit(SendAttempt{r.id, u.info.id, Timeout(r), trusted_idle_, begin_within});
  }

  // A copy of a call that may be repeated tries out an ejected or suspect upstream; the client does not
  // depend on it. Where nothing else stands the call itself is the trial: refusing all is the worst outcome.
  bool Try(Request& r) {
    if (!settings_.limits.hedging_allowed && !r.attempts.empty()) return false;
    if (r.cls->idempotency == Idempotency::kNotIdempotent) return false;
    for (Upstream* u : members_.Watched()) {
      if (!u->ejected && u->failure_run == 0 && u->outstanding == 0) continue;  // no suspect
      if (Tried(r, *u) || !MayTake(*u, true) || !MaySend(r, *u)) continue;
      SendTo(r, u->shared_from_this(), true);
      return true;
    }
    return false;
  }

  void On(const RequestArrived& e) {
    const auto cls = static_cast<std::size_t>(e.request_class);
    if (cls >= settings_.classes.size()) return;
    const auto [it, is_new] = requests_.try_emplace(e.request);
    if (!is_new) return;
    Request& r = it->second;
    r.id = e.request;
    r.cls = &settings_.classes[cls];
    r.cls_index = cls;
    r.arrived = now_;
    r.deadline = e.deadline;
    r.client_retry = e.client_retry;
    r.passing = r.open = e.body_pending;
    ++arrivals_;
    retry_budget_ = std::min(kRetryBurst, retry_budget_ + kRetryBudget);
    if (!r.open) Wake(r, r.deadline);
    Advance(r);
    if (!r.open) LookAgain(r);
  }

  void On(const RequestCompleted& e) {
    Request* r = Find(e.request);
    if (r == nullptr || r->ended || !std::exchange(r->open, false)) return;
    r->arrived = now_;
    r->deadline = e.deadline;
    Wake(*r, r->deadline);
    for (Attempt& a : r->attempts)
      if (!a.outcome) Hold(a);
  }

  void LookAgain(Request& r) {
    r.late_at = now_ + Scaled(UsualTime(r.cls_index), kLate);
    const bool may = r.cls->idempotency != Idempotency::kNotIdempotent && settings_.limits.hedging_allowed;
    if (!r.ended && may && r.late_at < r.deadline) Wake(r, r.late_at);
  }

  void Wake(const Request& r, TimePoint at) {
    const std::uint64_t token = ++last_token_;
    timers_.emplace(token, r.id);
    Emit(SetTimer{at, token});
  }

  // Further attempts are paid from the retry budget, so that they never feed an overload, but the first ones
  // after a proof that nothing ran. What can no longer be in time for any worth is not tried again either.
  bool WorthAnother(const Request& r) {
    if (r.attempts.empty()) return true;
    if (!r.open && r.cls->late_priority_weight <= 0 && now_ >= r.arrived + r.cls->latency_objective)
      return false;
    const auto& last = r.attempts.back().outcome;
    if (last && ProvesNotRun(*last) && (NeverLeft(*last) || r.attempts.size() <= kFreeRepeats)) return true;
    if (retry_budget_ < 1) return false;
    retry_budget_ -= 1;
    return true;
  }

  // A client's repeat where many answers are late is late itself: its first try came an aim or more ago.
  // Another attempt where one helps and is allowed, else the final answer. Nothing to do while one is out.
  void Advance(Request& r) {
    if (r.ended || r.streaming || AnyOut(r) || !r.asked.empty()) return;
    const bool first = r.attempts.empty();
    const bool behind = r.client_retry && Share(all_late_.By(now_, LateMemory())) > kTooManyLate;
    if (first && (behind || !Admit(r))) {
      SayRefusing("overload, answers come late");
      return Finish(r);
    }
    if (WorthAnother(r) && Send(r)) {
      if (first) Try(r);
      return;
    }
    if (first && Try(r)) return;
    if (first) SayRefusing("no upstream can take a call");
    Finish(r);
  }

  // A second copy of a call that is late against what is usual: guards against hangs and pauses. Never onto
  // an upstream that is no better.
  void SecondCopy(Request& r) {
    if (r.ended || r.streaming || !AnyOut(r) || retry_budget_ < 1) return;
    if (now_ < r.late_at) return;
    // Where its upstream answers others it is long in work: elsewhere too, and a cancel may stop nothing.
    for (const Attempt& a : r.attempts)
      if (!a.outcome && !Suspect(*a.upstream)) return LookAgain(r);
    if (held_ > 1 && held_ > limit_ * kSheddingFrom) return;
    const UpstreamPtr pick = Pick(r, true);
    if (!pick) return;
    retry_budget_ -= 1;
    SendTo(r, pick, false);
  }

  void On(const ResponseStarted& e) {
    Request* r = Find(e.request);
    Attempt* attempt = r == nullptr ? nullptr : AttemptOf(*r, e.attempt);
    if (attempt == nullptr || r->ended || r->streaming || attempt->outcome) return;
    r->streaming = attempt->answering = true;
    Account(*r, *attempt, Outcome::kServed, now_ - attempt->sent);
    for (std::size_t i = 0; i < r->attempts.size(); ++i) {
      if (i != static_cast<std::size_t>(e.attempt)) Cancel(*r, i);
    }
  }

  void On(const AttemptFinished& e) {
    Request* r = Find(e.request);
    Attempt* attempt = r == nullptr ? nullptr : AttemptOf(*r, e.attempt);
    if (attempt == nullptr || attempt->outcome) return;
    attempt->outcome = e.outcome;
    attempt->idle_for = e.connection_idle_for.value_or(attempt->idle_for);
    r->spent |= e.body_consumed;
    if (!attempt->answering) {
      Account(*r, *attempt, e.outcome, e.elapsed);
    } else if (IsFailure(e.outcome)) {
      Judge(*attempt->upstream, *attempt, e.outcome);
    }
    if (e.response_delivered) {
      End(*r);
    } else if (attempt->answering) {
      Finish(*r);  // a broken stream that the sidecar still wants an answer for
    } else {
      Advance(*r);
    }
    Forget(e.request);
  }

  // What an attempt tells: once, at its end or where its answer begins.
  void Account(Request& r, Attempt& a, Outcome outcome, Duration elapsed) {
    Upstream& u = *a.upstream;
    CountLate(r, u, outcome, elapsed);
    Release(a);
    LearnConnecting(u, a, r.cls_index, outcome, elapsed);
    LearnTime(u, a, r.cls_index, outcome, elapsed);
    Judge(u, a, outcome);
    if (outcome == Outcome::kServed) ++served_;
  }

  void On(const RequestCancelled& e) {
    if (Request* r = Find(e.request)) End(*r);
    Forget(e.request);
  }

  // ---- Admission and the final answer ----

  // Guards against an overload, whatever its cause: what cannot be answered in time is refused while that is
  // harmless and cheap, so that the rest is in time. Below the limit everything is taken.
  bool Admit(const Request& r) {
    double& share = admitted_[r.cls_index];
    double best = 0;
    for (std::size_t c = 0; c < settings_.classes.size(); ++c) best = std::max(best, WorthForTime(c));
    const double rank = best > 0 ? WorthForTime(r.cls_index) / best : 1;
    const double mine = share < kClassFloor ? 1 : kSheddingFrom + (1 - kSheddingFrom) * rank;
    // The limit is a fraction for a trickle: in sum a thousand that take every second call are a limit too.
    const bool admit = held_ + Uniform() < limit_ * mine;
    share += ((admit ? 1 : 0) - share) / kUsualMemory;
    return admit;
  }

  double WorthForTime(std::size_t cls) const {
    return settings_.classes[cls].priority_weight / static_cast<double>(UsualTime(cls).count());
  }

  // Lateness of a cold, suspect or ejected upstream is its own trouble, unless such ones are the most.
  bool Telling(const Upstream& u) const { return !u.ejected && Warmth(u) >= 1 && !Suspect(u); }

  void CountLate(const Request& r, Upstream& u, Outcome outcome, Duration elapsed) {
    const bool late = outcome != Outcome::kServed || elapsed > Scaled(r.cls->latency_objective, kLateFrom);
    if (outcome != Outcome::kCancelled && !NeverLeft(outcome))
      for (Fading* share : {&u.late, &all_late_}) share->Add(late, now_, LateMemory());
    if (!Telling(u) && 2 * telling_weight_ > serving_weight_) return;
    if (outcome != Outcome::kServed && outcome != Outcome::kTimeout && outcome != Outcome::kRejected) return;
    if (outcome == Outcome::kTimeout && !Loaded(u)) return;
    ++timely_or_not_;
    late_ += late;
  }

  // What the upstreams that can take calls hold ordinarily is not what makes them late: cutting below it
  // would refuse for nothing when the whole fleet is slow.
  void UpdateLimit() {
    WeightSum telling = members_.listed_weight(), able = telling;
    for (const Upstream* u : members_.Watched()) {  // all others tell, and are able to take calls
      if (u->info.state != UpstreamState::kServing) continue;
      if (!Telling(*u)) telling.Subtract(u->info.weight);
      able.Subtract(u->info.weight);
      if (!u->ejected) able.Add(u->info.weight * Warmth(*u));
    }
    serving_weight_ = members_.listed_weight().value();
    telling_weight_ = telling.value();
    able_weight_ = able.value();
    const bool in_time = late_ <= kTooManyLate / 2 * timely_or_not_;
    if (in_time && able_weight_ > 0) usual_held_ += (held_ / able_weight_ - usual_held_) / kSlownessMemory;
    if (timely_or_not_ < kLateSample && late_ < kLateSample / 4) return;
    const double late = late_ / timely_or_not_;
    late_ = timely_or_not_ = 0;
    if (late > kTooManyLate) {
      const double floor = std::max(kLeastLimit, usual_held_ * able_weight_);
      limit_ = std::max(floor, std::min(limit_, peak_held_) * (1 - kLimitCut * late));
    } else if (late <= kTooManyLate && peak_held_ > limit_ * kSheddingFrom) {
      limit_ += std::max(1.0, limit_ * kLimitGrowth);
    } else if (late <= kTooManyLate && peak_held_ < limit_ / 2) {
      limit_ = kNoLimit;
    }
    peak_held_ = held_;
  }

  void SayRefusing(const std::string& why) {
    if (!refusing_) Say("refusing: " + why);
    refusing_ = true;
    refused_at_ = now_;
  }

  // Give the final answer: a refusal where it is true that nothing was done or that repeating is harmless,
  // else a failure. The one way out but for a served answer.
  void Finish(Request& r) {
    if (r.ended) return;
    if (MayRefuse(r)) {
      // A call given up at its aim or in an overload gains nothing by a repeat that comes sooner: it would be
      // late or refused too, and all sidecars' repeats together keep the overload up.
      const Duration wait = Scaled(settings_.limits.max_retry_after, 1 - kRetrySpread * Uniform());
      Emit(RejectRequest{r.id, settings_.limits.send_retry_after ? wait : Duration::zero()});
    } else {
      Emit(FailRequest{r.id});
    }
    End(r);
  }

  // Nothing more is sent for it from here on; what is still out is called off.
  void End(Request& r) {
    r.ended = true;
    std::erase(asking_, r.id);
    for (std::size_t i = 0; i < r.attempts.size(); ++i) Cancel(r, i);
  }

  void Cancel(const Request& r, std::size_t attempt) {
    if (r.attempts[attempt].outcome || !settings_.limits.cancellation_allowed) return;
    if (r.attempts[attempt].trial) return;  // its outcome is what it was sent for
    Emit(CancelAttempt{r.id, AttemptId{attempt}});
  }

  // ---- Slow start ----

  // The least share of its capacity that an upstream has by now: an even rise from the cold share to the
  // full.
  double Warmth(const Upstream& u) const {
    const auto started = std::max(u.info.started, u.put_back);
    if (!started) return 1;
    const double age = Seconds(now_ - *started) / Seconds(settings_.fleet_limits.slow_start_duration);
    const double from = settings_.fleet_limits.slow_start_initial_share;
    return std::clamp(from + (1 - from) * age, from, 1.0);
  }

  // A cold upstream's calls are counted against what this sidecar usually sends a warm one of its weight. The
  // rotation already gives it less; the budget holds when others fail and push their calls onto it. It is
  // shared by those in whose subset it is, by its place on the ring alone; those beyond give kColdBeyond of
  // as much in sum and save nothing up: when its peers go, hundreds turn to it at once.
  bool HasColdBudget(Upstream& u) {
    const double warmth = Warmth(u);
    if (warmth >= 1) return true;
    const bool member = static_cast<double>(members_.PlaceOf(u)) < SubsetSize();
    const double usual = std::max(usual_served_, usual_rate_ / 2) * u.info.weight /
                         std::max(usual_weight_ * SubsetShare(), u.info.weight);
    const double rate = settings_.fleet_limits.overload_multiple * kColdSafety * warmth * usual *
                        (member ? 1 : SubsetShare() * kColdBeyond);
    const double window = Seconds(settings_.fleet_limits.overload_window);
    double since = Seconds(now_ - u.cold_refilled);
    const bool enters = member && !u.cold_member;
    if (enters || (!member && since > window / 2)) {
      u.cold_budget = std::min(enters ? u.cold_budget : 1, Uniform());
      since = std::min(since, window / 2);
    }
    u.cold_member = member;
    u.cold_budget = std::min(std::max(1.0, rate * window / 2), u.cold_budget + rate * since);
    u.cold_refilled = now_;
    if (u.cold_budget >= 1) return true;
    // The wait for it counts for its turn as well, or each call to it would wait twice.
    if (u.credit < 0) u.credit = std::min(0.0, u.credit + Weight(u));
    return false;
  }

  // ---- Timers and small helpers ----

  void On(const TimerFired& e) {
    if (e.token == kHousekeepingToken) return Housekeeping();
    const auto timer = timers_.find(e.token);
    if (timer == timers_.end()) return;
    const RequestId id = timer->second;
    Request* r = Find(id);
    timers_.erase(timer);
    if (r == nullptr) return;
    if (r->open || now_ < r->deadline) return r->asked.empty() ? SecondCopy(*r) : Decide(*r);
    if (!r->streaming) Finish(*r);
    Forget(id);
  }

  void Housekeeping() {
    Emit(SetTimer{now_ + kHousekeeping, kHousekeepingToken});
    UpdateUsual(kHousekeeping, settings_.fleet_limits.slow_start_duration);
    members_.CountAnew();
    UpdateLimit();
    trusted_idle_ = std::min(Scaled(trusted_idle_, kTrustGrowth), settings_.limits.idle_close);
    if (refusing_ && now_ - refused_at_ > kSpell) refusing_ = false, Say("taking calls again");
    for (Upstream* u : members_.Watched()) ReturnIfServed(*u);
    members_.StopWatching([this](const Upstream& u) {
      return !u.ejected && u.failure_run == 0 && u.outstanding == 0 && Warmth(u) >= 1;
    });
    if (ask_again_at_ && now_ >= *ask_again_at_) {
      ask_again_at_.reset();
      Emit(Subscribe{});
    }
  }

  // Raw engine output: the standard's distributions differ between libraries.
  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

  template <typename T>
  void Emit(T action) {
    out_->emplace_back(std::move(action));
  }
  void Say(std::string text) { Emit(LogLine{std::move(text)}); }

  const Settings settings_;
  std::mt19937_64 random_;
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::Handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}

std::size_t Balancer::upstreams_visited() const { return impl_->UpstreamsVisited(); }

}  // namespace lb
