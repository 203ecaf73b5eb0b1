// What the lab's faults and rules see: each check has to fail where its rule is broken.
#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "lab/measure/fleet_rules.h"
#include "lab/model/scheduler.h"
#include "lab/real/discovery_server.h"
#include "lab/real/http_load.h"
#include "lab/real/process.h"
#include "lab/real/real_fleet.h"
#include "lab/real/sidecar_operator.h"
#include "lab/real/stalled_clients.h"
#include "lab/real/wall_clock.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"
#include "sidecar/clock.h"

namespace lb::lab {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using lb::UpstreamState;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kPatience = seconds(20);

// ---- The rules ----

struct Fleet {
  Experiment experiment = ParseExperiment(R"(
name = "rules"
clock = "real"
sizes = [3]
[[class]]
name = "read"
mean_work_ms = 100
aim_ms = 500
deadline_ms = 1000
[upstreams]
cold_from = 0.5
cold_s = 10
)",
                                          "rules.toml");
  Deployment deployment = MakeDeployment(experiment, 3);
  lb::Settings settings = SidecarSettings(experiment, deployment, deployment.sidecars[0]);
  FleetRules rules{experiment, deployment, settings};
  TimePoint start{seconds(1000)};

  MembershipEntry Entry(std::size_t upstream, UpstreamState state, std::int64_t boot_ms = 0) const {
    MembershipEntry entry;
    entry.id = deployment.upstreams[upstream].id;
    entry.state = state;
    entry.boot_ms = boot_ms;
    return entry;
  }
};

TEST(FleetRules, CountsAttemptsAtADrainingUpstreamOnceTheGraceIsOver) {
  Fleet fleet;
  const Duration allowed = fleet.settings.fleet_limits.drain_grace + kDrainSlack + kArrivalMargin;
  fleet.rules.Told(0, fleet.Entry(1, UpstreamState::kDraining), fleet.start);
  fleet.rules.Told(0, fleet.Entry(1, UpstreamState::kGone), fleet.start + seconds(1));
  const auto late_after = [&](std::size_t sidecar, std::size_t upstream, Duration after) {
    const auto before = fleet.rules.counters().late_to_draining;
    fleet.rules.Attempted(sidecar, upstream, milliseconds(1), fleet.start + after);
    return fleet.rules.counters().late_to_draining - before;
  };
  EXPECT_EQ(late_after(0, 1, allowed), 0u);
  EXPECT_EQ(late_after(0, 1, allowed + milliseconds(1)), 1u);
  EXPECT_EQ(late_after(1, 1, seconds(5)), 0u) << "that sidecar was not told";
  EXPECT_EQ(late_after(0, 2, seconds(5)), 0u) << "that upstream serves";
  fleet.rules.Told(0, fleet.Entry(1, UpstreamState::kServing, 1), fleet.start + seconds(6));
  EXPECT_EQ(late_after(0, 1, seconds(7)), 0u) << "it is back";
}

// An upstream of two cores and 100 ms a request: 20 a second when warm, half of it at the start.
TEST(FleetRules, CountsTheFirstFallOfAColdUpstreamThatIsTheFaultOfThoseWhoKnew) {
  EXPECT_DOUBLE_EQ(SlowStartBudget(25), 25 + 15 + 3);
  EXPECT_DOUBLE_EQ(SlowStartBudget(36), 36 + 12 + 2);
  struct {
    const char* what;
    double shares_of_budget;  // sent within a tenth of a second
    std::size_t unknowing_of_ten;
    Duration after;  // the start
    std::uint64_t overloads;
  } const cases[] = {{"within the budget", 0.8, 0, {}, 0},
                     {"over it", 3, 0, {}, 1},
                     {"over it, mostly from those who could not know", 3, 5, {}, 0},
                     {"warm again", 3, 0, seconds(11), 0}};
  for (const auto& c : cases) {
    Fleet fleet;
    fleet.rules.Started(2, fleet.start);
    fleet.rules.Told(0, fleet.Entry(2, UpstreamState::kServing, 1), fleet.start);
    const UpstreamInstance& upstream = fleet.deployment.upstreams[2];
    const double allowed = fleet.settings.fleet_limits.overload_multiple * upstream.kind->cores *
                           upstream.speed * 10 * fleet.settings.fleet_limits.slow_start_initial_share;
    const int attempts = static_cast<int>(c.shares_of_budget * SlowStartBudget(allowed));
    for (int i = 0; i < attempts; ++i) {
      const std::size_t sidecar = static_cast<std::size_t>(i) % 10 < c.unknowing_of_ten ? 1 : 0;
      fleet.rules.Attempted(sidecar, 2, milliseconds(100),
                            fleet.start + c.after + milliseconds(100) * i / attempts);
    }
    EXPECT_EQ(fleet.rules.counters().cold_overloads, c.overloads) << c.what;
  }
}

