// What a deployment tells its sidecars when they start. The defaults are plain values, not tuned ones.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "balancer/types.h"

namespace lb {

// Whether a request may be repeated once it may have taken effect.
enum class Idempotency {
  kIdempotent,      // repeat and reject at will
  kIdempotencyKey,  // repeat only where, and for as long as, the upstreams drop repeats of its key
  kNotIdempotent,   // never repeat or reject unless every earlier attempt is known not to have run
};

// Which upstreams know each other's idempotency keys.
enum class KeyScope { kAll, kZone, kCell };

struct RequestClass {
  std::string name{};
  Duration latency_objective{};          // a response within this time has its full value
  double latency_objective_stretch = 0;  // the objective grows by this many times the request's expected work
  Duration deadline{};                   // how long a client waits in all, over all of its tries
  Idempotency idempotency = Idempotency::kNotIdempotent;
  KeyScope key_scope = KeyScope::kAll;
  Duration key_window{};            // upstreams drop repeats for this long after the first attempt was sent
  double priority_weight = 1;       // the value of a response in time, against other classes
  double late_priority_weight = 0;  // the share of it left for a response after the objective, 0 to 1
  bool stream = false;              // responses are streamed: ResponseStarted comes before AttemptFinished
};

struct Tenant {
  std::string name{};
  double share = 1;        // of the service
  double quota_per_s = 0;  // requests a second, over all sidecars, that are within its share
};

struct Limits {
  std::size_t max_attempts = 3;      // for one request, the first one included
  bool hedging_allowed = false;      // two attempts of one request may be in flight at once
  bool cancellation_allowed = true;  // CancelAttempt may be used
  bool load_probes_allowed = false;  // SendLoadProbe may be used
  bool send_retry_after = true;      // clients are handed RejectRequest::retry_after
  Duration max_retry_after = std::chrono::seconds(2);
  Duration connect_timeout = std::chrono::milliseconds(250);
  Duration idle_close =
      std::chrono::seconds(15);            // the sidecar closes connections that are idle for this long
  std::size_t streams_per_connection = 1;  // attempts that one connection carries at a time
};

// Polled membership: after a failure the next Subscribe comes within this time.
constexpr Duration kMaxPollPause = std::chrono::milliseconds(1750);

// What the fleet as a whole must keep to, and for how long.
struct FleetLimits {
  // A final response this long after the deadline still counts.
  Duration answer_grace = std::chrono::milliseconds(20);
  // Polled membership: Subscribe at least this often.
  Duration poll_interval_limit = std::chrono::seconds(10);
  // Nothing new is sent to an upstream from this long after its drain was announced.
  Duration drain_grace = std::chrono::milliseconds(300);
  // Slow start: a fresh upstream has this share of its capacity, which grows to the whole within the
  // duration.
  double slow_start_initial_share = 0.1;
  Duration slow_start_duration = std::chrono::seconds(20);
  // All sidecars together must not send it more than this multiple of its present capacity within any window.
  double overload_multiple = 2;
  Duration overload_window = std::chrono::seconds(1);
};

// What a decision costs, as a fraction of the whole service.
struct DecisionCosts {
  double cross_zone = 0;  // every request crosses zones once
  double handshake = 0;   // a new connection for each request
  double probe = 0;       // a load probe for each request
  double waste = 0;       // as much upstream work wasted as was asked for
  double late_fail = 0;   // all requests fail, each after its latency objective
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;            // empty where the deployment has none
  double over_share_priority_weight = 1;  // of a request beyond its tenant's share
  std::string zone{};                     // where this sidecar is
  std::size_t sidecar_count = 1;          // sidecars of the fleet; they share nothing
  std::size_t sidecar_index = 0;          // this sidecar's number among them, from 0
  bool polled_membership = false;         // membership comes only after a Subscribe
  bool live_weights = false;              // listed weights follow the load and change from list to list
  bool load_by_probe = false;             // the response to a load probe carries a LoadReport
  Limits limits;
  FleetLimits fleet_limits;
  DecisionCosts decision_costs;

  // Throws std::invalid_argument, naming the first setting that makes no sense.
  void Validate() const;
};

}  // namespace lb
