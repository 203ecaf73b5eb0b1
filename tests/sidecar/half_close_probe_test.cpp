// HalfCloseProbe on a connected pair of sockets: how it recognizes a half-close and a close.
#include "sidecar/half_close_probe.h"

#include <chrono>
#include <optional>
#include <string>

#include "tests/sidecar/socket_pair.h"

namespace lb::sidecar {
namespace {

using boost::asio::ip::tcp;
using Result = HalfCloseProbe::Result;
using State = HalfCloseProbe::State;

class HalfCloseProbeTest : public testing::SocketPairTest {
 protected:
  bool Send() {
    return probe_.Send([this](Result result) { result_ = result; });
  }

  Result WaitForResult() {
    RunUntil([this] { return result_.has_value(); });
    return *result_;
  }

  std::optional<Result> result_;
  ResponseWriter writer_{socket_, [](ResponseWriter::Outcome) {}};
  HalfCloseProbe probe_{socket_, writer_};
};

TEST_F(HalfCloseProbeTest, FindsAHalfClosedClientConnected) {
  peer_.shutdown(tcp::socket::shutdown_send);

  ASSERT_TRUE(Send());
  EXPECT_EQ(probe_.state(), State::kOutstanding);

  EXPECT_EQ(WaitForResult(), Result::kClientConnected);
  EXPECT_EQ(probe_.state(), State::kClientConnected);
  EXPECT_EQ(ReceiveAtPeer(12), "HTTP/1.1 102");
}

TEST_F(HalfCloseProbeTest, FindsTheConnectionClosedIfTheClientHasClosed) {
  peer_.close();

  // The reset may arrive at once, or soon after.
  if (Send()) {
    EXPECT_EQ(WaitForResult(), Result::kConnectionClosed);
  }
}

TEST_F(HalfCloseProbeTest, IsSentOnceWhileItIsOutstanding) {
  ASSERT_TRUE(Send());
  ASSERT_TRUE(Send());

  EXPECT_EQ(WaitForResult(), Result::kClientConnected);
  const std::string probe = ReceiveAtPeer(peer_.available());
  EXPECT_EQ(probe.rfind("HTTP/1.1 102"), 0U) << "one probe, not two";
  EXPECT_TRUE(Send()) << "an answered probe is not repeated";
  EXPECT_EQ(peer_.available(), 0U);
}

TEST_F(HalfCloseProbeTest, HasAResultThatBecomesStale) {
  ASSERT_TRUE(Send());
  ASSERT_EQ(WaitForResult(), Result::kClientConnected);

  EXPECT_FALSE(probe_.IsResultStale(TimePoint()));
  EXPECT_TRUE(probe_.IsResultStale(Now() + std::chrono::seconds(1)));
  probe_.DiscardResult();
  EXPECT_EQ(probe_.state(), State::kNotSent);
}

TEST_F(HalfCloseProbeTest, GivesNoResultOnceItIsCancelled) {
  ASSERT_TRUE(Send());

  probe_.Cancel();
  io_.run();

  EXPECT_FALSE(result_);
  EXPECT_EQ(probe_.state(), State::kNotSent);
}

}  // namespace
}  // namespace lb::sidecar
