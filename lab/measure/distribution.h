// Measured values and what is read off them: mean, percentiles, shares.
#pragma once

#include <cstddef>
#include <vector>

namespace lb::lab {

// Values to take percentiles of. All are kept: a run holds a few million at the most. Not thread-safe, also
// where it is const: the values are sorted when they are first read.
class Distribution {
 public:
  // Throws std::invalid_argument for a value that is not finite.
  void Add(double value);
  void Merge(const Distribution& other);
  std::size_t count() const { return values_.size(); }
  // 0 where there is no value.
  double mean() const;
  // The smallest value that at least `share` (0 to 1) of all do not pass; 0 where there is none.
  double Percentile(double share) const;
  // The share (0 to 1) of the values that are greater than `limit`; 0 where there is none.
  double ShareAbove(double limit) const;
  // All values in ascending order. The reference is good until the next Add() or Merge().
  const std::vector<double>& SortedValues() const;

 private:
  mutable std::vector<double> values_;
  mutable bool sorted_ = true;
};

}  // namespace lb::lab
