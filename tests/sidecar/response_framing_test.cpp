// Framing of upstream responses, parsed from bytes without a socket.
#include "sidecar/response_framing.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <string>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

using HeadAction = ResponseFraming::HeadAction;
using RequestProgress = ResponseFraming::RequestProgress;

// Feeds bytes to the parser as a connection does: first a head, then its body.
class Responses {
 public:
  explicit Responses(std::string bytes) : bytes_(std::move(bytes)) {}

  HeadAction ReadHead(RequestProgress progress = RequestProgress::kComplete) {
    auto& parser = framing_.ExpectHead();
    while (!parser.is_header_done() && Parse(parser)) {
    }
    return parser.is_header_done() ? framing_.ExamineHead(progress) : HeadAction::kFail;
  }

  // Returns the body, as far as the bytes contain it.
  std::string ReadBody() {
    std::string body;
    bool more = true;
    while (more && !framing_.IsComplete()) {
      char part[4];
      framing_.SetBodyBuffer(part, sizeof part);
      more = Parse(framing_.parser());
      body.append(part, sizeof part - framing_.body_buffer_left());
    }
    return body;
  }

  void Close() {
    boost::system::error_code error;
    framing_.parser().put_eof(error);
  }

  ResponseFraming& framing() { return framing_; }
  const std::string& rest() const { return bytes_; }

 private:
  // Passes bytes to the parser. Returns false on an error or if none were consumed.
  bool Parse(ResponseFraming::Parser& parser) {
    boost::system::error_code error;
    const std::size_t used = parser.put(boost::asio::buffer(bytes_), error);
    bytes_.erase(0, used);
    return used > 0 && (!error || error == http::error::need_buffer);
  }

  ResponseFraming framing_;
  std::string bytes_;
};

std::string Served(const std::string& fields, const std::string& body = "") {
  return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body;
}

Outcome OutcomeOf(unsigned status, const std::string& not_processed = "") {
  ResponseHead head;
  head.result(status);
  if (!not_processed.empty()) head.set("X-Not-Processed", not_processed);
  return ClassifyResponse(head);
}

TEST(ResponseFraming, OnlyXNotProcessedMakesARejection) {
  EXPECT_EQ(OutcomeOf(200), Outcome::kServed);
  EXPECT_EQ(OutcomeOf(200, "1"), Outcome::kServed);
  EXPECT_EQ(OutcomeOf(503, "1"), Outcome::kRejected);
  EXPECT_EQ(OutcomeOf(504, "1"), Outcome::kRejected);
  EXPECT_EQ(OutcomeOf(503), Outcome::kError);
  EXPECT_EQ(OutcomeOf(503, "0"), Outcome::kError);
  EXPECT_EQ(OutcomeOf(500, "1"), Outcome::kError);
  EXPECT_EQ(OutcomeOf(404), Outcome::kError);
  EXPECT_EQ(OutcomeOf(204), Outcome::kError);
}

TEST(ResponseFraming, BodyEndsWithItsLength) {
  Responses responses(Served("Content-Length: 10\r\n", "0123456789HTTP/1.1"));

  EXPECT_EQ(responses.ReadHead(), HeadAction::kCollectBody);
  EXPECT_EQ(responses.ReadBody(), "0123456789");

  EXPECT_TRUE(responses.framing().IsComplete());
  EXPECT_TRUE(responses.framing().KeepsConnection());
  EXPECT_EQ(responses.rest(), "HTTP/1.1");
}

TEST(ResponseFraming, BodyEndsWithItsLastChunk) {
  Responses responses(
      Served("Transfer-Encoding: Chunked\r\n", "3\r\nabc\r\n6;x=y\r\ndefghi\r\n0\r\nT: v\r\n\r\n+"));

  EXPECT_EQ(responses.ReadHead(), HeadAction::kHoldBackBody);
  EXPECT_EQ(responses.ReadBody(), "abcdefghi");

  EXPECT_TRUE(responses.framing().IsComplete());
  EXPECT_TRUE(responses.framing().KeepsConnection());
  EXPECT_EQ(responses.rest(), "+");
}

