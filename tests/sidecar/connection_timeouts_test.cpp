// Time limits for the request and the response of a client, tested with given times.
#include "sidecar/connection_timeouts.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kKibibyte = 1024;

constexpr TimePoint kStart{std::chrono::seconds(100)};

ConnectionActivity Received(std::uint64_t bytes, Duration last_byte_after) {
  return {kStart, bytes, kStart + last_byte_after};
}

TEST(RequestTimeout, AllowsARequestWithinTheFirstRequestTimeout) {
  EXPECT_FALSE(IsRequestStalled(Received(0, {}), kStart + kFirstRequestTimeout));
}

TEST(RequestTimeout, ReportsARequestWithoutABody) {
  EXPECT_TRUE(IsRequestStalled(Received(0, {}), kStart + kFirstRequestTimeout + milliseconds(1)));
}

TEST(RequestTimeout, AllowsABodyThatArrivesFastEnough) {
  const auto activity = Received(40 * kKibibyte, milliseconds(3500));

  EXPECT_FALSE(IsRequestStalled(activity, kStart + kFirstRequestTimeout + milliseconds(1000)));
}

TEST(RequestTimeout, ReportsABodyThatTrickles) {
  const auto activity = Received(30 * kKibibyte, milliseconds(3500));

  EXPECT_TRUE(IsRequestStalled(activity, kStart + kFirstRequestTimeout + milliseconds(1000)));
}

TEST(RequestTimeout, ReportsABodyThatPauses) {
  const auto activity = Received(10 * kKibibyte * kKibibyte, milliseconds(2000));

  EXPECT_FALSE(IsRequestStalled(activity, kStart + milliseconds(3000)));
  EXPECT_TRUE(IsRequestStalled(activity, kStart + milliseconds(3001)));
}

TEST(ResponseTimeout, GrowsWithTheResponse) {
  const ConnectionActivity activity = Received(0, {});

  EXPECT_FALSE(
      IsResponseStalled(activity, 32 * kKibibyte, kStart + kFirstRequestTimeout + milliseconds(1000)));
  EXPECT_TRUE(
      IsResponseStalled(activity, 32 * kKibibyte, kStart + kFirstRequestTimeout + milliseconds(1001)));
}

TEST(Linger, CountsDiscardedBytesUpToItsLimit) {
  Linger linger;

  linger.RecordDiscarded(kLingerByteLimit);
  EXPECT_FALSE(linger.IsOverLimit());
  linger.RecordDiscarded(1);

  EXPECT_TRUE(linger.IsOverLimit());
}

TEST(Linger, LetsAClientFinishTheRequestItWasSending) {
  Linger linger;
  linger.timeout = kLingerTimeoutWhileSending;

  linger.RecordDiscarded(kLingerByteLimit + 1);

  EXPECT_FALSE(linger.IsOverLimit());
}

}  // namespace
}  // namespace lb::sidecar
