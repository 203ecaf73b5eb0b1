// Computes shares for samples and totals.
#pragma once

#include <cstdint>

namespace lb::lab {

// `part` over `whole`; 0 if `whole` is 0 or less.
inline double Share(double part, double whole) { return whole > 0 ? part / whole : 0; }

inline double Share(std::uint64_t part, std::uint64_t whole) {
  return Share(static_cast<double>(part), static_cast<double>(whole));
}

}  // namespace lb::lab