TEST(SidecarOperator, KillsADeadlineAndALittleAfterSigterm) {
  EXPECT_EQ(ShutdownTime(milliseconds(400)), milliseconds(1100));
  EXPECT_EQ(ShutdownTime(seconds(20)), milliseconds(3700));
}

// ---- Clients ----

// A stand-in for a sidecar on loopback. `on_request` is told of each connection whose head has come, and may
// write to it, close it or keep it.
class Peer {
 public:
  using Connection = std::shared_ptr<tcp::socket>;

  explicit Peer(std::function<void(Connection)> on_request) : on_request_(std::move(on_request)) { Accept(); }

  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  bool RunUntil(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!condition() && std::chrono::steady_clock::now() < end) io.run_one_for(milliseconds(20));
    return condition();
  }

  void Read(const Connection& connection) {
    const auto text = std::make_shared<std::string>();
    boost::asio::async_read_until(*connection, boost::asio::dynamic_buffer(*text), "\r\n\r\n",
                                  [this, connection, text](error_code error, std::size_t) {
                                    if (!error) on_request_(connection);
                                  });
  }

  // Answers, and reads the next request.
  void Answer(const Connection& connection) {
    static constexpr std::string_view kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(*connection, boost::asio::buffer(kAnswer));
    Read(connection);
  }

  boost::asio::io_context io;
  std::set<Connection> open;

 private:
  void Accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      const auto connection = std::make_shared<tcp::socket>(std::move(socket));
      open.insert(connection);
      Read(connection);
      Accept();
    });
  }

  std::function<void(Connection)> on_request_;
  tcp::acceptor acceptor_{io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
};

TEST(StalledClients, CountsThoseThatNobodyEnds) {
  Peer silent([](const Peer::Connection&) {});
  RealScheduler scheduler(silent.io);
  StalledClients clients(silent.io, scheduler);
  for (const StallPoint point : {StallPoint::kRequestLine, StallPoint::kHeaders, StallPoint::kBody}) {
    clients.Begin(silent.endpoint(), "read", point);
  }
  const TimePoint begun = sidecar::Now();
  ASSERT_TRUE(silent.RunUntil([&] { return clients.open() == 0; }));
  EXPECT_GE(sidecar::Now() - begun, kStalledClientLimit);
  const StalledClientCounters counters = clients.Take();
  EXPECT_EQ(counters.begun, 3u);
  EXPECT_EQ(counters.unanswered, 3u);
  EXPECT_EQ(counters.in_time, 0u);
}

TEST(StalledClients, AnAnswerOrACloseInTimeIsEnough) {
  Peer peer([](const Peer::Connection&) {});
  RealScheduler scheduler(peer.io);
  StalledClients clients(peer.io, scheduler);
  clients.Begin(peer.endpoint(), "read", StallPoint::kHeaders);
  clients.Begin(peer.endpoint(), "read", StallPoint::kBody);
  ASSERT_TRUE(peer.RunUntil([&] { return peer.open.size() == 2; }));
  boost::asio::write(**peer.open.begin(),
                     boost::asio::buffer(std::string("HTTP/1.1 408 Request Timeout\r\n\r\n")));
  (*peer.open.rbegin())->close();
  ASSERT_TRUE(peer.RunUntil([&] { return clients.open() == 0; }));
  EXPECT_EQ(clients.Take().in_time, 2u);
}

