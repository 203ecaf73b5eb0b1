#include "lab/measure/distribution.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <stdexcept>

namespace lb::lab {

void Distribution::Add(double value) {
  if (!std::isfinite(value)) throw std::invalid_argument("a measured value is not finite");
  sorted_ = sorted_ && (values_.empty() || values_.back() <= value);
  values_.push_back(value);
}

void Distribution::Merge(const Distribution& other) {
  const std::size_t added = other.values_.size();
  values_.reserve(values_.size() + added);
  // Copies by index because `other` may be this distribution itself.
  for (std::size_t i = 0; i < added; ++i) values_.push_back(other.values_[i]);
  if (added > 0) sorted_ = false;
}

double Distribution::mean() const {
  if (values_.empty()) return 0;
  return std::accumulate(values_.begin(), values_.end(), 0.0) / static_cast<double>(values_.size());
}

double Distribution::Percentile(double share) const {
  if (values_.empty()) return 0;
  // Compensates for rounding: 0.07 * 100 exceeds 7 in floating point, but its rank must be 7.
  constexpr double kRounding = 1 - 1e-12;
  const double rank = std::ceil(std::clamp(share, 0.0, 1.0) * static_cast<double>(count()) * kRounding);
  const std::size_t index = rank < 1 ? 0 : static_cast<std::size_t>(rank) - 1;
  return SortedValues()[index];
}

double Distribution::ShareAbove(double limit) const {
  if (values_.empty()) return 0;
  const auto above = std::count_if(values_.begin(), values_.end(), [=](double v) { return v > limit; });
  return static_cast<double>(above) / static_cast<double>(count());
}

const std::vector<double>& Distribution::SortedValues() const {
  if (!sorted_) std::sort(values_.begin(), values_.end());
  sorted_ = true;
  return values_;
}

}  // namespace lb::lab
