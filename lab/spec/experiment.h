// An experiment: the deployment, its load, its faults by time, what is measured and what must hold. It is
// read from a TOML file (docs/lab.md lists every key); a file with a fault is refused whole.
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

// The file can't be used. The text is one line, `FILE:LINE: what is wrong`.
class ExperimentError : public std::runtime_error {
 public:
  ExperimentError(const std::string& file, std::size_t line, const std::string& what);
  std::size_t line() const { return line_; }

 private:
  std::size_t line_;
};

// Drawn evenly from both bounds on; a single number in the file is both.
struct Range {
  double low = 0;
  double high = 0;
};

enum class ClockKind {
  kVirtual,  // discrete events: hollow sidecars alone, as fast as the machine goes, the same on each run
  kReal,     // loopback sockets and the machine's clock: hollow and real sidecars
};

// What a sidecar's discovery list holds.
enum class ListScope {
  kAll,      // every upstream of the fleet
  kService,  // those of the one service that it calls
};

// A class of requests. Times are this deployment's own.
struct ClassSpec {
  std::string name;
  double share = 1;              // of the requests, against the other classes' shares
  Duration mean_work{};          // on a core of speed 1
  double work_variation = 1;     // standard deviation over mean, of a lognormal distribution
  Duration latency_objective{};  // an answer within it is in time
  Duration deadline{};           // the client gives up
  lb::Idempotency idempotency = lb::Idempotency::kIdempotent;
  Duration key_window = std::chrono::seconds(5);  // of a keyed class
  double priority_weight = 1;
};

// A kind of upstream machine.
struct KindSpec {
  std::string name;
  double share = 1;  // of the upstreams, against the other kinds' shares
  int cores = 2;
  double speed = 1;            // of a core
  double slots_per_core = 4;   // requests in work at once
  double queue_per_core = 20;  // requests that wait; beyond that they are turned away
  double connections_per_core = 600;
};

// How upstreams behave beside their kind.
struct UpstreamSpec {
  std::vector<KindSpec> kinds;
  Duration handshake_work{};   // of a new connection, on a core of speed 1
  Duration probe_work{};       // of a probe, likewise
  double full_table_cost = 0;  // share of the capacity that a full connection table takes, linear below
  Duration idle_close = std::chrono::seconds(15);
  double slow_start_initial_share = 1;                     // share of the capacity right after a start
  Duration slow_start_duration = std::chrono::seconds(5);  // until it is warm, rising evenly
  bool cancel_stops_work = false;  // whether a closed connection ends work that is under way
  // Slowdown when crowded: holding more than `crowded_at` requests a core for `crowded_after` makes it
  // `crowded_slowdown` times slower until it has held fewer than `rested_below` a core for `rest_time`.
  double crowded_at = 0;  // 0: never
  Duration crowded_after{};
  double crowded_slowdown = 1;
  double rested_below = 0.3;
  Duration rest_time = std::chrono::seconds(3);
};

// One way, added to each message; `jitter` is the share by which a delay varies.
struct NetworkSpec {
  Duration same_zone = std::chrono::microseconds(250);
  Duration cross_zone = std::chrono::microseconds(1000);
  Duration cross_region = std::chrono::microseconds(10000);
  double jitter = 0.2;
};

struct DiscoverySpec {
  bool on_request = false;       // MembershipMode on_request instead of pushed
  Range notice_delay_s{0.1, 1};  // from a change to its delivery
};

struct ClientSpec {
  int retries = 1;         // further tries of a client, after a refusal or a failure that may be repeated
  double try_share = 0.6;  // of the class's deadline, after which a try is given up
  Duration backoff = std::chrono::milliseconds(100);  // before the first retry, doubled for the next ones
  double heeds_retry_after = 1;                       // share of clients that wait for Retry-After
  // How long after its time a client still listens for its final answer; 0: it closes the connection.
  Duration listens_on{};
};

struct LoadSpec {
  // Requests a second over all sidecars are `per_upstream` times the upstreams; where 0, such that mean work
  // takes `utilization` of the warm capacity.
  double per_upstream = 0;
  double utilization = 0.6;
  double inequality = 0.5;  // standard deviation over mean of the sidecars' rates (lognormal)
};

// The sidecars' limits, as in their settings.
struct SidecarSpec {
  bool probes = false;  // probes are allowed, and reports come with them
  bool hedging_allowed = true;
  bool retry_after = true;
  int max_attempts = 3;
  double cross_zone_price = 0;
  double probe_price = 0;
  std::size_t real = 0;  // of the sidecars, how many are real processes (real clock only)
  int memory_mb = 64;    // of a real one
  int sockets = 1024;    // of a real one
};

