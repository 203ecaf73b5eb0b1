// An exact sum of weights, kept up to date by additions and subtractions. Its value does not depend on their
// order and is rounded only once, when it is read.
#pragma once

namespace lb {

// A fixed-point sum in units of 2^-64. A weight from 2^-11 to 2^48 is added exactly, a lower one is truncated
// to a multiple of the unit, and a higher one counts as 2^48.
class WeightSum {
 public:
  void Add(double weight) { units_ += Units(weight); }
  void Subtract(double weight) { units_ -= Units(weight); }
  double value() const;

 private:
  __extension__ using Wide = __int128;
  static Wide Units(double weight);
  Wide units_ = 0;
};

}  // namespace lb
