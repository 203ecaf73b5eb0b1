// The discovery stand-in on real sockets: lists, watches, delivery with its faults, and the control clients.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "lab/measure/propagation_log.h"
#include "lab/model/membership.h"
#include "lab/real/control_client.h"
#include "lab/real/discovery_server.h"

namespace lb::lab {
namespace {

namespace http = boost::beast::http;
using lb::UpstreamState;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr auto kPatience = std::chrono::seconds(30);  // until an event that has to come

std::vector<MembershipEntry> SomeEntries(std::size_t count, std::size_t services = 1) {
  std::vector<MembershipEntry> entries;
  for (std::size_t index = 0; index < count; ++index) {
    MembershipEntry entry;
    entry.id = "u" + std::to_string(index);
    entry.service = index % services;
    entry.endpoint = "127.0.0.1:9";
    entry.zone = "r1-z1";
    entry.kind = "small";
    entries.push_back(entry);
  }
  return entries;
}

MembershipEntry Weighing(MembershipEntry entry, double weight) {
  entry.weight = weight;
  return entry;
}

// A sidecar's connection to its agent, one call at a time.
class Caller {
 public:
  explicit Caller(const lb::Endpoint& agent) : stream_(io_) { stream_.connect(agent); }

  void Send(const std::string& target, http::verb method = http::verb::get) {
    http::request<http::empty_body> request{method, target, 11};
    request.set(http::field::host, "discovery");
    http::write(stream_, request);
  }

  http::response<http::string_body> Receive() {
    http::response<http::string_body> response;
    http::read(stream_, buffer_, response);
    return response;
  }

  json Get(const std::string& target) {
    Send(target);
    return json::parse(Receive().body());
  }

  unsigned Status(const std::string& target, http::verb method = http::verb::get) {
    Send(target, method);
    return Receive().result_int();
  }

  bool HasAnswer() { return stream_.socket().available() > 0; }

