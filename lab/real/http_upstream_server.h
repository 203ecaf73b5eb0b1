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

// A request that arrived whole, with an id.
struct ArrivedAttempt {
  std::size_t upstream = 0;
  std::optional<std::size_t> sidecar;  // as kSidecarHeader says
  Duration work{};                     // on a core of speed 1
  TimePoint at;
};

struct HttpUpstreamOptions {
  bool probes = false;          // else they are answered with 404
  bool answer_at_once = false;  // the model is not asked: for measuring what else takes time
  // Empty: not called.
  std::function<void(const ArrivedAttempt&)> on_attempt = {};
  std::function<void(std::size_t upstream, TimePoint at)> on_start = {};  // of a new process, cold
};

// Since the start of the run.
struct HttpUpstreamCounters {
  std::uint64_t connections = 0;  // that were opened
  std::uint64_t requests = 0;     // that arrived whole, with an id
  std::uint64_t served = 0;       // answered with 200
  std::uint64_t turned_away = 0;
  std::uint64_t abandoned = 0;  // whose connection was closed by the caller, or reset, before the answer
  std::uint64_t bad = 0;        // without an id, or no request at all
  std::uint64_t probes = 0;
  std::uint64_t probe_bytes = 0;  // of probes and their answers
  HttpUpstreamCounters& operator+=(const HttpUpstreamCounters& other);
};

class HttpUpstreamConnection;

// On the thread of one io_context: every call has to be made there, or while it does not run.
class HttpUpstreamServer {
 public:
  // Listens at once. `scheduler`, which has to go by the same io_context, `instance` and `spec` have to
  // outlive it. Throws boost::system::system_error if it can't listen.
  HttpUpstreamServer(boost::asio::io_context& io, Scheduler& run_scheduler, const UpstreamInstance& instance,
                     const UpstreamSpec& spec, HttpUpstreamOptions run_options);
  ~HttpUpstreamServer();
  HttpUpstreamServer(const HttpUpstreamServer&) = delete;
  HttpUpstreamServer& operator=(const HttpUpstreamServer&) = delete;

  // The process dies: its connections are reset and new ones are refused. Those of a silent machine are reset
  // once it is back.
  void Crash();
  // A new process, cold, at the same address; the one before must have crashed.
  void Start();
  // Nothing comes back: open connections are silent, new ones don't come up (but for one or two that the
  // system completes).
  void SetSilent(bool silent);
  void CloseIdleSince(TimePoint time);

  bool is_silent() const { return is_silent_; }
  // Stays the same over crashes.
  const boost::asio::ip::tcp::endpoint& endpoint() const { return port_.endpoint(); }
  std::size_t open_connections() const { return connections_.size(); }

  // Called by a connection that has ended.
  void Remove(const std::shared_ptr<HttpUpstreamConnection>& connection) { connections_.erase(connection); }

  // Shared with the connections, which count and ask the model themselves.
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
  // Keeps the system from completing connections: its backlog is full.
  void FillBacklog();
  void ResetLeftBehind();

  boost::asio::io_context& io_;
  const PortReservation port_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::set<std::shared_ptr<HttpUpstreamConnection>> connections_;
  std::vector<boost::asio::ip::tcp::socket> fillers_;  // that fill a silent machine's backlog
  std::vector<boost::asio::ip::tcp::socket>
      left_behind_;  // of a process that died while its machine was silent
  bool is_running_ = true;
  bool is_silent_ = false;
};

}  // namespace lb::lab
