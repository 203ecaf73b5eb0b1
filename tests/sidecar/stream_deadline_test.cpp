// The deadline of streamed responses, computed from given times without a clock. The bounds are those of the
// deployment: a final answer is due half a second after the request's time.
#include "sidecar/stream_deadline.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "gtest/gtest.h"
#include "sidecar/http.h"

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr TimePoint kDeadline = kStart + seconds(1);
constexpr TimePoint kDue = kDeadline + milliseconds(500);
constexpr Duration kLongestHang = seconds(25);  // of an upstream
constexpr Duration kLongStall = seconds(30);
constexpr Duration kTimeToGetLong = seconds(10);
constexpr std::uint64_t kLongBody = kMaxBufferedBody + 1;
constexpr std::uint64_t kShortBody = 60000;

StreamDeadline WithLength(boost::optional<std::uint64_t> length, std::uint64_t received = 0) {
  return {{kDeadline}, length, received, kStart};
}
StreamDeadline WithoutLength(std::uint64_t received = 0) { return WithLength(boost::none, received); }

// Guards against a request without a final answer: its response of unknown length never ends (review/7).
TEST(StreamDeadline, ShortResponseThatStopsEndsInTheHalfSecondAfterItsRequest) {
  for (const std::uint64_t received : {std::uint64_t{0}, std::uint64_t{1000}, kShortBody}) {
    for (TimePoint last = kStart; last <= kDeadline; last += milliseconds(10)) {
      StreamDeadline deadline = WithoutLength();

      deadline.OnRead(received, last);

      EXPECT_GT(deadline.at(), kDeadline);
      EXPECT_LT(deadline.at(), kDue);
    }
  }
}

// Guards against the same where a byte now and then counts as progress.
TEST(StreamDeadline, ShortResponseThatTricklesEndsInTheHalfSecondAfterItsRequest) {
  StreamDeadline deadline = WithoutLength(kShortBody);
  std::uint64_t received = kShortBody;

  for (TimePoint now = kStart; now < deadline.at(); now += milliseconds(10)) {
    ++received;
    deadline.OnRead(received, now);
    ASSERT_LT(now, kDue);
  }

  EXPECT_LT(deadline.at(), kDue);
}

TEST(StreamDeadline, ResponseThatArrivesSlowlyIsNotGivenUp) {
  constexpr std::uint64_t kPiece = 20000;
  constexpr Duration kPause = milliseconds(400);
  for (Duration first = milliseconds(0); first < kPause; first += milliseconds(10)) {
    StreamDeadline deadline = WithoutLength();

    for (int piece = 0; piece < 100; ++piece) {
      const TimePoint now = kStart + first + piece * kPause;
      ASSERT_LT(now, deadline.at()) << "piece " << piece;
      deadline.OnRead((piece + 1) * kPiece, now);
    }
  }
}

TEST(StreamDeadline, ResponseThatArrivesAfterItsRequestsTimeHasToGetLong) {
  StreamDeadline deadline = WithoutLength();

  deadline.OnRead(kShortBody, kDeadline + milliseconds(100));
  for (TimePoint now = kDeadline + seconds(1); now < deadline.at(); now += seconds(1)) {
    deadline.OnRead(kShortBody, now);
    ASSERT_LT(now, kDeadline + 2 * kTimeToGetLong);
  }

  EXPECT_EQ(deadline.at(), kDeadline + kTimeToGetLong);
}

// Guards against cutting off a response inside the time in which it only earns nothing: its head came in
// time, and its body begins after that.
TEST(StreamDeadline, ResponseWithoutABodyYetIsNotGivenUpBeforeTheHalfSecondIsNearlyOver) {
  const StreamDeadline deadline = WithoutLength();

  EXPECT_GE(deadline.at(), kDeadline + milliseconds(400));
}

// Guards against cutting off a long response whose upstream hangs (review/9).
TEST(StreamDeadline, LongResponseOutlastsAHangOfItsUpstream) {
  const StreamDeadline deadline = WithLength(kLongBody, 1000);

  EXPECT_GT(deadline.at(), kStart + kLongestHang);
}

TEST(StreamDeadline, StoppingProcessEndsALongResponseByAShorterStall) {
  StreamDeadline begun_before = WithLength(kLongBody, 1000);
  const StreamDeadline begun_after({kDeadline, kDeadline}, kLongBody, 1000, kStart);

  begun_before.LimitTo(kDeadline);

  EXPECT_EQ(begun_before.at(), kStart + StreamDeadline::kEvictableStall);
  EXPECT_EQ(begun_after.at(), kStart + StreamDeadline::kEvictableStall);
}

TEST(StreamDeadline, LongResponseEndsOnlyByItsStall) {
  const TimePoint last = kDeadline + seconds(60);
  StreamDeadline by_length = WithLength(kLongBody);
  StreamDeadline by_size = WithoutLength();

  by_length.OnRead(1000, last);
  by_size.OnRead(kLongBody, last);

  EXPECT_EQ(by_length.at(), last + kLongStall);
  EXPECT_EQ(by_size.at(), last + kLongStall);
}

// Guards against the same as an endless response where memory is exhausted and a short body is streamed.
TEST(StreamDeadline, ResponseOfAShortLengthEndsInTheHalfSecondAfterItsRequest) {
  StreamDeadline deadline = WithLength(kMaxBufferedBody);

  deadline.OnRead(5000, kDeadline);
  deadline.OnRead(kShortBody, kDeadline + milliseconds(300));

  EXPECT_GT(deadline.at(), kDeadline);
  EXPECT_LT(deadline.at(), kDue);
}

TEST(StreamDeadline, ResponseThatStopsBeforeItsRequestsTimeEndsByItsStall) {
  const StreamDeadline deadline({kStart + seconds(60)}, boost::none, 1000, kStart);

  EXPECT_EQ(deadline.at(), kStart + kLongStall);
}

TEST(StreamDeadline, ResponseThatWaitedForItsReaderGetsTimeToGoOn) {
  StreamDeadline deadline = WithoutLength(kShortBody);
  const TimePoint read_at = kDeadline + seconds(3);

  deadline.OnCapacity(read_at);
  deadline.OnRead(kShortBody, read_at);

  EXPECT_GT(deadline.at(), read_at + milliseconds(400));
}

TEST(StreamDeadline, StoppingProcessEndsAShortResponseWithItsLastOne) {
  const StreamDeadline over({kDeadline, kDeadline}, boost::none, 1000, kStart);
  const StreamDeadline not_over({kDeadline, kStart}, boost::none, 1000, kStart);

  EXPECT_EQ(over.at(), kDeadline);
  EXPECT_EQ(not_over.at(), kDeadline);
}

TEST(StreamDeadline, WithoutAClientOnlyAStallEndsAResponse) {
  const StreamDeadline deadline({}, boost::none, 1000, kStart);

  EXPECT_EQ(deadline.at(), kStart + kLongStall);
}

}  // namespace
}  // namespace lb::sidecar