// What a load counts of a sidecar that does `on_request`.
LoadWindow Play(const std::function<void(Peer&, const Peer::Connection&)>& on_request, Duration listens_on,
                std::size_t requests = 5) {
  Peer* itself = nullptr;
  Peer peer([&](const Peer::Connection& connection) { on_request(*itself, connection); });
  itself = &peer;
  RealScheduler scheduler(peer.io);
  ClassSpec spec;
  spec.name = "read";
  spec.mean_work = milliseconds(1);
  spec.latency_objective = spec.deadline = milliseconds(600);
  ClientSpec clients;
  clients.retries = 0;
  clients.try_share = 1;
  clients.listens_on = listens_on;
  const std::vector<ClassSpec> classes = {spec};
  HttpLoad load(peer.io, scheduler, clients, classes, {{peer.endpoint(), 50, 0}}, 1);
  load.Start();
  EXPECT_TRUE(peer.RunUntil([&] { return load.begun() >= requests; }));
  load.Stop();
  EXPECT_TRUE(peer.RunUntil([&] { return load.under_way() == 0; }));
  return load.Take();
}

TEST(DroppedRequests, AreThoseThatAreNeverAnsweredOrClosedUnanswered) {
  const auto close = [](Peer&, const Peer::Connection& connection) { connection->close(); };
  const auto keep = [](Peer&, const Peer::Connection&) {};
  const auto answer = [](Peer& peer, const Peer::Connection& connection) { peer.Answer(connection); };
  const LoadWindow closed = Play(close, milliseconds(100));
  EXPECT_EQ(closed.dropped, closed.traffic.requests);
  const LoadWindow silent = Play(keep, milliseconds(100));
  EXPECT_EQ(silent.dropped, silent.traffic.requests);
  EXPECT_EQ(silent.unanswered, silent.traffic.requests);
  EXPECT_EQ(Play(keep, {}).dropped, 0u) << "clients that leave at their time are owed nothing";
  EXPECT_EQ(Play(answer, milliseconds(100)).dropped, 0u);
}

TEST(DroppedRequests, AreNotThoseThatAreAnsweredWhileTheirClientListensOn) {
  // Behind the client's time of 600 ms, well within the 5 s that it listens on.
  const auto late = [](Peer& peer, const Peer::Connection& connection) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(peer.io, milliseconds(700));
    timer->async_wait([&peer, connection, timer](error_code) { peer.Answer(connection); });
  };
  const LoadWindow window = Play(late, seconds(5));
  EXPECT_EQ(window.unanswered, window.traffic.requests);
  EXPECT_EQ(window.dropped, 0u);
}

TEST(DroppedRequests, AreThoseReadOnARestingConnectionAndClosedMuchLater) {
  // Each connection is answered once; its second request is held, and closed 400 ms later.
  std::set<const tcp::socket*> answered;
  const auto hold = [&](Peer& peer, const Peer::Connection& connection) {
    if (answered.insert(connection.get()).second) return peer.Answer(connection);
    const auto timer = std::make_shared<boost::asio::steady_timer>(peer.io, milliseconds(400));
    timer->async_wait([connection, timer](error_code) { connection->close(); });
  };
  const LoadWindow window = Play(hold, milliseconds(100), 20);
  EXPECT_GT(window.dropped, 0u);
}

// ---- A real sidecar ----

