// A sum of weights that does not depend on the order of the additions, so that it can be kept up to date by
// additions and subtractions: it is exact, and rounded once where it is read.
#pragma once

namespace lb {

// In units of 2^-64: a weight from 2^-11 up to 2^48 is added as it is, a lesser one to the nearest unit, a
// greater one as 2^48.
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
