// RequestBody: a body held in memory, and one that is streamed.
#include "sidecar/request_body.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

constexpr std::size_t kCapacity = 8;  // of a stream, in bytes

class RequestBodyTest : public ::testing::Test {
 protected:
  Body StartStream() {
    return body_.StartStream(io_, kCapacity, boost::none, Now(), std::weak_ptr<void>(owner_));
  }

  boost::asio::io_context io_;
  bool is_more_incoming_ = false;
  int capacity_calls_ = 0;
  const std::shared_ptr<int> owner_ = std::make_shared<int>();
  RequestBody body_{{[this] { return is_more_incoming_; }, [this] { ++capacity_calls_; }}};
};

TEST_F(RequestBodyTest, IsHeldUpToItsLimit) {
  body_.Append(std::string(kMaxBufferedBody, 'x'));
  EXPECT_FALSE(body_.IsTooLargeToHold());

  body_.Append("y");

  EXPECT_TRUE(body_.IsTooLargeToHold());
  EXPECT_EQ(body_.TakeHeld().size(), kMaxBufferedBody + 1);
}

TEST_F(RequestBodyTest, StreamBeginsWithTheHeldBytes) {
  body_.Append("abc");
  const Body stream = StartStream();
  body_.Append("de");
  body_.Finish();

  EXPECT_EQ(stream->Read(), "abcde");
  EXPECT_TRUE(stream->fully_read());
  EXPECT_TRUE(stream->sent_at());
  EXPECT_FALSE(body_.IsStreaming());
}

TEST_F(RequestBodyTest, ReportsThatTheStreamHasCapacityAgain) {
  const Body stream = StartStream();
  body_.Append(std::string(kCapacity, 'x'));
  ASSERT_FALSE(body_.HasCapacity());

  stream->Read();
  io_.run();

  EXPECT_TRUE(body_.HasCapacity());
  EXPECT_EQ(capacity_calls_, 1);
}

TEST_F(RequestBodyTest, AbortBreaksTheStream) {
  const Body stream = StartStream();
  body_.Abort();

  EXPECT_TRUE(stream->aborted());
  EXPECT_FALSE(body_.IsStreaming());
}

// The last byte may wait in the kernel while the stream has no capacity. The time for the response runs from
// when that byte arrived.
TEST_F(RequestBodyTest, RecordsTheTimeOfALastByteThatWaitsForCapacity) {
  const Body stream = StartStream();
  body_.Append(std::string(kCapacity, 'x'));

  body_.RecordLastByteTime(false);
  EXPECT_FALSE(stream->sent_at()) << "the end of the body cannot be told";
  is_more_incoming_ = true;
  body_.RecordLastByteTime(true);
  EXPECT_FALSE(stream->sent_at()) << "more is still incoming";
  is_more_incoming_ = false;
  body_.RecordLastByteTime(true);

  EXPECT_TRUE(stream->sent_at());
  EXPECT_TRUE(body_.IsKnownToBeSent());
}

}  // namespace
}  // namespace lb::sidecar
