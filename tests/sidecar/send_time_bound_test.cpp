// SendTimeBound: since when a byte that is read late may have been sent. The times are given.
#include "sidecar/send_time_bound.h"

#include <chrono>
#include <cstdint>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr std::size_t kSendBuffer = 1000;

class SendTimeBoundTest : public ::testing::Test {
 protected:
  static TimePoint At(int ms) { return kStart + milliseconds(ms); }

  SendTimeBound bound_{kStart, kSendBuffer};
};

TEST_F(SendTimeBoundTest, IsTheStartIfNothingWasObserved) { EXPECT_EQ(bound_.EarliestSend(1), kStart); }

TEST_F(SendTimeBoundTest, EmptyReceiveBufferShowsThatNoFurtherByteWasSent) {
  bound_.Observe(500, 0, At(10));

  EXPECT_EQ(bound_.EarliestSend(500), kStart) << "read already, and sent at any time before";
  EXPECT_EQ(bound_.EarliestSend(501), At(10));
}

TEST_F(SendTimeBoundTest, UnreadBytesMayBeFollowedByAFullSendBuffer) {
  bound_.Observe(500, 200, At(10));

  EXPECT_EQ(bound_.EarliestSend(500 + 200 + kSendBuffer), kStart);
  EXPECT_EQ(bound_.EarliestSend(500 + 200 + kSendBuffer + 1), At(10));
}

TEST_F(SendTimeBoundTest, LaterObservationReplacesOnesThatSayLess) {
  bound_.Observe(500, 200, At(10));
  bound_.Observe(700, 0, At(20));

  EXPECT_EQ(bound_.EarliestSend(701), At(20));
}

// While the receive buffer never runs empty, the bound follows at the distance of all that the buffers hold.
TEST_F(SendTimeBoundTest, FollowsAConstantBacklog) {
  constexpr int kBytesPerMs = 10;
  constexpr int kDuration = 1000;
  for (int ms = 0; ms <= kDuration; ++ms) {
    const auto read = static_cast<std::uint64_t>(ms) * kBytesPerMs;
    bound_.Observe(read, 200, At(ms));
    bound_.EarliestSend(read + 1);
  }

  const TimePoint earliest = bound_.EarliestSend(std::uint64_t{kDuration} * kBytesPerMs + 1);

  const auto lag = milliseconds((200 + kSendBuffer) / kBytesPerMs);
  EXPECT_LE(earliest, At(kDuration) - lag);
  EXPECT_GE(earliest, At(kDuration) - 2 * lag);
}

// However many observations there are, the bound is never later than the truth.
TEST_F(SendTimeBoundTest, IsNeverTooLateWhenObservationsAreDropped) {
  for (int ms = 0; ms < 10000; ++ms) bound_.Observe(static_cast<std::uint64_t>(ms), 1, At(ms));

  for (std::uint64_t offset = kSendBuffer + 2; offset < kSendBuffer + 10000; offset += 7) {
    const auto last_before = static_cast<int>(offset - kSendBuffer - 2);
    EXPECT_LE(bound_.EarliestSend(offset), At(last_before)) << offset;
  }
}

TEST(MaxTcpSendBuffer, IsAtLeastTheKernelsInitialSize) {
  constexpr std::size_t kInitial = 16384;  // tcp(7)

  EXPECT_GE(MaxTcpSendBuffer(), kInitial);
}

}  // namespace
}  // namespace lb::sidecar
