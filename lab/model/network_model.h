// Model of the network between machines: message delays by zone and region, and partitions between regions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

#include "lab/spec/experiment.h"

namespace lb::lab {

// Region and zone of a machine.
struct Location {
  std::size_t region = 0;
  std::string zone;
  bool operator==(const Location&) const = default;
};

class NetworkModel {
 public:
  // The same seed gives the same delays if Delay() is called with the same locations in the same order.
  NetworkModel(const NetworkSpec& spec, std::uint64_t seed);

  // One-way delay of a message: the spec's delay for the two locations, varied uniformly by up to plus or
  // minus the spec's jitter.
  Duration Delay(const Location& from, const Location& to);
  // Whether a message sent now arrives. A message that does not arrive is lost without an error, so a
  // connection attempt is never answered.
  bool Reaches(const Location& from, const Location& to) const;
  // Cuts all regions off from each other, or reconnects them.
  void SetRegionsCut(bool cut) { regions_cut_ = cut; }

 private:
  const NetworkSpec spec_;
  bool regions_cut_ = false;
  std::mt19937_64 random_;
  std::uniform_real_distribution<double> deviation_;
};

}  // namespace lb::lab
