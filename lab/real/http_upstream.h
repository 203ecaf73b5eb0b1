// Upstreams that real sidecars can call: HTTP servers on loopback, each in front of an UpstreamModel, which
// decides when and how a request is answered.
//
// A request's work is told by its header X-Work-Us, in microseconds on a core of speed 1. The answer tells in
// X-Service-Us how long after the request's arrival it was sent.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/model/scheduler.h"
#include "lab/model/upstream_model.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

inline constexpr char kWorkHeader[] = "X-Work-Us";
inline constexpr char kServiceHeader[] = "X-Service-Us";
// The index of the sidecar that a request was sent to.
inline constexpr char kSidecarHeader[] = "X-Sidecar-Index";

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
  // Empty: nobody wants to know.
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

// All upstreams of a deployment, on the thread of one io_context: every call has to be made there, or while
// it does not run.
class HttpUpstreams {
 public:
  // Listens for all of them at once. `deployment`, `spec` and `scheduler`, which has to go by the same
  // io_context, have to outlive it, and it has to outlive the last run of the io_context. Throws
  // boost::system::system_error where it can't listen.
  HttpUpstreams(boost::asio::io_context& io, Scheduler& scheduler, const Deployment& deployment,
                const UpstreamSpec& spec, const HttpUpstreamOptions& options);
  ~HttpUpstreams();

  std::size_t size() const;
  // Stays the same over crashes.
  boost::asio::ip::tcp::endpoint endpoint(std::size_t upstream) const;
  std::string address(std::size_t upstream) const;  // `127.0.0.1:port`
  // For measurements; faults go through the functions below, as they concern the sockets, too.
  const UpstreamModel& model(std::size_t upstream) const;
  const HttpUpstreamCounters& counters(std::size_t upstream) const;
  HttpUpstreamCounters TotalCounters() const;
  std::size_t open_connections() const;

  // ---- Faults ----
  // The process dies: its connections are reset and new ones are refused. Those of a silent machine are reset
  // once it is back.
  void Crash(std::size_t upstream);
  void Start(std::size_t upstream);  // a new process, cold, at the same address; it must have crashed
  void SetHanging(std::size_t upstream, bool hanging);
  void SetSlowdown(std::size_t upstream, double factor);
  // Nothing comes back: open connections are silent, new ones don't come up (but for one or two that the
  // system completes).
  void SetSilent(std::size_t upstream, bool silent);
  void SetDraining(std::size_t upstream, bool draining);

 private:
  class Server;
  class Connection;
  void SweepIdle();

  const UpstreamSpec& spec_;
  boost::asio::steady_timer sweep_timer_;
  std::vector<std::unique_ptr<Server>> servers_;
};

}  // namespace lb::lab
