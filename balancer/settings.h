// The settings that a sidecar receives at its start. The defaults are generic and not adapted to any
// deployment.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "balancer/types.h"

namespace lb {

// Whether a request may be retried after an attempt that may have taken effect.
enum class Idempotency {
  kIdempotent,      // may be retried and rejected at any time
  kIdempotencyKey,  // may be retried only where and while upstreams drop repeats of its key
  kNotIdempotent,   // must not be retried or rejected unless every earlier attempt is known not to have run
};

// Which upstreams share their record of idempotency keys.
enum class KeyScope { kAll, kZone, kCell };

struct RequestClass {
  std::string name{};
  Duration latency_objective{};          // responses within this time have their full value
  double latency_objective_stretch = 0;  // times the expected work, added to the objective
  Duration deadline{};                   // how long a client waits in total, over all of its tries
  Idempotency idempotency = Idempotency::kNotIdempotent;
  KeyScope key_scope = KeyScope::kAll;
  Duration key_window{};            // upstreams drop repeats for this long after the first attempt was sent
  double priority_weight = 1;       // value of a response in time, relative to other classes
  double late_priority_weight = 0;  // share of the value after the objective, 0 to 1
  bool stream = false;              // responses are streamed: ResponseStarted precedes AttemptFinished
};

struct Tenant {
  std::string name{};
  double share = 1;        // its share of the service
  double quota_per_s = 0;  // requests per second, over all sidecars, that count as within its share
};

struct Limits {
  std::size_t max_attempts = 3;      // per request, including the first attempt
  bool hedging_allowed = false;      // two attempts of one request may be in flight at once
  bool cancellation_allowed = true;  // CancelAttempt may be used
  bool load_probes_allowed = false;  // SendLoadProbe may be used
  bool send_retry_after = true;      // RejectRequest::retry_after is passed on to clients
  Duration max_retry_after = std::chrono::seconds(2);
  Duration connect_timeout = std::chrono::milliseconds(250);
  // The sidecar closes connections that have been idle for this long.
  Duration idle_close = std::chrono::seconds(15);
  std::size_t streams_per_connection = 1;  // concurrent attempts per connection
};

// Polled membership: the maximum time from a failed poll to the next Subscribe.
constexpr Duration kMaxPollRetryDelay = std::chrono::milliseconds(1750);

// The limits that the fleet as a whole must respect.
struct FleetLimits {
  // How long after the deadline a final answer still counts.
  Duration answer_grace = std::chrono::milliseconds(20);
  // Polled membership: the maximum time between two Subscribe actions.
  Duration poll_interval_limit = std::chrono::seconds(10);
  // How long after the announcement of its drain an upstream may still be sent new requests.
  Duration drain_grace = std::chrono::milliseconds(300);
  // Slow start: a newly started upstream has this share of its capacity, which grows to the full capacity
  // within the duration below.
  double slow_start_initial_share = 0.1;
  Duration slow_start_duration = std::chrono::seconds(20);
  // All sidecars together must not send an upstream more than this multiple of its present capacity within
  // any window.
  double overload_multiple = 2;
  Duration overload_window = std::chrono::seconds(1);
};

// What a decision costs, as a fraction of the value of the whole service.
struct DecisionCosts {
  double cross_zone = 0;  // every request crosses zones once
  double handshake = 0;   // a new connection for each request
  double probe = 0;       // a load probe for each request
  double waste = 0;       // the wasted upstream work equals the requested work
  double late_fail = 0;   // all requests fail, each after its latency objective
};

struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;            // empty if the deployment has no tenants
  double over_share_priority_weight = 1;  // of requests beyond their tenant's share
  std::string zone{};                     // the zone of this sidecar
  std::size_t sidecar_count = 1;          // the number of sidecars in the fleet; they share no state
  std::size_t sidecar_index = 0;          // this sidecar's number in the fleet, from 0
  bool polled_membership = false;         // membership updates arrive only after a Subscribe
  bool live_weights = false;              // listed weights follow the load and change with each list
  bool load_probes_report_load = false;   // responses to load probes carry a LoadReport
  Limits limits;
  FleetLimits fleet_limits;
  DecisionCosts decision_costs;

  // Throws std::invalid_argument naming the first invalid setting.
  void Validate() const;
};

}  // namespace lb