enum class FaultKind {
  kCrash,            // `share` of the upstreams die at once and come back cold after `lasts`
  kHang,             // `share` take requests and answer none
  kSlow,             // `share` are `factor` times slower
  kRestart,          // `share` are replaced one after another over `lasts`: drained, gone, back cold
  kChange,           // one listed upstream's weight changes, `count` times evenly over `lasts`
  kZoneLost,         // the upstreams of `zone` vanish without a word and come back cold
  kRegionCut,        // the regions can't see each other
  kDiscoveryDown,    // discovery answers no call; what happens meanwhile is delivered at its return
  kNoticesLate,      // notices take `factor` times as long
  kNoticesSilent,    // all open watches fall silent once, at `at`
  kNoticesLost,      // `share` of the notices are not delivered; the next call brings what was missed
  kSidecarsKilled,   // `share` of the sidecars are killed at once and restart
  kSidecarsStopped,  // `share` get SIGTERM over `lasts`, SIGKILL when it is due, and restart
  kClientsStalled,   // `count` clients of each real sidecar stop in the middle of a request, over `lasts`
  // Each real sidecar is given `count` new configurations, evenly over `lasts`: one in the middle is
  // malformed, the others move discovery to another address.
  kNewConfigurations,
  // Discovery answers late and in pieces, and turns some connections and calls away.
  kDiscoverySlow,
  kClockStepped,  // the wall clocks of `share` of the real sidecars' machines go on from a time `step` later
  kBurst,         // `factor` times the load
};

// As in experiment files: `crash`, `zone_lost` and so on.
std::string_view FaultName(FaultKind kind);

struct FaultSpec {
  FaultKind kind = FaultKind::kCrash;
  Duration at{};  // from the end of the warm-up
  Duration lasts{};
  double share = 0;
  double factor = 1;
  int count = 1;
  std::string zone;  // empty: drawn by the seed
  Duration step{};   // of a wall clock; negative: back
};

enum class Comparison { kAtLeast, kAtMost };

// `metric` (a name of kMetrics, metrics.h) has to compare so with `bound` at the end of the run.
struct Expectation {
  std::string metric;
  Comparison comparison = Comparison::kAtLeast;
  double bound = 0;
};

// Which part of a growth experiment measures a metric.
enum class GrowthPart {
  kFleet,  // every sidecar of the fleet, hollow, on the virtual clock
  kReal,   // a few real ones of the same fleet on loopback, the others not played
};

// What `metric` of the large fleet may be: at most, or at least, `factor` times that of the usual one plus
// `constant` and `per_thousand` for each thousand upstreams of the large one. The latter two are in the
// metric's unit.
struct GrowthLimit {
  std::string metric;
  GrowthPart part = GrowthPart::kFleet;
  Comparison comparison = Comparison::kAtMost;
  double factor = 1;
  double constant = 0;
  double per_thousand = 0;
};

// The large fleet that is played beside the experiment's one size, and how far its needs may grow (growth.h).
struct GrowthSpec {
  std::size_t upstreams = 0;
  std::size_t sidecars = 0;
  std::size_t real = 0;  // real sidecars, at each of the two sizes
  std::vector<GrowthLimit> limits;
};

struct Experiment {
  std::string name;
  std::string file;
  std::uint64_t seed = 1;
  ClockKind clock = ClockKind::kVirtual;
  Duration warm_up = std::chrono::seconds(5);  // not measured
  Duration length = std::chrono::seconds(30);  // measured
  Duration sample_every = std::chrono::seconds(1);
  std::vector<std::size_t> sizes;  // upstreams, and as many sidecars where `sidecars_per_upstream` is 1
  double sidecars_per_upstream = 1;
  std::size_t services = 1;
  std::size_t regions = 1;
  std::size_t zones = 1;  // in all, spread evenly over the regions; named `r1-z1` and so on
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
  // No key of the file. The hollow sidecars count in every sidecar's settings and are not played.
  bool hollow_absent = false;
};

// `region` counts from 0; the name counts from 1, as in `r1-z1`.
struct ZoneSpec {
  std::string name;
  std::size_t region = 0;
};

// The experiment's zones. Neighbours lie in different regions, so that a few of a kind spread over both.
std::vector<ZoneSpec> ZonesOf(const Experiment& experiment);

// How many sidecars a fleet of so many upstreams has: at least one.
std::size_t SidecarsFor(const Experiment& experiment, std::size_t upstreams);

// What keeps the experiment from being played at these sizes, in words; absent where nothing does.
std::optional<std::string> SizesError(const Experiment& experiment, const std::vector<std::size_t>& sizes);

// Reads and checks `path`. Throws ExperimentError: a fault of the syntax, an unknown or doubled key, a value
// of another type or outside its range, an unknown metric or fault, each with its line.
Experiment LoadExperiment(const std::string& path);

// The same from text; `file` is what errors call it.
Experiment ParseExperiment(const std::string& text, const std::string& file);

}  // namespace lb::lab
