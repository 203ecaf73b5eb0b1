// Tests of control clients: the real discovery client as used by hollow sidecars, many on one thread.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "lab/measure/propagation_log.h"
#include "lab/real/control_client.h"
#include "lab/real/discovery_server.h"
#include "sidecar/clock.h"
#include "tests/lab_membership_entries.h"

namespace lb::lab {
namespace {

using std::chrono::milliseconds;

constexpr auto kWaitLimit = std::chrono::seconds(30);

// Control clients on the test's thread. Records the notices that each would pass to its sidecar's module.
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
            propagation_.RecordDelivery(index, notice.revision, notice.at);
            notices_[index].push_back(std::move(notice));
          }));
      clients_.back()->Ask();
    }
  }

  void Change(std::size_t number) {
    const MembershipEntry entry = WithWeight(entries_[number], 2);
    propagation_.RecordChange(server_->Change(entry), entry.service, sidecar::Now());
  }

  // Runs the clients until all have received `revision`; returns false if some have not within kWaitLimit.
  bool AllReach(std::uint64_t revision) {
    const auto end = std::chrono::steady_clock::now() + kWaitLimit;
    while (std::chrono::steady_clock::now() < end) {
      io_.run_for(milliseconds(10));
      const bool all = std::all_of(notices_.begin(), notices_.end(), [&](const auto& notices) {
        return !notices.empty() && notices.back().revision == revision;
      });
      if (all) return true;
    }
    return false;
  }

  std::size_t CountUndelivered() const { return propagation_.CountUndelivered(sidecar::Now()); }

  std::vector<MembershipEntry> entries_;
  std::optional<DiscoveryServer> server_;
  boost::asio::io_context io_;
  sidecar::UnixClock clock_;
  PropagationLog propagation_;
  std::vector<std::vector<ControlNotice>> notices_;
  std::vector<std::unique_ptr<ControlClient>> clients_;
};

TEST_F(ControlClientsTest, AllReceiveEachChange) {
  Start({0, 0.2});
  ASSERT_TRUE(AllReach(1));
  for (std::size_t change = 0; change < kChanges; ++change) Change(change);
  EXPECT_EQ(CountUndelivered(), kClients * kChanges);
  ASSERT_TRUE(AllReach(1 + kChanges));
  EXPECT_EQ(CountUndelivered(), 0u);
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

TEST_F(ControlClientsTest, AllReceiveChangesAfterAnOutage) {
  Start({0, 0});
  ASSERT_TRUE(AllReach(1));
  server_->SetDown(true);
  for (std::size_t change = 0; change < kChanges; ++change) Change(change);
  io_.run_for(milliseconds(100));
  EXPECT_EQ(CountUndelivered(), kClients * kChanges);
  server_->SetDown(false);
  ASSERT_TRUE(AllReach(1 + kChanges));
  EXPECT_EQ(CountUndelivered(), 0u);
}

}  // namespace
}  // namespace lb::lab
