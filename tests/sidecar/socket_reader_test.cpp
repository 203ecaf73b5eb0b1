// Reads from a socket: bytes, the end of the input, and a close of the socket during a read. Shortages of
// memory are tested with the real program in system_call_faults_test.
#include "sidecar/socket_reader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <optional>
#include <string>

#include "tests/sidecar/socket_pair.h"

namespace lb::sidecar {
namespace {

using boost::asio::ip::tcp;
class SocketReaderTest : public testing::SocketPairTest {
 protected:
  void StartRead(std::size_t limit) {
    result_.reset();
    reader_.Read(buffer_, limit, [this](const IoResult& result) { result_ = result; });
  }

  IoResult FinishRead() {
    io_.restart();
    while (!result_) io_.run_one();
    return *result_;
  }

  std::string Buffered() const { return boost::beast::buffers_to_string(buffer_.data()); }

  SocketReader reader_{socket_};
  boost::beast::flat_buffer buffer_{16};
  std::optional<IoResult> result_;
};

TEST_F(SocketReaderTest, AppendsNoMoreThanItsLimit) {
  boost::asio::write(peer_, boost::asio::buffer(std::string("abcdef")));

  StartRead(4);
  const IoResult result = FinishRead();

  EXPECT_EQ(result.status, IoStatus::kDone);
  EXPECT_EQ(result.size, 4U);
  EXPECT_EQ(Buffered(), "abcd");
}

TEST_F(SocketReaderTest, AppendsNoMoreThanTheBufferHolds) {
  boost::asio::write(peer_, boost::asio::buffer(std::string(20, 'x')));

  StartRead(1000);
  const IoResult result = FinishRead();

  EXPECT_EQ(result.size, 16U);
  EXPECT_EQ(buffer_.size(), buffer_.max_size());
}

TEST_F(SocketReaderTest, AllocatesNoMemoryWhileItWaits) {
  StartRead(8);
  io_.poll();

  EXPECT_TRUE(reader_.IsReading());
  EXPECT_EQ(buffer_.capacity(), 0U);
}

TEST_F(SocketReaderTest, ReportsTheEndOfInput) {
  peer_.shutdown(tcp::socket::shutdown_send);

  StartRead(8);
  const IoResult result = FinishRead();

  EXPECT_EQ(result.status, IoStatus::kEnd);
  EXPECT_FALSE(reader_.IsReading());
}

TEST_F(SocketReaderTest, EndsAsBrokenWhenItsSocketIsClosed) {
  StartRead(8);

  socket_.close();
  const IoResult result = FinishRead();

  EXPECT_EQ(result.status, IoStatus::kBroken);
  EXPECT_EQ(result.error, boost::asio::error::operation_aborted);
}

}  // namespace
}  // namespace lb::sidecar
