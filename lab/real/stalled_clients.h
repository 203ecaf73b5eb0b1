// Clients that stop writing in the middle of a request and keep the connection open, to check whether a
// sidecar responds or closes the connection in time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "lab/model/scheduler.h"

namespace lb::lab {

// Time after connecting within which the sidecar has to send an error response or close the connection,
// including the tolerance that the protocol grants for sockets.
inline constexpr Duration kStalledClientLimit = std::chrono::milliseconds(3050);

enum class StallPoint {
  kRequestLine,  // before the request line's end
  kHeaders,      // before the end of the headers
  kBody,         // before the last byte of the body
};
inline constexpr std::size_t kStallPoints = 3;

// Counts since the last call of StalledClients::Take().
struct StalledClientCounters {
  std::uint64_t begun = 0;       // clients that connected and wrote the beginning of a request
  std::uint64_t in_time = 0;     // clients answered or closed by the sidecar within kStalledClientLimit
  std::uint64_t unanswered = 0;  // clients neither answered nor closed within that time
  StalledClientCounters& operator+=(const StalledClientCounters& other);
};

// Not thread-safe: call it only on the thread of its io_context, or while the io_context is not running.
class StalledClients {
 public:
  // `scheduler` has to run on `io`. Both have to outlive this object.
  StalledClients(boost::asio::io_context& io, Scheduler& scheduler);
  ~StalledClients();

  // Starts a client that connects, writes a request of the class `class_name` up to `point`, and waits for a
  // response or a close. A client that fails to connect is not counted.
  void Begin(const boost::asio::ip::tcp::endpoint& sidecar, const std::string& class_name, StallPoint point);
  // Returns the counts since the last call and resets them.
  StalledClientCounters Take();
  std::size_t open() const;  // clients that are still connecting or waiting

 private:
  class Client;
  struct State;
  boost::asio::io_context& io_;
  Scheduler& scheduler_;
  std::shared_ptr<State> state_;
};

}  // namespace lb::lab
