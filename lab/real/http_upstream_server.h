// One emulated upstream: a listening address on loopback and the UpstreamModel behind it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "lab/model/scheduler.h"
#include "lab/model/upstream_model.h"
#include "lab/real/port_reservation.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

// A complete request with a request id, as it arrived at an upstream.
struct ArrivedAttempt {
  std::size_t upstream = 0;
  std::optional<std::size_t> sidecar;  // from kSidecarHeader
  Duration work{};                     // service time on a core of speed 1
  TimePoint at;
};

struct HttpUpstreamOptions {
  bool probes = false;        // whether probes are answered; otherwise they get 404
  bool bypass_model = false;  // bypass the model, to measure the cost of everything else
  // Optional callbacks. `on_start` reports the start of a new, cold process.
  std::function<void(const ArrivedAttempt&)> on_attempt = {};
  std::function<void(std::size_t upstream, TimePoint at)> on_start = {};
};

// Counts since the start of the run.
struct HttpUpstreamCounters {
  std::uint64_t connections = 0;  // accepted connections
  std::uint64_t requests = 0;     // complete requests with a request id
  std::uint64_t served = 0;       // answered with 200
  std::uint64_t rejected = 0;     // answered as not processed: draining, full or not admitted
  std::uint64_t abandoned = 0;    // requests whose connection ended before the response
  std::uint64_t invalid = 0;      // requests without an id, and malformed messages
  std::uint64_t probes = 0;
  std::uint64_t probe_bytes = 0;  // of probes and their responses
  HttpUpstreamCounters& operator+=(const HttpUpstreamCounters& other);
};

class HttpUpstreamConnection;

// The listening socket and the connections of one emulated upstream. Not thread-safe: call it only on the
// thread of its io_context, or while the io_context is not running.
class HttpUpstreamServer {
 public:
  // Starts listening. `run_scheduler` has to run on the same io_context; `run_scheduler`, `instance` and
  // `spec` have to outlive this object. Throws boost::system::system_error if the socket cannot listen.
  HttpUpstreamServer(boost::asio::io_context& io, Scheduler& run_scheduler, const UpstreamInstance& instance,
                     const UpstreamSpec& spec, HttpUpstreamOptions run_options);
  ~HttpUpstreamServer();
  HttpUpstreamServer(const HttpUpstreamServer&) = delete;
  HttpUpstreamServer& operator=(const HttpUpstreamServer&) = delete;

  // Emulates the death of the process: open connections are reset and new ones are refused. While the machine
  // is silent, the resets are delayed until it is reachable again.
  void Crash();
  // Starts a new, cold process at the same address; the previous one must have crashed.
  void Start();
  // Emulates an unreachable machine: open connections get no data, and new ones are not established, except
  // for one or two that the kernel completes.
  void SetSilent(bool silent);
  // Closes connections that have been idle since `time` or longer.
  void CloseIdleSince(TimePoint time);

  bool is_silent() const { return is_silent_; }
  // The listening address; a crash does not change it.
  const boost::asio::ip::tcp::endpoint& endpoint() const { return port_.endpoint(); }
  std::size_t open_connections() const { return connections_.size(); }

  // Called by a connection when it ends.
  void Remove(const std::shared_ptr<HttpUpstreamConnection>& connection) { connections_.erase(connection); }

  // Public for the connections, which update the counters and call the model directly.
  Scheduler& scheduler;
  UpstreamModel model;
  const HttpUpstreamOptions options;
  HttpUpstreamCounters counters;

 private:
  void Listen();
  void Accept();
  void OnAccept(boost::system::error_code error, boost::asio::ip::tcp::socket socket);
  void RetryAccept();
  bool IsFiller(const boost::asio::ip::tcp::endpoint& caller) const;
  // Fills the listen backlog, so that the kernel completes no further connections.
  void FillBacklog();
  void ResetReleasedSockets();

  boost::asio::io_context& io_;
  const PortReservation port_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::set<std::shared_ptr<HttpUpstreamConnection>> connections_;
  std::vector<boost::asio::ip::tcp::socket> fillers_;  // fill the backlog of a silent machine
  // Sockets of a process that died while its machine was silent, to be reset once it is reachable again.
  std::vector<boost::asio::ip::tcp::socket> released_sockets_;
  bool is_running_ = true;
  bool is_silent_ = false;
};

}  // namespace lb::lab
