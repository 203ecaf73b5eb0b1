// Request framing without a socket: where requests begin and end, and which are rejected.
#include "sidecar/request_framing.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <string>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

using Outcome = RequestFraming::Outcome;

// Passes bytes to the framing as a connection does, up to the end of one request, a fault, or the end of the
// bytes.
class RequestFramingTest : public ::testing::Test {
 protected:
  void Receive(const std::string& bytes) {
    buffer_.commit(boost::asio::buffer_copy(buffer_.prepare(bytes.size()), boost::asio::buffer(bytes)));
  }

  Outcome Frame() {
    outcome_ = Outcome::kNeedsBytes;
    while (buffer_.size() > 0) {
      RequestFraming::Piece piece;
      const auto step = framing_.Next(buffer_, piece);
      body_.append(step.body.data(), step.body.size());
      fault_ = step.fault;
      outcome_ = step.outcome;
      if (outcome_ != Outcome::kProgress) break;
    }
    return outcome_;
  }

  Outcome Frame(const std::string& bytes) {
    Receive(bytes);
    return Frame();
  }

  // Receives as many of these bytes as leave room for `room` bytes in the buffer.
  Outcome FillBuffer(char byte, std::size_t room) {
    return Frame(std::string(buffer_.max_size() - buffer_.size() - room, byte));
  }

  boost::beast::flat_buffer buffer_{kMaxReadAhead};
  RequestFraming framing_;
  std::string body_;
  RequestFault fault_;
  Outcome outcome_ = Outcome::kNeedsBytes;
};

const std::string kGet = "GET /page/k HTTP/1.1\r\nHost: x\r\n\r\n";

std::string Post(const std::string& headers, const std::string& body) {
  return "POST /submit/k HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n" + body;
}

TEST_F(RequestFramingTest, EndsARequestWithoutABodyAtItsHead) {
  EXPECT_EQ(Frame(kGet), Outcome::kRequestComplete);
  EXPECT_EQ(framing_.head().target(), "/page/k");
  EXPECT_EQ(buffer_.size(), 0U);
}

TEST_F(RequestFramingTest, LeavesThePipelinedRequestInTheBuffer) {
  Receive(kGet + kGet);

  EXPECT_EQ(Frame(), Outcome::kRequestComplete);
  EXPECT_EQ(buffer_.size(), kGet.size());
  framing_.StartRequest();
  EXPECT_EQ(Frame(), Outcome::kRequestComplete);
}

TEST_F(RequestFramingTest, AcceptsAHeadReceivedByteByByte) {
  for (std::size_t i = 0; i + 1 < kGet.size(); ++i) {
    ASSERT_EQ(Frame(kGet.substr(i, 1)), Outcome::kNeedsBytes) << i;
  }

  EXPECT_EQ(Frame(kGet.substr(kGet.size() - 1)), Outcome::kRequestComplete);
}

TEST_F(RequestFramingTest, AcceptsABodyWithALength) {
  EXPECT_EQ(Frame(Post("Content-Length: 5\r\n", "hello")), Outcome::kRequestComplete);
  EXPECT_EQ(body_, "hello");
}

TEST_F(RequestFramingTest, ReportsTheRemainingLengthOfABody) {
  EXPECT_EQ(Frame(Post("Content-Length: 5\r\n", "he")), Outcome::kProgress);
  EXPECT_EQ(framing_.content_length_remaining().value_or(0), 3U);
}

