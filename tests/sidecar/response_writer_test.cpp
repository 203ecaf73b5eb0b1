// ResponseWriter on a connected pair of sockets: the bytes that a client receives, and the outcome reported.
#include "sidecar/response_writer.h"

#include <boost/optional.hpp>
#include <memory>
#include <optional>
#include <string>

#include "tests/sidecar/socket_pair.h"

namespace lb::sidecar {
namespace {

using Outcome = ResponseWriter::Outcome;

constexpr std::size_t kCapacity = 1024;  // of a stream, in bytes

class ResponseWriterTest : public testing::SocketPairTest {
 protected:
  ResponseWriterTest() { writer_.SetOwner(std::weak_ptr<void>(owner_)); }

  static HttpResponse Response(const std::string& body) {
    HttpResponse response(http::status::ok, 11);
    response.body() = body;
    response.prepare_payload();
    return response;
  }

  Body MakeStream(boost::optional<std::uint64_t> length) {
    return std::make_shared<BodyStream>(io_, kCapacity, length);
  }

  Outcome WaitForOutcome() {
    RunUntil([this] { return outcome_.has_value(); });
    return *outcome_;
  }

  std::string CloseAndReceive() {
    socket_.close();
    return ReceiveAllAtPeer();
  }

  const std::shared_ptr<int> owner_ = std::make_shared<int>();
  std::optional<Outcome> outcome_;
  ResponseWriter writer_{socket_, [this](Outcome outcome) { outcome_ = outcome; }};
};

TEST_F(ResponseWriterTest, WritesAWholeResponse) {
  writer_.WriteWhole(Response("abc"), true);

  EXPECT_EQ(WaitForOutcome(), Outcome::kWritten);
  const std::string bytes = CloseAndReceive();
  EXPECT_TRUE(bytes.starts_with("HTTP/1.1 200 OK\r\n")) << bytes;
  EXPECT_TRUE(bytes.ends_with("\r\n\r\nabc")) << bytes;
}

TEST_F(ResponseWriterTest, SendsTheInterimResponseAheadOfTheResponse) {
  writer_.WriteContinue();
  writer_.WriteWhole(Response("abc"), true);

  EXPECT_EQ(WaitForOutcome(), Outcome::kWritten);
  EXPECT_TRUE(CloseAndReceive().starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"));
}

// The probe of an HTTP/1.0 client is the beginning of its response, which must not be sent twice.
TEST_F(ResponseWriterTest, SendsNoByteTwiceAfterAProbeOfAnHttp10Client) {
  writer_.set_version(10);
  ASSERT_TRUE(writer_.WriteProbe());
  ASSERT_TRUE(writer_.WriteProbe());
  writer_.WriteWhole(Response("abc"), false);

  EXPECT_EQ(WaitForOutcome(), Outcome::kWritten);
  const std::string bytes = CloseAndReceive();
  EXPECT_TRUE(bytes.starts_with("HTTP/1.0 200 OK\r\n")) << bytes;
  EXPECT_TRUE(bytes.ends_with("\r\n\r\nabc")) << bytes;
}

TEST_F(ResponseWriterTest, BoundsItsProbes) {
  writer_.set_version(10);
  int probes = 0;
  while (probes < 100 && writer_.CanWriteProbe()) {
    ASSERT_TRUE(writer_.WriteProbe());
    ++probes;
  }

  EXPECT_LT(probes, 100);
  EXPECT_TRUE(std::string("HTTP/1.0 ").starts_with(CloseAndReceive()));
}

TEST_F(ResponseWriterTest, WritesAStreamOfUnknownLengthInChunks) {
  const Body stream = MakeStream(boost::none);
  EXPECT_TRUE(writer_.IsDelimited(*stream));
  HttpResponse head(http::status::ok, 11);
  writer_.WriteStreamed(std::move(head), stream, true);

  stream->Write("abc", 3);
  stream->Finish();

  EXPECT_EQ(WaitForOutcome(), Outcome::kWritten);
  EXPECT_TRUE(CloseAndReceive().ends_with("\r\n\r\n3\r\nabc\r\n0\r\n\r\n"));
}

TEST_F(ResponseWriterTest, EndsAStreamToAnHttp10ClientByClosingTheConnection) {
  writer_.set_version(10);
  const Body stream = MakeStream(boost::none);
  EXPECT_FALSE(writer_.IsDelimited(*stream));
  HttpResponse head(http::status::ok, 11);
  writer_.WriteStreamed(std::move(head), stream, false);

  stream->Write("abc", 3);
  stream->Finish();

  EXPECT_EQ(WaitForOutcome(), Outcome::kWritten);
  EXPECT_TRUE(CloseAndReceive().ends_with("\r\n\r\nabc"));
}

TEST_F(ResponseWriterTest, ReportsAnAbortedBody) {
  const Body stream = MakeStream(10);
  HttpResponse head(http::status::ok, 11);
  writer_.WriteStreamed(std::move(head), stream, true);

  stream->Write("abc", 3);
  stream->AbortByWriter();

  EXPECT_EQ(WaitForOutcome(), Outcome::kBodyAborted);
}

TEST_F(ResponseWriterTest, ReportsABrokenConnection) {
  const Body stream = MakeStream(boost::none);
  HttpResponse head(http::status::ok, 11);
  writer_.WriteStreamed(std::move(head), stream, true);
  peer_.set_option(boost::asio::socket_base::linger(true, 0));
  peer_.close();  // closes with a reset

  RunUntil([&] {
    if (!outcome_) stream->Write("x", 1);
    return outcome_.has_value();
  });

  EXPECT_EQ(outcome_, Outcome::kConnectionBroken);
  writer_.Abandon();
  EXPECT_TRUE(stream->abandoned_by_reader()) << "the body's writer has to stop";
}

}  // namespace
}  // namespace lb::sidecar
