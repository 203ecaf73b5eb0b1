// Tables and numbers for people at a terminal.
#pragma once

#include <cstddef>
#include <iosfwd>
#include <string>
#include <vector>

namespace lb::lab {

// A number with four significant digits: integers and all from 1000 on whole, below 0.0001 and from 1e9 on
// with an exponent, `-` where it is not finite. A number below 1 is never rounded up to 1, so that a share of
// 0.99996 can be distinguished from 1.
std::string FormatNumber(double value);

// The shortest text of a number rounded to so many significant digits (1 to 17): 0.1, 12, 1e-05, nan.
std::string FormatShort(double value, int digits);

// Aligned columns: the first `left_aligned` to the left, the others (numbers) to the right.
class TextTable {
 public:
  explicit TextTable(std::size_t left_aligned) : left_aligned_(left_aligned) {}
  // Cells that a row lacks are empty.
  void AddRow(std::vector<std::string> cells);
  // The first row is the heading and is underlined. Writes nothing where there is no row.
  void Print(std::ostream& out) const;

 private:
  std::vector<std::size_t> ColumnWidths() const;
  std::string FormatRow(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) const;

  std::size_t left_aligned_;
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace lb::lab
