// Requests of the HTTP load generator: random drawing from a class mix, and serialization to HTTP/1.1.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "lab/spec/experiment.h"

namespace lb::lab {

// One logical request of a client, over all of its tries.
struct LoadRequest {
  std::size_t application = 0;      // index of the application that sends it
  const ClassSpec* spec = nullptr;  // its class
  std::string target;               // its path
  std::string idempotency_key;      // empty if the class has none
  std::int64_t work_us = 0;         // service time in microseconds on a core of speed 1
  bool honors_retry_after = true;
  TimePoint started;
  TimePoint deadline;
  int tries = 0;
};

// Draws requests of a class mix from the random generator passed in. The ids of tries come from a generator
// of its own.
class LoadRequestGenerator {
 public:
  // `clients` and `classes` have to outlive this object.
  LoadRequestGenerator(const ClientSpec& clients, const std::vector<ClassSpec>& classes, std::uint64_t seed);

  LoadRequest Draw(std::mt19937_64& random, TimePoint now);

  // The HTTP text of one try, with a new request id. `timeout` is how long the client waits for a response;
  // `sidecar` is the index written into kSidecarHeader (http_upstream_messages.h).
  std::string ToText(const LoadRequest& request, Duration timeout, std::size_t sidecar);

 private:
  const ClientSpec& clients_;
  const std::vector<ClassSpec>& classes_;
  std::vector<std::lognormal_distribution<double>> work_us_;  // by class
  std::discrete_distribution<std::size_t> class_index_;
  std::mt19937_64 ids_;
};

}  // namespace lb::lab
