// Collecting and streaming of a response's body.
#include "sidecar/response_body.h"

#include <boost/asio/io_context.hpp>
#include <cstring>
#include <string>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

constexpr std::size_t kCapacity = 8;  // bytes buffered by a stream

void Add(ResponseBody& body, const std::string& part) {
  std::memcpy(body.PreparePart(), part.data(), part.size());
  body.TakePart(part.size());
}

TEST(ResponseBody, CollectsUntilItIsTaken) {
  ResponseBody body;
  Add(body, "abc");
  Add(body, "de");

  EXPECT_EQ(body.collected(), 5U);
  EXPECT_EQ(body.TakeCollected(), "abcde");
  EXPECT_EQ(body.collected(), 0U);
}

TEST(ResponseBody, StreamStartsWithWhatWasCollected) {
  boost::asio::io_context io;
  ResponseBody body;
  Add(body, "abc");

  const Body stream = body.StartStreaming(io, kCapacity, boost::none, nullptr);
  Add(body, "de");
  body.Finish();

  EXPECT_EQ(stream->Read(), "abcde");
  EXPECT_TRUE(stream->fully_read());
  EXPECT_FALSE(body.is_streaming());
}

TEST(ResponseBody, NotifiesWhenTheStreamHasCapacityAgain) {
  boost::asio::io_context io;
  ResponseBody body;
  int calls = 0;
  const Body stream = body.StartStreaming(io, kCapacity, boost::none, [&] { ++calls; });

  Add(body, "12345678");
  EXPECT_FALSE(body.HasCapacity());
  stream->Read();
  io.run();

  EXPECT_TRUE(body.HasCapacity());
  EXPECT_EQ(calls, 1);
  EXPECT_FALSE(body.IsAbandonedByReader());
}

TEST(ResponseBody, AbortEndsTheStreamAndItsNotifications) {
  boost::asio::io_context io;
  ResponseBody body;
  int calls = 0;
  const Body stream = body.StartStreaming(io, kCapacity, boost::none, [&] { ++calls; });

  body.Abort();
  stream->AbandonByReader();
  io.run();

  EXPECT_TRUE(stream->aborted());
  EXPECT_EQ(calls, 0);
}

}  // namespace
}  // namespace lb::sidecar