// What the upstreams see of it reaches the rules: here the rules were told of drains and a start that it was
// not.
TEST(RealSidecar, ThatSendsTooLateToDrainingUpstreamsAndTooMuchToAColdOneIsSeen) {
  Experiment experiment = Fleet().experiment;
  experiment.sidecars.real = 1;
  experiment.sidecars_per_upstream = 0.34;  // one
  experiment.load.per_upstream = 15;
  experiment.upstreams.slow_start_initial_share =
      1;  // a cold one answers as fast as any, but the rules allow it little
  const Deployment deployment = MakeDeployment(experiment, 3);
  const SidecarInstance& real = *std::find_if(deployment.sidecars.begin(), deployment.sidecars.end(),
                                              [](const SidecarInstance& s) { return s.real; });
  lb::Settings settings = SidecarSettings(experiment, deployment, real);
  settings.fleet_limits.slow_start_initial_share = 0.001;
  settings.fleet_limits.slow_start_duration = seconds(1000);
  FleetRules rules(experiment, deployment, settings);
  HttpUpstreamOptions options;
  options.on_start = [&](std::size_t upstream, TimePoint at) { rules.Started(upstream, at); };
  options.on_attempt = [&](const ArrivedAttempt& attempt) {
    ASSERT_EQ(attempt.sidecar, real.index);
    rules.Attempted(*attempt.sidecar, attempt.upstream, attempt.work, attempt.at);
  };
  RealFleet fleet(experiment, deployment, LB_SIDECAR_PROGRAM, options);
  std::vector<MembershipEntry> entries;
  for (const UpstreamInstance& upstream : deployment.upstreams) {
    MembershipEntry& entry = entries.emplace_back();
    entry.id = upstream.id;
    entry.zone = upstream.zone;
    entry.endpoint = fleet.UpstreamAddress(upstream.index);
  }
  DiscoveryServerOptions discovery_options;
  discovery_options.services.resize(deployment.sidecars.size());
  DiscoveryServer discovery(entries, discovery_options);
  fleet.StartSidecars(discovery, MembershipRegistry(entries));
  fleet.StartLoad();
  for (MembershipEntry& entry : entries) {
    entry.state = UpstreamState::kDraining;
    rules.Told(real.index, entry, sidecar::Now());
  }
  const auto await = [](const std::function<bool()>& condition) {
    const TimePoint end = sidecar::Now() + kPatience;
    while (!condition() && sidecar::Now() < end) std::this_thread::sleep_for(milliseconds(20));
    return condition();
  };
  EXPECT_TRUE(await([&] { return rules.counters().late_to_draining > 0; }));

  // Nor was it told that an upstream started anew.
  entries[0].state = UpstreamState::kServing;
  entries[0].boot_ms = 1;
  fleet.AtUpstreams([&](HttpUpstreams& upstreams) {
    upstreams.Crash(0);
    upstreams.Start(0);
    rules.Told(real.index, entries[0], sidecar::Now());
  });
  EXPECT_TRUE(await([&] { return rules.counters().cold_overloads == 1; }));
}

// What a program that is started in that environment takes for the Unix time, against the machine's.
double SecondsAhead(const std::map<std::string, std::string>& environment, const std::string& folder) {
  ProcessOptions options;
  options.program = "/bin/date";
  options.arguments = {"+%s"};
  options.environment = environment;
  options.log_file = folder + "/date.log";
  std::filesystem::remove(options.log_file);
  Process date(options);
  date.Wait();
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::stod(date.Log()) - std::chrono::duration<double>(now).count();
}

TEST(WallClock, IsSteppedInBothDirectionsForThoseWhoStartWithIt) {
  const TemporaryFolder folder;
  WallClock clock(folder.path() + "/clock");
  EXPECT_NEAR(SecondsAhead(clock.Environment(), folder.path()), 0, 20);
  clock.Step(seconds(3600));
  EXPECT_NEAR(SecondsAhead(clock.Environment(), folder.path()), 3600, 20);
  clock.Step(seconds(-7200));
  EXPECT_NEAR(SecondsAhead(clock.Environment(), folder.path()), -3600, 20);
  EXPECT_NEAR(SecondsAhead({}, folder.path()), 0, 20);
}

// ---- Discovery ----

// One call; what was answered, or nothing where the connection was refused or ended.
std::string Call(const tcp::endpoint& at, const std::string& target) {
  boost::asio::io_context io;
  tcp::socket socket(io);
  error_code error;
  socket.connect(at, error);
  const std::string request = "GET " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  if (!error) boost::asio::write(socket, boost::asio::buffer(request), error);
  std::string answer;
  if (!error) boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  return answer;
}

