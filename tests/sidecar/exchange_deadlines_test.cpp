// Deadlines of an exchange, computed from given times without a clock.
#include "sidecar/exchange_deadlines.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

ExchangeRequest RequestWithTimeout(Duration timeout) {
  ExchangeRequest request;
  request.timeout = timeout;
  return request;
}

TEST(ExchangeDeadlines, TimeoutRunsFromTheStart) {
  const ExchangeDeadlines deadlines(RequestWithTimeout(seconds(2)), kStart);

  EXPECT_EQ(deadlines.response(), kStart + seconds(2));
  EXPECT_EQ(deadlines.first_byte(), TimePoint::max());
}

TEST(ExchangeDeadlines, FirstByteHasItsOwnDeadline) {
  auto request = RequestWithTimeout(seconds(2));
  request.begin_within = milliseconds(300);

  const ExchangeDeadlines deadlines(request, kStart);

  EXPECT_EQ(deadlines.first_byte(), kStart + milliseconds(300));
}

TEST(ExchangeDeadlines, UpstreamTimeoutExcludesConnectingTime) {
  const auto request = RequestWithTimeout(seconds(2));
  const ExchangeDeadlines deadlines(request, kStart);

  EXPECT_EQ(deadlines.UpstreamTimeout(request, kStart + milliseconds(500)), milliseconds(1500));
}

TEST(ExchangeDeadlines, UpstreamTimeoutIsLimitedToTheClientsWait) {
  auto request = RequestWithTimeout(seconds(2));
  request.time_left = [](TimePoint) { return milliseconds(40); };
  const ExchangeDeadlines deadlines(request, kStart);

  EXPECT_EQ(deadlines.UpstreamTimeout(request, kStart), milliseconds(40));
}

TEST(ExchangeDeadlines, StreamedRequestsTimeoutRunsFromItsLastByte) {
  boost::asio::io_context io;
  auto request = RequestWithTimeout(seconds(2));
  request.body = std::make_shared<BodyStream>(io, 1024, boost::none);
  ExchangeDeadlines deadlines(request, kStart);

  EXPECT_EQ(deadlines.UpstreamTimeout(request, kStart + seconds(1)), seconds(2));
  deadlines.RestartAfterLastByte(request, kStart + seconds(5));

  EXPECT_EQ(deadlines.started(), kStart + seconds(5));
  EXPECT_EQ(deadlines.response(), kStart + seconds(7));
}

TEST(ExchangeDeadlines, HoldBackLastsATenthOfTheRemainingTime) {
  const ExchangeDeadlines deadlines(RequestWithTimeout(seconds(2)), kStart);

  EXPECT_EQ(deadlines.HoldBackEnd(kStart + seconds(1)), kStart + milliseconds(1100));
  EXPECT_EQ(deadlines.HoldBackEnd(kStart + milliseconds(1995)), kStart + milliseconds(1996));
  EXPECT_EQ(deadlines.HoldBackEnd(kStart + seconds(3)), kStart + seconds(2));
}

TEST(ExchangeDeadlines, HeadIsForwardedShortlyBeforeTheResponseIsDue) {
  const ExchangeDeadlines usual(RequestWithTimeout(seconds(2)), kStart);
  const ExchangeDeadlines brief(RequestWithTimeout(milliseconds(40)), kStart);

  EXPECT_EQ(usual.ForwardHeadAt(), kStart + milliseconds(1900));
  EXPECT_EQ(brief.ForwardHeadAt(), kStart + milliseconds(30));
}

TEST(ExchangeDeadlines, HoldBackEndsWhenTheHeadIsForwarded) {
  const ExchangeDeadlines deadlines(RequestWithTimeout(milliseconds(40)), kStart);

  EXPECT_EQ(deadlines.HoldBackEnd(kStart + milliseconds(29)), kStart + milliseconds(30));
}

TEST(ExchangeDeadlines, RequestLimitsThePieceDeadline) {
  auto request = RequestWithTimeout(seconds(2));
  EXPECT_EQ(ExchangeDeadlines::NextPiece(request, kStart), kStart + seconds(10));

  request.body_stall_timeout = seconds(3);

  EXPECT_EQ(ExchangeDeadlines::NextPiece(request, kStart), kStart + seconds(3));
}

}  // namespace
}  // namespace lb::sidecar
