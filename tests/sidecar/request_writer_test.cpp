// Writing of buffered and streamed requests to a loopback socket.
#include "sidecar/request_writer.h"

#include <boost/optional.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "tests/sidecar/socket_pair.h"

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kCapacity = 1024;  // bytes buffered by a stream

class RequestWriterTest : public testing::SocketPairTest {
 protected:
  RequestWriterTest() {
    request_.method(http::verb::post);
    request_.target("/submit/k");
    request_.version(11);
  }

  Body MakeStream(boost::optional<std::uint64_t> length) {
    return std::make_shared<BodyStream>(io_, kCapacity, length);
  }

  // Runs the write that `begin` starts to its completion.
  template <typename Begin>
  void Complete(Begin begin) {
    std::optional<boost::system::error_code> result;
    begin([&](boost::system::error_code error) { result = error; });
    RunUntil([&] { return result.has_value(); });
    EXPECT_FALSE(*result) << result->message();
  }

  void WriteHead() {
    Complete([this](auto on_written) { writer_.WriteHead(on_written); });
  }
  void WritePiece() {
    Complete([this](auto on_written) { writer_.WritePiece(on_written); });
  }

  HttpRequest request_;
  RequestWriter writer_{socket_};
};

TEST_F(RequestWriterTest, WritesABufferedBodyWithTheHead) {
  request_.body() = "abc";
  writer_.Compose(request_, nullptr, milliseconds(1500));

  WriteHead();

  EXPECT_TRUE(writer_.is_complete());
  const std::string expected =
      "POST /submit/k HTTP/1.1\r\nX-Timeout-Ms: 1500\r\nContent-Length: 3\r\n\r\nabc";
  EXPECT_EQ(ReceiveAtPeer(expected.size()), expected);
}

TEST_F(RequestWriterTest, SendsATimeoutOfAtLeastOneMillisecond) {
  writer_.Compose(request_, nullptr, Duration(0));

  WriteHead();

  const std::string expected = "POST /submit/k HTTP/1.1\r\nX-Timeout-Ms: 1\r\n";
  EXPECT_EQ(ReceiveAtPeer(expected.size()), expected);
}

TEST_F(RequestWriterTest, WritesAStreamOfKnownLengthWithoutChunks) {
  const Body stream = MakeStream(5);
  writer_.Compose(request_, stream, milliseconds(10));
  WriteHead();
  EXPECT_EQ(writer_.TakeNextPiece(), RequestWriter::NextPiece::kAwaited);

  stream->Write("abc", 3);
  ASSERT_EQ(writer_.TakeNextPiece(), RequestWriter::NextPiece::kTaken);
  WritePiece();
  EXPECT_FALSE(writer_.is_complete());
  stream->Write("de", 2);
  stream->Finish();
  ASSERT_EQ(writer_.TakeNextPiece(), RequestWriter::NextPiece::kTaken);
  WritePiece();

  EXPECT_TRUE(writer_.is_complete());
  socket_.close();
  EXPECT_TRUE(ReceiveAllAtPeer().ends_with("Content-Length: 5\r\n\r\nabcde"));
}

TEST_F(RequestWriterTest, WritesAStreamOfUnknownLengthInChunks) {
  const Body stream = MakeStream(boost::none);
  writer_.Compose(request_, stream, milliseconds(10));
  WriteHead();

  stream->Write("abc", 3);
  stream->Finish();
  ASSERT_EQ(writer_.TakeNextPiece(), RequestWriter::NextPiece::kTaken);
  WritePiece();
  EXPECT_FALSE(writer_.is_complete()) << "the last chunk is still to come";
  ASSERT_EQ(writer_.TakeNextPiece(), RequestWriter::NextPiece::kTaken);
  WritePiece();

  EXPECT_TRUE(writer_.is_complete());
  socket_.close();
  EXPECT_TRUE(ReceiveAllAtPeer().ends_with("\r\n\r\n3\r\nabc\r\n0\r\n\r\n"));
}

TEST_F(RequestWriterTest, NeedsNoWriteForTheEndOfAStreamOfKnownLength) {
  const Body stream = MakeStream(0);
  writer_.Compose(request_, stream, milliseconds(10));
  WriteHead();

  stream->Finish();

  EXPECT_EQ(writer_.TakeNextPiece(), RequestWriter::NextPiece::kNone);
  EXPECT_TRUE(writer_.is_complete());
}

TEST_F(RequestWriterTest, ReportsAnAbortedStream) {
  const Body stream = MakeStream(5);
  writer_.Compose(request_, stream, milliseconds(10));
  WriteHead();

  stream->AbortByWriter();

  EXPECT_EQ(writer_.TakeNextPiece(), RequestWriter::NextPiece::kAbandoned);
}

}  // namespace
}  // namespace lb::sidecar
