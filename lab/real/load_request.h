// The requests of the HTTP load: how they are drawn, and their text on the wire.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "lab/spec/experiment.h"

namespace lb::lab {

// What a client wants, over all of its tries.
struct LoadRequest {
  std::size_t application = 0;      // index of the application that sends it
  const ClassSpec* spec = nullptr;  // its class
  std::string target;               // its path
  std::string idempotency_key;      // empty if the class has none
  std::int64_t work_us = 0;         // on a core of speed 1
  bool heeds_retry_after = true;
  TimePoint started;
  TimePoint deadline;
  int tries = 0;
};

// Draws requests of a class mix. Every request comes from the random numbers that are handed in; the ids of
// tries come from the generator's own.
class LoadRequestGenerator {
 public:
  // `clients` and `classes` have to outlive it.
  LoadRequestGenerator(const ClientSpec& clients, const std::vector<ClassSpec>& classes, std::uint64_t seed);

  LoadRequest Draw(std::mt19937_64& random, TimePoint now);

  // The text of one try with an id of its own. `timeout`: how long the client waits for it. `sidecar`: the
  // index that goes into kSidecarHeader (http_upstream.h).
  std::string ToText(const LoadRequest& request, Duration timeout, std::size_t sidecar);

 private:
  const ClientSpec& clients_;
  const std::vector<ClassSpec>& classes_;
  std::vector<std::lognormal_distribution<double>> work_us_;  // by class
  std::discrete_distribution<std::size_t> class_index_;
  std::mt19937_64 ids_;
};

}  // namespace lb::lab
