// Clients that stop in the middle of a request and stay: whether a sidecar answers or closes in time.
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

// An error or a close is owed to such a client so long after it has connected, with the slack that the
// protocol gives on sockets.
inline constexpr Duration kStalledClientLimit = std::chrono::milliseconds(3050);

enum class StallPoint {
  kRequestLine,  // before the request line's end
  kHeaders,      // before the end of the headers
  kBody,         // before the last byte of the body
};
inline constexpr std::size_t kStallPoints = 3;

// Since the last look.
struct StalledClientCounters {
  std::uint64_t begun = 0;       // that were connected, and have written what they write
  std::uint64_t in_time = 0;     // of these, ended by the sidecar within kStalledClientLimit
  std::uint64_t unanswered = 0;  // of these, not ended within it
  StalledClientCounters& operator+=(const StalledClientCounters& other);
};

// All on the thread of one io_context, by which `scheduler` has to go, too: every call has to be made there,
// or while it does not run.
class StalledClients {
 public:
  // Both have to outlive it.
  StalledClients(boost::asio::io_context& io, Scheduler& scheduler);
  ~StalledClients();

  // A client connects, writes a request of that class up to `point`, and waits for its end. What does not
  // connect is not counted.
  void Begin(const boost::asio::ip::tcp::endpoint& sidecar, const std::string& class_name, StallPoint point);
  StalledClientCounters Take();
  std::size_t open() const;  // that wait

 private:
  class Client;
  struct State;
  boost::asio::io_context& io_;
  Scheduler& scheduler_;
  std::shared_ptr<State> state_;
};

}  // namespace lb::lab
