// Follows discovery: the list and watch loop, and what a list says.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "balancer/balancer.h"
#include "nlohmann/json.hpp"
#include "settings/config.h"
#include "sidecar/clock.h"
#include "sidecar/log.h"
#include "sidecar/upstreams.h"

namespace lb::sidecar {

// One answer of discovery.
struct MembershipList {
  std::uint64_t revision = 0;
  lb::MembershipUpdate update;
  std::map<std::string, Location> locations;
};

// Throws std::exception, naming what is wrong with the list.
MembershipList ParseList(const nlohmann::json& body, const UnixClock& clock);

// What discovery has counts as told so long after it had it and could be reached, whether it came or not.
// Every way to miss a change and to ask anew has to stay inside this.
constexpr Duration kTold = std::chrono::seconds(6);

// An agent on this machine: a watch that says nothing or never ends, then a pause and a call.
constexpr Duration kAgentWatch = std::chrono::milliseconds(4500);
// So long a whole answer may take, once it has begun or where it is waited for beside the next call.
constexpr Duration kAgentPatience = std::chrono::milliseconds(1000);
constexpr Duration kMostSilence = std::chrono::milliseconds(150);  // of a call, and of a pause
static_assert(kAgentWatch + kAgentPatience + 3 * kMostSilence < kTold);

// The one service for all, that works through the calls in turn: a watch that fell silent as it began, then a
// short pause and a call; or a call in vain, the module's pause and another call.
constexpr Duration kServiceWatch = std::chrono::milliseconds(3000);
constexpr Duration kServiceWatchPatience = std::chrono::milliseconds(750);
constexpr Duration kServicePause = std::chrono::milliseconds(250);
constexpr Duration kServiceCall = std::chrono::milliseconds(2000);
static_assert(kServiceWatch + kServiceWatchPatience + kServicePause + kServiceCall <= kTold);
static_assert(kServiceCall + lb::kLongestPollPause + kServiceCall <= kTold);

// The wait after so many failures in a row: it grows up to `most`, and is not in step with what other
// sidecars wait that lost discovery at the same time. `chance`: from 0 to 1.
Duration PauseAfter(int failures, Duration most, double chance);

// How long an agent's silence is borne, so that a drain is heard within the grace for drains.
Duration SilencePatience(Duration drain_grace);

class Discovery {
 public:
  using OnList = std::function<void(MembershipList)>;
  using OnFailed = std::function<void()>;

  // Where membership is told on request, each failure is reported and the next Ask() waited for; else it asks
  // again by itself.
  Discovery(boost::asio::io_context& io, Endpoint endpoint, bool on_request, Duration drain_grace,
            const UnixClock& clock, Logger& log, std::uint64_t seed, OnList on_list, OnFailed on_failed);
  ~Discovery();

  // Asks for the list now and watches it from then on. Nothing to do where that is under way. `known` is the
  // version of a list that is held already: where membership is told on request it is watched from there.
  void Ask(std::optional<std::uint64_t> known = std::nullopt);
  // Changes over to another address at once: asks there for the whole list. The old list stands until then.
  void MoveTo(Endpoint endpoint);
  // Asks for the whole list at once, in place of what changes.
  void AskForAll() { MoveTo(endpoint_); }

 private:
  class Call;

  void Start();
  void StartIn(Duration wait);
  void Listen(Duration wait, std::size_t heard);
  static void Drop(std::shared_ptr<Call>& call);
  void Answered(Call& call, const std::string& body);
  void Failed(const Call& call, const std::string& why, bool answered = false);
  void AskAgain(const std::string& why, bool answered);

  boost::asio::io_context& io_;
  Endpoint endpoint_;
  const bool on_request_;
  const Duration silence_;
  const UnixClock& clock_;
  Logger& log_;
  const OnList on_list_;
  const OnFailed on_failed_;
  boost::asio::steady_timer pause_;
  boost::asio::steady_timer silent_;
  std::shared_ptr<Call> call_;
  std::shared_ptr<Call> late_;  // one given up for its silence, in case it is merely slow
  bool running_ = false;
  std::uint64_t turn_ = 0;                 // counts the calls, begun or planned: an older plan is void
  std::optional<std::uint64_t> revision_;  // absent: the whole list is needed
  TimePoint asked_;
  int failures_ = 0;
  std::string failure_;  // the last of them
  std::minstd_rand random_;
};

}  // namespace lb::sidecar
