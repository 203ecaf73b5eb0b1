// An experiment: the deployment, its load, its faults by time, and the expectations on its metrics. It is
// read from a TOML file (docs/lab.md lists every key); a file with any error is rejected.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "balancer/balancer.h"

namespace lb::lab {

using lb::Duration;

// An experiment file is invalid. what() is one line, `FILE:LINE: reason`.
class ExperimentError : public std::runtime_error {
 public:
  ExperimentError(const std::string& file, std::size_t line, const std::string& what);
  std::size_t line() const { return line_; }

 private:
  std::size_t line_;
};

// Range of a uniform distribution. A single number in the file sets both bounds.
struct Range {
  double low = 0;
  double high = 0;
};

enum class ClockKind {
  kVirtual,  // discrete-event simulation with hollow sidecars only, as fast as possible and reproducible
  kReal,     // loopback sockets and the machine's clock, with hollow and real sidecars
};

// Which upstreams a sidecar's endpoint list contains.
enum class ListScope {
  kAll,      // every upstream of the fleet
  kService,  // the upstreams of the service that the sidecar calls
};

// A class of requests.
struct ClassSpec {
  std::string name;
  double share = 1;              // of the requests, relative to the other classes' shares
  Duration mean_work{};          // on a core of speed 1
  double work_variation = 1;     // coefficient of variation of the lognormal distribution of work
  Duration latency_objective{};  // an answer within this time counts as in time
  Duration deadline{};           // time after which the client gives up
  lb::Idempotency idempotency = lb::Idempotency::kIdempotent;
  Duration key_window = std::chrono::seconds(5);  // idempotency key window, for a keyed class
  double priority_weight = 1;
};

// A kind of upstream machine.
struct KindSpec {
  std::string name;
  double share = 1;  // of the upstreams, relative to the other kinds' shares
  int cores = 2;
  double speed = 1;            // speed factor of each core
  double slots_per_core = 4;   // requests run at once
  double queue_per_core = 20;  // requests queued; further ones are rejected
  double connections_per_core = 600;
};

// Properties that all upstreams share, whatever their kind.
struct UpstreamSpec {
  std::vector<KindSpec> kinds;
  Duration handshake_work{};  // processor time of a new connection, on a core of speed 1
  Duration probe_work{};      // processor time of a load probe, likewise
  // Share of the capacity used up by a full connection table; a partly filled one uses a proportional share.
  double full_table_cost = 0;
  Duration idle_close = std::chrono::seconds(15);
  double slow_start_initial_share = 1;  // share of the capacity available right after a start
  Duration slow_start_duration = std::chrono::seconds(5);  // time of the linear rise to full capacity
  bool cancel_stops_work = false;  // whether closing a connection stops the work of its requests
  // Slowdown under sustained overload: an upstream with more than `overload_at` running and queued requests
  // per core for `overload_after` becomes `overload_slowdown` times slower, until it has had fewer than
  // `recovered_below` per core for `recovery_time`.
  double overload_at = 0;  // 0 disables the slowdown
  Duration overload_after{};
  double overload_slowdown = 1;
  double recovered_below = 0.3;
  Duration recovery_time = std::chrono::seconds(3);
};

// One-way delays added to each message. `jitter` is the share (0 to 1) by which a delay varies up or down.
struct NetworkSpec {
  Duration same_zone = std::chrono::microseconds(250);
  Duration cross_zone = std::chrono::microseconds(1000);
  Duration cross_region = std::chrono::microseconds(10000);
  double jitter = 0.2;
};

struct DiscoverySpec {
  bool on_request = false;       // sidecars poll discovery (MembershipMode on_request) instead of watching it
  Range notice_delay_s{0.1, 1};  // seconds from a change to its delivery
};

struct ClientSpec {
  int retries = 1;         // maximum further tries of a client after a rejection or a retryable failure
  double try_share = 0.6;  // share of the class's deadline after which a try times out
  Duration backoff = std::chrono::milliseconds(100);  // before the first retry; doubles with each further one
  double honors_retry_after = 1;                      // share of clients that honor Retry-After
  // How long a client still waits for the final answer after its deadline; 0: it closes the connection at the
  // deadline.
  Duration late_answer_wait{};
};

struct LoadSpec {
  // The sidecars together send `per_upstream` requests per second for each upstream. If it is 0, the rate is
  // chosen so that the mean work uses the share `utilization` of the upstreams' full capacity.
  double per_upstream = 0;
  double utilization = 0.6;
  double inequality = 0.5;  // coefficient of variation of the sidecars' rates (lognormal)
};

// Limits in the sidecars' settings, and the real sidecars' resources.
struct SidecarSpec {
  bool probes = false;  // whether load probes are allowed
  bool hedging_allowed = true;
  bool retry_after = true;
  int max_attempts = 3;
  double cross_zone_price = 0;
  double probe_price = 0;
  std::size_t real = 0;  // number of sidecars that are real processes (real clock only)
  int memory_mb = 64;    // memory limit of a real sidecar, in MB
  int sockets = 1024;    // socket limit of a real sidecar
};

enum class FaultKind {
  kCrash,           // `share` of the upstreams crash at once and restart after `lasts`
  kHang,            // `share` of the upstreams accept requests and answer none
  kSlow,            // `share` of the upstreams are `factor` times slower
  kRestart,         // `share` of the upstreams are drained and restarted one after another over `lasts`
  kChange,          // `count` weight changes of one upstream each, evenly over `lasts`
  kZoneLost,        // the upstreams of `zone` become unreachable, unannounced, and return restarted
  kRegionCut,       // no messages pass between regions
  kDiscoveryDown,   // discovery answers no call; changes in that time are delivered after it returns
  kNoticesLate,     // notices of changes take `factor` times as long
  kNoticesSilent,   // all watches open at `at` stop delivering notices
  kNoticesLost,     // `share` of the notices are lost; the next call returns the missed changes
  kSidecarsKilled,  // `share` of the sidecars are killed at once and restart
  // `share` of the sidecars get SIGTERM over `lasts`, SIGKILL at their time limit, and restart.
  kSidecarsStopped,
  kClientsStalled,  // `count` clients of each real sidecar stop in the middle of a request, over `lasts`
  // Each real sidecar receives `count` new configurations, evenly over `lasts`: one in the middle is
  // malformed, the others change discovery's address.
  kNewConfigurations,
  // Discovery answers late, splits its responses into pieces, and rejects some connections and calls.
  kDiscoverySlow,
  kDiscoveryLate,  // each answer of discovery begins `delay` later
  kDiscoveryBusy,  // discovery works for `delay` on each call of any sidecar, one at a time
  kClockStepped,   // the wall clocks of `share` of the real sidecars' machines are stepped by `step`
  kBurst,          // the load is multiplied by `factor`
};

// Name in experiment files: `crash`, `zone_lost` and so on.
std::string_view FaultName(FaultKind kind);

struct FaultSpec {
  FaultKind kind = FaultKind::kCrash;
  Duration at{};  // from the end of the warm-up
  Duration lasts{};
  double share = 0;
  double factor = 1;
  int count = 1;
  std::string zone;  // empty: drawn at random
  Duration step{};   // of a wall clock; negative steps it back
  Duration delay{};  // of discovery's answers
};

enum class Comparison { kAtLeast, kAtMost };

// Bound on a metric (one of AllMetrics(), metrics.h) at the end of the run.
struct Expectation {
  std::string metric;
  Comparison comparison = Comparison::kAtLeast;
  double bound = 0;
};

// Which part of a growth experiment measures a metric.
enum class GrowthPart {
  kFleet,  // all sidecars of the fleet, hollow, on the virtual clock
  kReal,   // a few sidecars of the same fleet as real processes on loopback; the others are not run
};

// Limit on a metric of the large fleet: at most, or at least, `factor` times the usual fleet's value, plus
// `constant`, plus `per_thousand` for each thousand upstreams of the large fleet. `constant` and
// `per_thousand` are in the metric's unit.
struct GrowthLimit {
  std::string metric;
  GrowthPart part = GrowthPart::kFleet;
  Comparison comparison = Comparison::kAtMost;
  double factor = 1;
  double constant = 0;
  double per_thousand = 0;
};

// The large fleet that is run in addition to the experiment's one size, and the limits on its metrics
// (growth.h).
struct GrowthSpec {
  std::size_t upstreams = 0;
  std::size_t sidecars = 0;
  std::size_t real = 0;  // number of real sidecars at each of the two sizes
  std::vector<GrowthLimit> limits;
};

struct Experiment {
  std::string name;
  std::string file;
  std::uint64_t seed = 1;
  ClockKind clock = ClockKind::kVirtual;
  Duration warm_up = std::chrono::seconds(5);  // excluded from the metrics
  Duration length = std::chrono::seconds(30);  // measured time after the warm-up
  Duration sample_every = std::chrono::seconds(1);
  std::vector<std::size_t> sizes;  // numbers of upstreams, one run for each
  double sidecars_per_upstream = 1;
  std::size_t services = 1;
  std::size_t regions = 1;
  std::size_t zones = 1;  // over all regions, spread evenly; named `r1-z1` and so on
  ListScope list = ListScope::kAll;
  std::vector<ClassSpec> classes;
  UpstreamSpec upstreams;
  NetworkSpec network;
  DiscoverySpec discovery;
  ClientSpec clients;
  LoadSpec load;
  SidecarSpec sidecars;
  std::vector<FaultSpec> faults;  // in order of time
  std::vector<Expectation> must_hold;
  std::optional<GrowthSpec> growth;
  // Not a key of the file. If set, hollow sidecars are not run, but still count in the fleet size that every
  // sidecar's settings give.
  bool hollow_absent = false;
};

// `region` counts from 0; the name counts from 1, as in `r1-z1`.
struct ZoneSpec {
  std::string name;
  std::size_t region = 0;
};

// The experiment's zones. Consecutive zones lie in different regions, so that even a few machines of one kind
// are spread over the regions.
std::vector<ZoneSpec> ZonesOf(const Experiment& experiment);

// Number of sidecars in a fleet with this number of upstreams; at least one.
std::size_t SidecarsFor(const Experiment& experiment, std::size_t upstreams);

// Error message if the experiment can't be run at these sizes; otherwise absent.
std::optional<std::string> SizesError(const Experiment& experiment, const std::vector<std::size_t>& sizes);

// Reads and checks the file at `path`. Throws ExperimentError with the line of the error: a syntax error, an
// unknown or duplicate key, a value of the wrong type or out of range, or an unknown metric or fault.
Experiment LoadExperiment(const std::string& path);

// The same for the text of a file; `file` is the file name in error messages.
Experiment ParseExperiment(const std::string& text, const std::string& file);

}  // namespace lb::lab
