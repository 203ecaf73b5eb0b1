// Formats numbers and tables for output on a terminal.
#pragma once

#include <cstddef>
#include <iosfwd>
#include <string>
#include <vector>

namespace lb::lab {

// Formats a number with four significant digits. Integers and numbers from 1000 on have no fraction; numbers
// below 0.0001 or from 1e9 on have an exponent; `-` stands for a number that is not finite. A number below 1
// is never rounded up to 1, so that a share of 0.99996 can be distinguished from 1.
std::string FormatNumber(double value);

// Shortest text of a number rounded to the given number of significant digits (1 to 17): 0.1, 12, 1e-05, nan.
std::string FormatShort(double value, int digits);

// Table with aligned columns: the first `left_aligned` columns to the left, the others (numbers) to the
// right.
class TextTable {
 public:
  explicit TextTable(std::size_t left_aligned) : left_aligned_(left_aligned) {}
  // Missing cells at the end of a row are empty.
  void AddRow(std::vector<std::string> cells);
  // The first row is the heading and is underlined. Writes nothing if there are no rows.
  void Print(std::ostream& out) const;

 private:
  std::vector<std::size_t> ColumnWidths() const;
  std::string FormatRow(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) const;

  std::size_t left_aligned_;
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace lb::lab
