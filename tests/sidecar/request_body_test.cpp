// RequestBody: a body held in memory, and one that is streamed.
#include "sidecar/request_body.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

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
  // Waits until the clock shows a later time, and returns it.
  static TimePoint NextTime() {
    const TimePoint before = Now();
    while (Now() == before) std::this_thread::yield();
    return Now();
  }

  ReceiveProgress progress_;
  int capacity_calls_ = 0;
  const std::shared_ptr<int> owner_ = std::make_shared<int>();
  RequestBody body_{{[this] { return progress_; }, [this] { ++capacity_calls_; }}};
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

// Streams a body of which 20 bytes were read and 10 parsed: the stream has no capacity, and the other 10
// wait.
class WaitingRequestBodyTest : public RequestBodyTest {
 protected:
  WaitingRequestBodyTest() {
    progress_.read = 20;
    progress_.unparsed = 10;
    body_.Append(std::string(kCapacity, 'x'));
    body_.WaitForCapacity();
  }

  const Body stream_ = StartStream();
};

// The last byte may wait in the kernel while the stream has no capacity. The time for the response runs from
// when that byte arrived, not from when it is read.
TEST_F(WaitingRequestBodyTest, RecordsTheTimeOfALastByteThatWaitsForCapacity) {
  progress_.body_left = 16;
  progress_.unread = 6;
  const TimePoint complete = NextTime();
  EXPECT_LT(stream_->EarliestLastByte(), complete);
  EXPECT_FALSE(stream_->sent_at()) << "it was not read yet";

  NextTime();
  stream_->Read();
  body_.EndWaitForCapacity();
  progress_ = {26, 0, 0, std::uint64_t{0}};
  body_.Finish();

  ASSERT_TRUE(stream_->sent_at());
  EXPECT_LT(*stream_->sent_at(), complete);
}

// Guards against a deadline that does not run while the upstream takes nothing (review/3): bytes that nobody
// reads may include the last one.
TEST_F(WaitingRequestBodyTest, LastByteMayHaveBeenSentWhenUnreadBytesBegan) {
  const TimePoint waits_since = Now();
  NextTime();
  for (const std::uint64_t left : {16U, 1000000U}) {
    progress_.unread = 6;
    progress_.body_left = left;
    EXPECT_LE(stream_->EarliestLastByte(), waits_since) << left;
  }

  progress_.body_left = boost::none;

  EXPECT_LE(stream_->EarliestLastByte(), waits_since) << "the length is not known";
}

TEST_F(WaitingRequestBodyTest, LastByteCannotHaveBeenSentIfItFitsInNoBuffer) {
  progress_.unread = 6;
  progress_.body_left = std::uint64_t{2} * MaxTcpSendBuffer();

  const TimePoint later = NextTime();

  EXPECT_GE(stream_->EarliestLastByte(), later);
}

// A client that sends slowly keeps its time: all that it sent was parsed, and the end was not among it.
TEST_F(RequestBodyTest, LastByteOfASlowClientIsStillToBeSent) {
  const Body stream = StartStream();
  progress_.read = 20;
  progress_.unparsed = 3;  // the start of a chunk's line

  const TimePoint later = NextTime();

  EXPECT_GE(stream->EarliestLastByte(), later);
}

// A client that sends its body in pieces, each of which is read at once.
class PiecewiseRequestBodyTest : public RequestBodyTest {
 protected:
  PiecewiseRequestBodyTest() { stream_->EarliestLastByte(); }  // looks at the buffer, which is empty

  // Reads `size` bytes, which came when the read had begun. `emptied_buffer`: as for EndRead().
  void ReadPiece(std::size_t size, bool emptied_buffer = true) {
    body_.BeginRead();
    body_.EndRead(progress_.read, size, emptied_buffer);
    progress_.read += size;
  }

  // Reads `size` bytes, which were there before, so that a look at the buffer on a busy machine finds them.
  void ReadWaitingPiece(std::size_t size) {
    progress_.unread = size;
    ReadPiece(size);
    progress_.unread = 0;
  }

  const Body stream_ = StartStream();
};

TEST_F(PiecewiseRequestBodyTest, FinishMarksTheTimeAtWhichTheLastByteWasSent) {
  ReadPiece(10);
  const TimePoint before_last_piece = NextTime();
  ReadPiece(10);
  const TimePoint finished = NextTime();

  body_.Finish();

  EXPECT_GE(*stream_->sent_at(), before_last_piece);
  EXPECT_LT(*stream_->sent_at(), finished);
}

// The client has sent all at once, and only the sidecar takes its time.
TEST_F(PiecewiseRequestBodyTest, BytesReadInSeveralPartsMayHaveBeenSentTogether) {
  ReadPiece(10, false);
  const TimePoint sent = NextTime();
  ReadWaitingPiece(10);

  body_.Finish();

  EXPECT_LT(*stream_->sent_at(), sent);
}

// The client's send buffer fills the receive buffer again as soon as that is read.
TEST_F(PiecewiseRequestBodyTest, EmptyReceiveBufferProvesNothingAfterItWasFull) {
  constexpr std::size_t kWindow = std::size_t{256} * 1024;
  ReadPiece(kWindow);
  const TimePoint sent = NextTime();
  ReadWaitingPiece(kWindow);

  body_.Finish();

  EXPECT_LT(*stream_->sent_at(), sent);
}

TEST_F(PiecewiseRequestBodyTest, EmptyReceiveBufferProvesNothingAfterAPause) {
  ReadPiece(10);
  body_.RecordPause();
  const TimePoint sent = NextTime();
  ReadWaitingPiece(10);
  ReadWaitingPiece(10);

  body_.Finish();

  EXPECT_LT(*stream_->sent_at(), sent);
}

}  // namespace
}  // namespace lb::sidecar