 private:
  boost::asio::io_context io_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
};

bool Eventually(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

class DiscoveryServerTest : public testing::Test {
 protected:
  void Start(Range delay_s = {0, 0.01}, std::vector<std::optional<std::size_t>> services = {std::nullopt},
             std::size_t service_count = 1) {
    entries_ = SomeEntries(4, service_count);
    server_.emplace(entries_, DiscoveryServerOptions{delay_s, 7, std::move(services)});
  }

  Caller Connect(std::size_t sidecar = 0) { return Caller(server_->endpoint(sidecar)); }

  bool Watching(std::size_t count) {
    return Eventually([&] { return server_->OpenWatches() == count; });
  }

  std::vector<MembershipEntry> entries_;
  std::optional<DiscoveryServer> server_;
};

TEST(MembershipRegistry, KnowsEachRevisionAsItWas) {
  MembershipRegistry registry(SomeEntries(4, 2));
  auto gone = registry.Find("u1");
  gone.state = UpstreamState::kGone;
  EXPECT_EQ(registry.Change(Weighing(registry.Find("u0"), 2)), 2u);
  EXPECT_EQ(registry.Change(gone), 3u);
  EXPECT_EQ(registry.Change(Weighing(registry.Find("u0"), 3)), 4u);

  const auto changes = registry.Since(1, std::nullopt);
  EXPECT_FALSE(changes.whole);
  ASSERT_EQ(changes.entries.size(), 2u);  // each entry once, as it is now
  EXPECT_EQ(changes.entries[0].weight, 3);
  EXPECT_EQ(changes.entries[1].state, UpstreamState::kGone);
  EXPECT_EQ(registry.Since(std::nullopt, std::nullopt).entries.size(), 3u);
  EXPECT_EQ(registry.Since(1, 1).entries.size(), 1u);
  EXPECT_TRUE(registry.Since(0, std::nullopt).whole);

  const auto earlier = registry.SinceAsOf(std::nullopt, 2, std::nullopt);
  EXPECT_EQ(earlier.revision, 2u);
  ASSERT_EQ(earlier.entries.size(), 4u);
  EXPECT_EQ(earlier.entries[0].weight, 2);
  EXPECT_EQ(registry.SinceAsOf(1, 2, std::nullopt).entries.size(), 1u);
}

TEST(MembershipRegistry, ForgetsOldRevisionsAndThenTellsTheWhole) {
  MembershipRegistry registry(SomeEntries(2));
  for (std::size_t change = 0; change <= MembershipRegistry::kHistory; ++change) {
    registry.Change(Weighing(registry.Find("u0"), 1 + static_cast<double>(change)));
  }
  EXPECT_TRUE(registry.Since(1, std::nullopt).whole);
  EXPECT_FALSE(registry.Since(2, std::nullopt).whole);
  EXPECT_EQ(registry.SinceAsOf(std::nullopt, 1, std::nullopt).revision, 2u);
}

TEST(MembershipRegistry, RefusesDoubledAndUnknownIds) {
  auto doubled = SomeEntries(2);
  doubled[1].id = doubled[0].id;
  EXPECT_THROW(MembershipRegistry{doubled}, std::invalid_argument);
  MembershipRegistry registry(SomeEntries(1));
  EXPECT_THROW(registry.Find("u9"), std::out_of_range);
}

TEST_F(DiscoveryServerTest, ListsAllInProtocolsForm) {
  Start();
  auto caller = Connect();
  const json list = caller.Get("/discovery/hosts");
  EXPECT_EQ(list["rev"], 1);
  EXPECT_EQ(list["all"], true);
  ASSERT_EQ(list["targets"].size(), 4u);
  const json expected = {
      {"uid", "u0"},    {"endpoint", "127.0.0.1:9"}, {"az", "r1-z1"},        {"model", "small"},
      {"pod_group", 0}, {"state", "active"},         {"capacity_hint", 1.0}, {"boot_ms", 0}};
  EXPECT_EQ(list["targets"][0], expected);
}

TEST_F(DiscoveryServerTest, AWatchWaitsForAChange) {
  Start();
  auto caller = Connect();
  caller.Send("/discovery/hosts?index=1&wait=60000");
  ASSERT_TRUE(Watching(1));
  EXPECT_FALSE(caller.HasAnswer());
  auto draining = entries_[2];
  draining.state = UpstreamState::kDraining;
  EXPECT_EQ(server_->Change(draining), 2u);
  const json answer = json::parse(caller.Receive().body());
  EXPECT_EQ(answer["rev"], 2);
  EXPECT_EQ(answer["all"], false);
  ASSERT_EQ(answer["targets"].size(), 1u);
  EXPECT_EQ(answer["targets"][0]["uid"], "u2");
  EXPECT_EQ(answer["targets"][0]["state"], "leaving");
  EXPECT_EQ(server_->OpenWatches(), 0u);
}

TEST_F(DiscoveryServerTest, AWatchEndsWithNothingNew) {
  Start();
  auto caller = Connect();
  const auto begun = std::chrono::steady_clock::now();
  const json answer = caller.Get("/discovery/hosts?index=1&wait=60");
  EXPECT_GE(std::chrono::steady_clock::now() - begun, milliseconds(60));
  EXPECT_EQ(answer["rev"], 1);
  EXPECT_EQ(answer["all"], false);
  EXPECT_TRUE(answer["targets"].empty());
}

TEST_F(DiscoveryServerTest, AListIsRestrictedToItsService) {
  Start({0, 0.01}, {0, 1}, 2);
  auto first = Connect(0);
  auto second = Connect(1);
  const json list = second.Get("/discovery/hosts");
  ASSERT_EQ(list["targets"].size(), 2u);
  EXPECT_EQ(list["targets"][0]["uid"], "u1");
  first.Send("/discovery/hosts?index=1&wait=60000");
  second.Send("/discovery/hosts?index=1&wait=60000");
  ASSERT_TRUE(Watching(2));
  server_->Change(Weighing(entries_[3], 2));
  EXPECT_EQ(json::parse(second.Receive().body())["targets"][0]["uid"], "u3");
  EXPECT_EQ(server_->OpenWatches(), 1u);
  EXPECT_FALSE(first.HasAnswer());
}

TEST_F(DiscoveryServerTest, NoticesTakeAsLongAsDrawnAndLateOnesLonger) {
  Start({0.05, 0.05});
  server_->SetLate(4);
  auto caller = Connect();
  const auto begun = std::chrono::steady_clock::now();
  server_->Change(Weighing(entries_[0], 2));
  EXPECT_EQ(caller.Get("/discovery/hosts")["rev"], 1);  // not told yet
  EXPECT_EQ(caller.Get("/discovery/hosts?index=1&wait=60000")["rev"], 2);
  EXPECT_GE(std::chrono::steady_clock::now() - begun, milliseconds(200));
}

TEST_F(DiscoveryServerTest, ASilentWatchIsNeverAnsweredAndTheNextCallIs) {
  Start();
  auto silent = Connect();
  silent.Send("/discovery/hosts?index=1&wait=100");
  ASSERT_TRUE(Watching(1));
  server_->SilenceWatches();
  EXPECT_EQ(server_->OpenWatches(), 0u);
  server_->Change(Weighing(entries_[0], 2));
  auto other = Connect();
  EXPECT_EQ(other.Get("/discovery/hosts?index=1&wait=60000")["rev"], 2);
  other.Get("/discovery/hosts?index=2&wait=150");  // longer than the silent one's wait
  EXPECT_FALSE(silent.HasAnswer());
}

TEST_F(DiscoveryServerTest, ALostNoticeComesWithTheNextCall) {
  Start();
  auto caller = Connect();
  server_->SetLost(1);
  caller.Send("/discovery/hosts?index=1&wait=150");
  ASSERT_TRUE(Watching(1));
  server_->Change(Weighing(entries_[0], 2));
  EXPECT_EQ(json::parse(caller.Receive().body())["rev"], 1);
  EXPECT_EQ(caller.Get("/discovery/hosts?index=1&wait=60000")["rev"], 2);
}

TEST_F(DiscoveryServerTest, WhileDownNobodyIsAnsweredAndTheReturnTellsAll) {
  Start({3600, 3600});  // no notice arrives by itself
  auto waiting = Connect();
  waiting.Send("/discovery/hosts?index=1&wait=1");
  auto asking = Connect();
  server_->SetDown(true);
  asking.Send("/discovery/hosts");
  server_->Change(Weighing(entries_[0], 2));
  ASSERT_TRUE(Eventually([&] { return server_->Counters().Total().calls == 2; }));
  server_->SetDown(false);
  auto later = Connect();
  EXPECT_EQ(later.Get("/discovery/hosts?index=1&wait=60000")["rev"], 2);
  EXPECT_FALSE(asking.HasAnswer());
}

TEST_F(DiscoveryServerTest, RefusesBadCalls) {
  Start();
  auto caller = Connect();
  EXPECT_EQ(caller.Status("/discovery"), 404u);
  EXPECT_EQ(caller.Status("/discovery/hosts?index=x&wait=1"), 400u);
  EXPECT_EQ(caller.Status("/discovery/hosts?index=1&wait=60001"), 400u);
  EXPECT_EQ(caller.Status("/discovery/hosts?wait=5"), 400u);
  EXPECT_EQ(caller.Status("/discovery/hosts?index=-1"), 400u);
  EXPECT_EQ(caller.Status("/discovery/hosts?service=1"), 400u);
  EXPECT_EQ(caller.Status("/discovery/hosts", http::verb::delete_), 400u);
  EXPECT_EQ(caller.Status("/discovery/hosts"), 200u);
  EXPECT_EQ(server_->Counters().Total().bad_calls, 7u);
  EXPECT_THROW(server_->Change(SomeEntries(5).back()), std::out_of_range);
}

TEST_F(DiscoveryServerTest, CountsBySidecar) {
  Start({0, 0}, {std::nullopt, std::nullopt});
  auto caller = Connect(1);
  caller.Send("/discovery/hosts");
  const std::size_t list_size = caller.Receive().body().size();
  server_->Change(Weighing(entries_[0], 2));
  caller.Get("/discovery/hosts?index=1&wait=60000");
  const auto counters = server_->Counters();
  ASSERT_EQ(counters.agents.size(), 2u);
  EXPECT_EQ(counters.agents[0].calls, 0u);
  EXPECT_EQ(counters.agents[1].calls, 2u);
  EXPECT_EQ(counters.agents[1].whole_lists, 1u);
  EXPECT_EQ(counters.agents[1].changes, 1u);
  EXPECT_GT(counters.agents[1].bytes_out, list_size);
  EXPECT_GT(counters.agents[1].bytes_in, 2 * std::string("GET /discovery/hosts").size());
  EXPECT_GT(counters.processor_time, Duration::zero());
}

TEST(Descriptors, MoreThanTheHardLimitIsAnError) {
  EXPECT_THROW(EnsureDescriptorLimit(std::size_t{1} << 40), std::runtime_error);
}

TEST(PropagationLog, OwesRunningSidecarsWhatChangesInTheirService) {
  const TimePoint begun(std::chrono::seconds(1));
  PropagationLog log;
  log.Start(0, std::nullopt);
  log.Start(1, 1);
  log.Changed(2, 0, begun);
  log.Changed(3, 1, begun + milliseconds(10));
  EXPECT_THROW(log.Changed(5, 1, begun), std::logic_error);
  EXPECT_EQ(log.Missing(begun), 1u);
  EXPECT_EQ(log.Missing(begun + milliseconds(10)), 3u);
  log.Told(1, 3, begun + milliseconds(40));
  log.Told(0, 2, begun + milliseconds(50));
  EXPECT_EQ(log.delays_ms().SortedValues(), (std::vector<double>{30, 50}));
  EXPECT_EQ(log.Missing(begun + milliseconds(10)), 1u);
  log.Stop(0);
  EXPECT_EQ(log.Missing(begun + milliseconds(10)), 0u);
  log.Start(0, std::nullopt);  // of the earlier changes its first list tells
  EXPECT_EQ(log.Missing(begun + milliseconds(10)), 0u);
}

// Control clients on this thread, each with the list that it would hand its module.
class ControlClientsTest : public testing::Test {
 protected:
  static constexpr std::size_t kClients = 200;
  static constexpr std::uint64_t kChanges = 5;

  void Start(Range delay_s) {
    entries_ = SomeEntries(10);
    DiscoveryServerOptions options{delay_s, 7, {}};
    options.services.resize(kClients);
    server_.emplace(entries_, options);
    notices_.resize(kClients);
    for (std::size_t index = 0; index < kClients; ++index) {
      ControlClientOptions client;
      client.discovery = server_->endpoint(index);
      client.seed = index;
      propagation_.Start(index, std::nullopt);
      clients_.push_back(
          std::make_unique<ControlClient>(io_, client, clock_, [this, index](ControlNotice notice) {
            propagation_.Told(index, notice.revision, notice.at);
            notices_[index].push_back(std::move(notice));
          }));
      clients_.back()->Ask();
    }
  }

  void Change(std::size_t number) {
    const MembershipEntry entry = Weighing(entries_[number], 2);
    propagation_.Changed(server_->Change(entry), entry.service, sidecar::Now());
  }

  // Lets the clients work until all of them hold `revision`.
  bool AllReach(std::uint64_t revision) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (std::chrono::steady_clock::now() < end) {
      io_.run_for(milliseconds(10));
      const bool all = std::all_of(notices_.begin(), notices_.end(), [&](const auto& notices) {
        return !notices.empty() && notices.back().revision == revision;
      });
      if (all) return true;
    }
    return false;
  }

  std::size_t Missing() const { return propagation_.Missing(sidecar::Now()); }

  std::vector<MembershipEntry> entries_;
  std::optional<DiscoveryServer> server_;
  boost::asio::io_context io_;
  sidecar::UnixClock clock_;
  PropagationLog propagation_;
  std::vector<std::vector<ControlNotice>> notices_;
  std::vector<std::unique_ptr<ControlClient>> clients_;
};

TEST_F(ControlClientsTest, AllHearEachChange) {
  Start({0, 0.2});
  ASSERT_TRUE(AllReach(1));
  for (std::size_t change = 0; change < kChanges; ++change) Change(change);
  EXPECT_EQ(Missing(), kClients * kChanges);
  ASSERT_TRUE(AllReach(1 + kChanges));
  EXPECT_EQ(Missing(), 0u);
  EXPECT_EQ(propagation_.delays_ms().count(), kClients * kChanges);
  EXPECT_GT(propagation_.delays_ms().Percentile(0.99), propagation_.delays_ms().Percentile(0.01));
  EXPECT_EQ(propagation_.TakeRecentDelays().count(), kClients * kChanges);
  EXPECT_EQ(propagation_.TakeRecentDelays().count(), 0u);
  for (const auto& notices : notices_) {
    ASSERT_GE(notices.size(), 2u);
    EXPECT_EQ(notices.front().update.kind, lb::MembershipUpdate::Kind::kFull);
    EXPECT_EQ(notices.front().update.upstreams.size(), entries_.size());
    EXPECT_EQ(notices.back().update.kind, lb::MembershipUpdate::Kind::kChanges);
  }
}

TEST_F(ControlClientsTest, AllHearAfterAnOutage) {
  Start({0, 0});
  ASSERT_TRUE(AllReach(1));
  server_->SetDown(true);
  for (std::size_t change = 0; change < kChanges; ++change) Change(change);
  io_.run_for(milliseconds(100));
  EXPECT_EQ(Missing(), kClients * kChanges);
  server_->SetDown(false);
  ASSERT_TRUE(AllReach(1 + kChanges));
  EXPECT_EQ(Missing(), 0u);
}

}  // namespace
}  // namespace lb::lab
