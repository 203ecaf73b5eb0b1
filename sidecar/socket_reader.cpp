#include "sidecar/socket_reader.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lb::sidecar {
namespace {

using boost::beast::flat_buffer;
using boost::system::error_code;

// Pause before a retry after ENOBUFS or ENOMEM. The bytes are still in the socket, so an immediate retry
// would only spin.
constexpr auto kShortagePause = std::chrono::milliseconds(5);

}  // namespace

void SocketReader::Read(flat_buffer& buffer, std::size_t limit, Handler handler) {
  reading_ = true;
  WaitUntilReadable(buffer, limit, std::move(handler));
}

// The socket may be closed before the wait completes, which ends the wait with an error.
void SocketReader::WaitUntilReadable(flat_buffer& buffer, std::size_t limit, Handler handler) {
  socket_.async_wait(Socket::wait_read,
                     [this, &buffer, limit, handler = std::move(handler)](error_code error) mutable {
                       if (error) return Complete({IoStatus::kBroken, 0, error}, handler);
                       ReadOnce(buffer, limit, std::move(handler));
                     });
}

void SocketReader::ReadOnce(flat_buffer& buffer, std::size_t limit, Handler handler) {
  const auto space = buffer.prepare(std::min(buffer.max_size() - buffer.size(), limit));
  const IoResult result = ReadSome(socket_.native_handle(), space.data(), space.size());
  switch (result.status) {
    case IoStatus::kWouldBlock:
      return WaitUntilReadable(buffer, limit, std::move(handler));
    case IoStatus::kMemoryShortage:
      return PauseAfterShortage(buffer, limit, std::move(handler));
    case IoStatus::kDone:
      buffer.commit(result.size);
      return Complete(result, handler);
    case IoStatus::kEnd:
    case IoStatus::kBroken:
      return Complete(result, handler);
  }
}

// The socket may be closed during the pause; the following wait then reports it.
void SocketReader::PauseAfterShortage(flat_buffer& buffer, std::size_t limit, Handler handler) {
  shortage_pause_.expires_after(kShortagePause);
  shortage_pause_.async_wait([this, &buffer, limit, handler = std::move(handler)](error_code error) mutable {
    if (error) return Complete({IoStatus::kBroken, 0, error}, handler);
    WaitUntilReadable(buffer, limit, std::move(handler));
  });
}

void SocketReader::Complete(const IoResult& result, const Handler& handler) {
  reading_ = false;
  handler(result);
}

}  // namespace lb::sidecar
