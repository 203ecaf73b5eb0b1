// Tests of the emulated discovery service over real sockets: lists, watches, and delivery of changes with
// faults.
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

#include "lab/model/membership.h"
#include "lab/real/descriptor_limit.h"
#include "lab/real/discovery_server.h"
#include "tests/lab_membership_entries.h"

namespace lb::lab {
namespace {

namespace http = boost::beast::http;
using lb::UpstreamState;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr auto kEventTimeout = std::chrono::seconds(30);  // limit on the wait for an expected event

// A sidecar's connection to its discovery agent, for one call at a time.
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
  const auto end = std::chrono::steady_clock::now() + kEventTimeout;
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

TEST_F(DiscoveryServerTest, ListsAllUpstreamsInProtocolFormat) {
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

TEST_F(DiscoveryServerTest, WatchWaitsForChange) {
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

TEST_F(DiscoveryServerTest, WatchWithoutChangeEndsAfterItsWait) {
  Start();
  auto caller = Connect();
  const auto begun = std::chrono::steady_clock::now();
  const json answer = caller.Get("/discovery/hosts?index=1&wait=60");
  EXPECT_GE(std::chrono::steady_clock::now() - begun, milliseconds(60));
  EXPECT_EQ(answer["rev"], 1);
  EXPECT_EQ(answer["all"], false);
  EXPECT_TRUE(answer["targets"].empty());
}

TEST_F(DiscoveryServerTest, ListIsRestrictedToItsService) {
  Start({0, 0.01}, {0, 1}, 2);
  auto first = Connect(0);
  auto second = Connect(1);
  const json list = second.Get("/discovery/hosts");
  ASSERT_EQ(list["targets"].size(), 2u);
  EXPECT_EQ(list["targets"][0]["uid"], "u1");
  first.Send("/discovery/hosts?index=1&wait=60000");
  second.Send("/discovery/hosts?index=1&wait=60000");
  ASSERT_TRUE(Watching(2));
  server_->Change(WithWeight(entries_[3], 2));
  EXPECT_EQ(json::parse(second.Receive().body())["targets"][0]["uid"], "u3");
  EXPECT_EQ(server_->OpenWatches(), 1u);
  EXPECT_FALSE(first.HasAnswer());
}

TEST_F(DiscoveryServerTest, NoticesTakeTheDrawnDelayTimesTheFactor) {
  Start({0.05, 0.05});
  server_->SetNoticeDelayFactor(4);
  auto caller = Connect();
  const auto begun = std::chrono::steady_clock::now();
  server_->Change(WithWeight(entries_[0], 2));
  EXPECT_EQ(caller.Get("/discovery/hosts")["rev"], 1);  // notice not delivered yet
  EXPECT_EQ(caller.Get("/discovery/hosts?index=1&wait=60000")["rev"], 2);
  EXPECT_GE(std::chrono::steady_clock::now() - begun, milliseconds(200));
}

TEST_F(DiscoveryServerTest, DoesNotAnswerSilencedWatchButAnswersNextCall) {
  Start();
  auto silenced = Connect();
  silenced.Send("/discovery/hosts?index=1&wait=100");
  ASSERT_TRUE(Watching(1));
  server_->SilenceWatches();
  EXPECT_EQ(server_->OpenWatches(), 0u);
  server_->Change(WithWeight(entries_[0], 2));
  auto other = Connect();
  EXPECT_EQ(other.Get("/discovery/hosts?index=1&wait=60000")["rev"], 2);
  other.Get("/discovery/hosts?index=2&wait=150");  // longer than the wait of the silenced watch
  EXPECT_FALSE(silenced.HasAnswer());
}

TEST_F(DiscoveryServerTest, DeliversLostNoticeWithTheNextCall) {
  Start();
  auto caller = Connect();
  server_->SetLostNoticeShare(1);
  caller.Send("/discovery/hosts?index=1&wait=150");
  ASSERT_TRUE(Watching(1));
  server_->Change(WithWeight(entries_[0], 2));
  EXPECT_EQ(json::parse(caller.Receive().body())["rev"], 1);
  EXPECT_EQ(caller.Get("/discovery/hosts?index=1&wait=60000")["rev"], 2);
}

TEST_F(DiscoveryServerTest, AnswersNoCallWhileDownAndDeliversAllChangesAfterwards) {
  Start({3600, 3600});  // no notice is due during the test
  auto waiting = Connect();
  waiting.Send("/discovery/hosts?index=1&wait=1");
  auto asking = Connect();
  server_->SetDown(true);
  asking.Send("/discovery/hosts");
  server_->Change(WithWeight(entries_[0], 2));
  ASSERT_TRUE(Eventually([&] { return server_->Counters().Total().calls == 2; }));
  server_->SetDown(false);
  auto later = Connect();
  EXPECT_EQ(later.Get("/discovery/hosts?index=1&wait=60000")["rev"], 2);
  EXPECT_FALSE(asking.HasAnswer());
}

TEST_F(DiscoveryServerTest, RejectsInvalidCalls) {
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
  server_->Change(WithWeight(entries_[0], 2));
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

TEST(DescriptorLimit, IsAnErrorBeyondTheHardLimit) {
  EXPECT_THROW(EnsureDescriptorLimit(std::size_t{1} << 40), std::runtime_error);
}

}  // namespace
}  // namespace lb::lab