TEST(ResponseFraming, BodyWithoutALengthEndsWithItsConnection) {
  Responses responses(Served("", "abc"));

  EXPECT_EQ(responses.ReadHead(), HeadAction::kHoldBackBody);
  EXPECT_EQ(responses.ReadBody(), "abc");

  EXPECT_FALSE(responses.framing().IsComplete());
  responses.Close();
  EXPECT_TRUE(responses.framing().IsComplete());
  EXPECT_FALSE(responses.framing().KeepsConnection());
}

TEST(ResponseFraming, BodyIsStreamedOnlyAboveTheBufferLimit) {
  const auto action = [](std::uint64_t length) {
    return Responses(Served("Content-Length: " + std::to_string(length) + "\r\n")).ReadHead();
  };

  EXPECT_EQ(action(0), HeadAction::kCollectBody);
  EXPECT_EQ(action(kMaxBufferedBody), HeadAction::kCollectBody);
  EXPECT_EQ(action(kMaxBufferedBody + 1), HeadAction::kStreamBody);
}

TEST(ResponseFraming, UnsuccessfulResponseIsCollectedWhateverItsLength) {
  for (const std::string fields : {"", "Transfer-Encoding: chunked\r\n", "Content-Length: 1000000\r\n"}) {
    Responses responses("HTTP/1.1 500 Oops\r\n" + fields + "\r\n");

    EXPECT_EQ(responses.ReadHead(), HeadAction::kCollectBody) << fields;
    EXPECT_FALSE(responses.framing().IsServed());
  }
}

TEST(ResponseFraming, ServedBodyMustHaveUnambiguousFraming) {
  for (const std::string fields : {"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
                                   "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
                                   "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                                   "Content-Length: 1\r\nContent-Length: 1\r\n"}) {
    EXPECT_EQ(Responses(Served(fields)).ReadHead(), HeadAction::kFail) << fields;
  }
}

TEST(ResponseFraming, InterimResponsesComeBeforeTheFinalOne) {
  Responses responses("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                      Served("Content-Length: 1\r\n", "a"));

  EXPECT_EQ(responses.ReadHead(), HeadAction::kReadNextHead);
  EXPECT_EQ(responses.ReadHead(), HeadAction::kReadNextHead);
  EXPECT_EQ(responses.ReadHead(), HeadAction::kCollectBody);
  EXPECT_EQ(responses.ReadBody(), "a");
}

TEST(ResponseFraming, LimitsInterimResponsesPerRequest) {
  std::string bytes;
  for (int i = 0; i < 17; ++i) bytes += "HTTP/1.1 102 Processing\r\n\r\n";
  Responses responses(bytes);

  for (int i = 0; i < 8; ++i) EXPECT_EQ(responses.ReadHead(), HeadAction::kReadNextHead) << i;
  responses.framing().StartExchange();
  for (int i = 0; i < 8; ++i) EXPECT_EQ(responses.ReadHead(), HeadAction::kReadNextHead) << i;

  EXPECT_EQ(responses.ReadHead(), HeadAction::kFail);
}

TEST(ResponseFraming, RefusesToSwitchProtocols) {
  EXPECT_EQ(Responses("HTTP/1.1 101 Switching Protocols\r\n\r\n").ReadHead(), HeadAction::kFail);
}

TEST(ResponseFraming, FailsAServedResponseToAnIncompleteRequest) {
  const auto progress = RequestProgress::kIncomplete;

  EXPECT_EQ(Responses(Served("Content-Length: 0\r\n")).ReadHead(progress), HeadAction::kFail);
  EXPECT_EQ(Responses("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n").ReadHead(progress),
            HeadAction::kCollectBody);
}

TEST(ResponseFraming, ConnectionCloseEndsTheConnection) {
  Responses responses(Served("Connection: close\r\nContent-Length: 1\r\n", "a"));

  EXPECT_EQ(responses.ReadHead(), HeadAction::kCollectBody);
  responses.ReadBody();

  EXPECT_TRUE(responses.framing().IsComplete());
  EXPECT_FALSE(responses.framing().KeepsConnection());
}

TEST(ResponseFraming, HeadCanBeTakenWithoutItsBody) {
  Responses responses(Served("X-A: b\r\nContent-Length: 1\r\n", "a"));
  responses.ReadHead();
  responses.ReadBody();

  const HttpResponse response = responses.framing().TakeHead();

  EXPECT_EQ(response["X-A"], "b");
  EXPECT_TRUE(response.body().empty());
}

}  // namespace
}  // namespace lb::sidecar