struct ToldLog {
  std::mutex mutex;
  std::vector<TimePoint> times;
  std::size_t count() {
    const std::lock_guard lock(mutex);
    return times.size();
  }
};

class ToldDiscovery : public ::testing::Test {
 public:
  ~ToldDiscovery() override { server_.reset(); }

 protected:
  ToldDiscovery() {
    entry_.id = "u";
    entry_.endpoint = "127.0.0.1:9";
    DiscoveryServerOptions options;
    options.notice_delay_s = {0, 0};
    options.services = {std::nullopt};
    options.on_told = [this](std::size_t, const MembershipEntry&, TimePoint at) {
      const std::lock_guard lock(log_.mutex);
      log_.times.push_back(at);
    };
    server_ = std::make_unique<DiscoveryServer>(std::vector<MembershipEntry>{entry_}, std::move(options));
  }

  // How long after it the change counts as told.
  Duration Change() {
    const std::size_t before = log_.count();
    entry_.weight += 1;
    const TimePoint begun = sidecar::Now();
    server_->Change(entry_);
    while (log_.count() == before && sidecar::Now() < begun + kPatience) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    const std::lock_guard lock(log_.mutex);
    return log_.times.size() > before ? log_.times[before] - begun : kPatience;
  }

  MembershipEntry entry_;
  ToldLog log_;
  std::unique_ptr<DiscoveryServer> server_;
};

TEST_F(ToldDiscovery, CountsWhatTheAgentHasAtOnceAndSixSecondsAfterASilence) {
  EXPECT_LT(Change(), seconds(2));
  server_->SilenceWatches();
  EXPECT_GT(Change(), seconds(4));
}

TEST_F(ToldDiscovery, AMovedAgentIsHeardAtTheNewAddressAloneAndCountsFourSecondsLater) {
  const auto before = server_->endpoint(0);
  const auto after = server_->Move(0);
  EXPECT_NE(before, after);
  EXPECT_EQ(Call(before, "/discovery/hosts"), "");
  const Duration told = Change();
  EXPECT_GT(told, seconds(2));
  EXPECT_LT(told, seconds(6));
  EXPECT_NE(Call(after, "/discovery/hosts").find("200 OK"), std::string::npos);
}

TEST_F(ToldDiscovery, SlowDiscoveryTurnsSomeAwayAndAnswersTheOthersInPieces) {
  server_->SetSlow(true);
  int whole = 0, refused = 0, closed = 0;
  for (int i = 0; i < 12; ++i) {
    const std::string answer = Call(server_->endpoint(0), "/discovery/hosts");
    if (answer.empty()) ++closed;
    if (answer.find(" 503 ") != std::string::npos) ++refused;
    if (answer.find("\"targets\"") != std::string::npos && answer.back() == '}') ++whole;
  }
  EXPECT_EQ(closed, 4);
  EXPECT_EQ(refused, 2);
  EXPECT_EQ(whole, 6);
}

// ---- Experiment files ----

TEST(FaultFiles, RefuseFaultsThatTheDeploymentCannotHave) {
  const std::string head =
      "name = \"f\"\nlength_s = 5\nsizes = [2]\n[[class]]\nname = \"a\"\n"
      "mean_work_ms = 1\naim_ms = 10\ndeadline_ms = 10\n[[fault]]\nat_s = 1\nkind = ";
  for (const char* fault : {"\"clients_stalled\"", "\"new_configurations\"",
                            "\"clock_stepped\"\nshare = 1\nstep_s = 1", "\"discovery_slow\"\nlasts_s = 1"}) {
    EXPECT_THROW(ParseExperiment(head + fault, "f.toml"), ExperimentError) << fault;
  }
  const Experiment experiment = ParseExperiment(head + "\"sidecars_stopped\"\nshare = 1", "f.toml");
  EXPECT_EQ(MakeDeployment(experiment, 2).faults[0].sidecars.size(), 2u);
}

}  // namespace
}  // namespace lb::lab
