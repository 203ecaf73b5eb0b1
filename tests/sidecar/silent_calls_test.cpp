#include "sidecar/silent_calls.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "gtest/gtest.h"
#include "sidecar/discovery_timing.h"

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SilentCallsTest : public ::testing::Test, private DiscoveryCall::Observer {
 protected:
  static constexpr Duration kInterval = milliseconds(1500);

  PendingCall MakeCall(Duration started_after, std::optional<std::uint64_t> base) {
    DiscoveryCall::Observer& observer = *this;
    PendingCall call;
    call.connection = std::make_shared<DiscoveryCall>(io_, Endpoint(), observer);
    call.base = base;
    call.started_at = start_ + started_after;
    return call;
  }
  void Keep(const PendingCall& call) { calls_.Keep(call, call.started_at); }
  bool Has(const PendingCall& call) { return calls_.Take(*call.connection).has_value(); }

  boost::asio::io_context io_;
  const TimePoint start_ = Now();
  SilentCalls calls_{kInterval};

 private:
  void HandleResponse(DiscoveryCall& /*call*/, const std::string& /*body*/) override {}
  void HandleFailure(DiscoveryCall& /*call*/, const DiscoveryFailure& /*failure*/) override {}
};

TEST_F(SilentCallsTest, KeepsOneCallInEachInterval) {
  const PendingCall first = MakeCall({}, 7);
  const PendingCall soon = MakeCall(kInterval / 2, 7);
  const PendingCall later = MakeCall(kInterval, 7);

  for (const auto& call : {first, soon, later}) Keep(call);

  EXPECT_TRUE(Has(first));
  EXPECT_FALSE(Has(soon));
  EXPECT_TRUE(Has(later));
}

TEST_F(SilentCallsTest, DropsTheOldestBeyondTheLimit) {
  const PendingCall first = MakeCall({}, 7);
  Keep(first);

  for (std::size_t i = 1; i <= SilentCalls::kMaxCalls; ++i) Keep(MakeCall(kInterval * i, 7));

  EXPECT_FALSE(Has(first));
}

TEST_F(SilentCallsTest, DropsACallWithoutProgressAfterTheNotificationLimit) {
  PendingCall watch = MakeCall({}, 7);
  watch.wait = seconds(3);
  Keep(watch);

  calls_.DropStalled(start_ + watch.wait + kNotificationLimit - milliseconds(1));
  const bool is_kept = !calls_.empty();
  calls_.DropStalled(start_ + watch.wait + kNotificationLimit);

  EXPECT_TRUE(is_kept);
  EXPECT_TRUE(calls_.empty());
}

TEST_F(SilentCallsTest, KnowsTheCallForTheWholeList) {
  Keep(MakeCall({}, 7));
  const bool has_before = calls_.HasCallForWholeList();
  Keep(MakeCall(kInterval / 2, std::nullopt));

  calls_.DropCallsForChanges();

  EXPECT_FALSE(has_before);
  EXPECT_TRUE(calls_.HasCallForWholeList());
}

}  // namespace
}  // namespace lb::sidecar
