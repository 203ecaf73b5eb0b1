// Collects measured values and computes their mean, percentiles and shares.
#pragma once

#include <cstddef>
#include <vector>

namespace lb::lab {

// Keeps all values, at most a few million in a run, to compute exact percentiles. Not thread-safe, not even
// for const functions: the values are sorted when they are first read.
class Distribution {
 public:
  // Throws std::invalid_argument for a value that is not finite.
  void Add(double value);
  void Merge(const Distribution& other);
  std::size_t count() const { return values_.size(); }
  // 0 if there are no values.
  double mean() const;
  // Nearest-rank percentile: the smallest value such that at least `share` (0 to 1) of all values do not
  // exceed it. 0 if there are no values.
  double Percentile(double share) const;
  // The share (0 to 1) of the values that are greater than `limit`; 0 if there are no values.
  double ShareAbove(double limit) const;
  // All values in ascending order. The reference is valid until the next Add() or Merge().
  const std::vector<double>& SortedValues() const;

 private:
  mutable std::vector<double> values_;
  mutable bool sorted_ = true;
};

}  // namespace lb::lab