TEST_F(RequestFramingTest, AcceptsAChunkedBodyAndItsTrailers) {
  EXPECT_EQ(Frame(Post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n")),
            Outcome::kRequestComplete);
  EXPECT_EQ(body_, "abcde");
  EXPECT_FALSE(framing_.CheckComplete({}));
}

// Guards against a connection that waits for the end of a chunk's line for ever: nothing more can be read
// once the buffer is full.
TEST_F(RequestFramingTest, RejectsAChunkLineThatDoesNotFitInTheBuffer) {
  Frame(Post("Transfer-Encoding: chunked\r\n", ""));

  EXPECT_EQ(FillBuffer('x', 1), Outcome::kNeedsBytes);
  EXPECT_EQ(Frame("x"), Outcome::kFault);
  EXPECT_EQ(fault_.status, http::status::bad_request);
}

TEST_F(RequestFramingTest, RejectsTrailersThatDoNotFitInTheBuffer) {
  Frame(Post("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\nX-Trailer: "));

  EXPECT_EQ(FillBuffer('t', 1), Outcome::kNeedsBytes);
  EXPECT_EQ(Frame("t"), Outcome::kFault);
  EXPECT_EQ(fault_.status, http::status::bad_request);
}

TEST_F(RequestFramingTest, SkipsOneEmptyLineBeforeARequest) {
  EXPECT_EQ(Frame("\r\n"), Outcome::kProgress);
  EXPECT_FALSE(framing_.HasRequestBegun());
  EXPECT_EQ(Frame(kGet), Outcome::kRequestComplete);
}

TEST_F(RequestFramingTest, SkipsAnEmptyLineReceivedInTwoParts) {
  EXPECT_EQ(Frame("\r"), Outcome::kNeedsBytes);
  EXPECT_EQ(Frame("\n" + kGet), Outcome::kRequestComplete);
}

TEST_F(RequestFramingTest, RejectsASecondEmptyLine) {
  EXPECT_EQ(Frame("\r\n\r\n" + kGet), Outcome::kFault);
  EXPECT_EQ(fault_.reason, "bad request head");
}

TEST_F(RequestFramingTest, ReportsThatARequestHasBegun) {
  EXPECT_FALSE(framing_.HasAnyRequestBegun());

  Frame("GE");
  EXPECT_TRUE(framing_.HasRequestBegun());
  framing_.StartRequest();

  EXPECT_FALSE(framing_.HasRequestBegun());
  EXPECT_TRUE(framing_.HasAnyRequestBegun());
}

TEST_F(RequestFramingTest, RejectsAnAnnouncedBodyBeyondTheLimit) {
  const std::string length = std::to_string(kMaxStreamedBody + 1);

  EXPECT_EQ(Frame(Post("Content-Length: " + length + "\r\n", "")), Outcome::kFault);
  EXPECT_EQ(fault_.status, http::status::payload_too_large);
}

TEST_F(RequestFramingTest, RejectsAHeadBeyondTheLimit) {
  EXPECT_EQ(Frame("GET /page/k HTTP/1.1\r\nX: " + std::string(kMaxHeaderSize, 'x')), Outcome::kFault);
  EXPECT_EQ(fault_.status, http::status::bad_request);
}

TEST_F(RequestFramingTest, RejectsBytesAfterABodyThatBeginNoRequest) {
  Frame(Post("Content-Length: 2\r\n", "hello"));

  const auto fault = framing_.CheckComplete("llo");

  ASSERT_TRUE(fault);
  EXPECT_EQ(fault->reason, "no request behind the body");
}

struct RejectedRequest {
  std::string name;
  std::string bytes;
};

class RejectedFraming : public RequestFramingTest, public ::testing::WithParamInterface<RejectedRequest> {};

TEST_P(RejectedFraming, IsABadRequest) {
  EXPECT_EQ(Frame(GetParam().bytes), Outcome::kFault);
  EXPECT_EQ(fault_.status, http::status::bad_request);
}

INSTANTIATE_TEST_SUITE_P(
    RequestFraming, RejectedFraming,
    ::testing::Values(
        RejectedRequest{"UnservedMethod", "PUT /k HTTP/1.1\r\nHost: x\r\n\r\n"},
        RejectedRequest{"BareLineFeed", "GET /k HTTP/1.1\nHost: x\r\n\r\n"},
        RejectedRequest{"BareCarriageReturn", "GET /k HTTP/1.1\rHost: x\r\n\r\n"},
        RejectedRequest{"FoldedHeader", "GET /k HTTP/1.1\r\nX: a\r\n b\r\n\r\n"},
        RejectedRequest{"ZeroByte", std::string("GET /k HTTP/1.1\r\nX: \0a\r\n\r\n", 26)},
        RejectedRequest{"LengthAndCoding",
                        Post("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n")},
        RejectedRequest{"TwoLengths", Post("Content-Length: 1\r\nContent-Length: 1\r\n", "x")},
        RejectedRequest{"SignedLength", Post("Content-Length: +1\r\n", "x")},
        RejectedRequest{"UnknownCoding", Post("Transfer-Encoding: gzip\r\n", "x")},
        RejectedRequest{"CodingInHttp10", "POST /k HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}),
    [](const auto& rejected) { return rejected.param.name; });

TEST(OriginForm, RemovesSchemeAndServer) {
  EXPECT_EQ(OriginForm("http://host:80/page/k?q=1"), "/page/k?q=1");
  EXPECT_EQ(OriginForm("HTTP://host"), "/");
  EXPECT_EQ(OriginForm("/page/k"), "/page/k");
}

}  // namespace
}  // namespace lb::sidecar
