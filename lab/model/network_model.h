// What lies between the machines: delays by zone and region, and regions that can't see each other.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

#include "lab/spec/experiment.h"

namespace lb::lab {

// Where a machine stands.
struct Location {
  std::size_t region = 0;
  std::string zone;
  bool operator==(const Location&) const = default;
};

class NetworkModel {
 public:
  // The same seed gives the same delays, asked for in the same order.
  NetworkModel(const NetworkSpec& spec, std::uint64_t seed);

  // One message's way: the spec's delay for the two places, varied evenly by its jitter to both sides.
  Duration Delay(const Location& from, const Location& to);
  // Whether a message sent now arrives. Where not, nothing comes back, and a connection never comes up.
  bool Reaches(const Location& from, const Location& to) const;
  // Regions are cut off from each other, or joined again.
  void SetRegionsCut(bool cut) { regions_cut_ = cut; }

 private:
  const NetworkSpec spec_;
  bool regions_cut_ = false;
  std::mt19937_64 random_;
  std::uniform_real_distribution<double> deviation_;
};

}  // namespace lb::lab
