#include "lab/measure/text_table.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>
#include <ostream>
#include <utility>

namespace lb::lab {
namespace {

constexpr int kSignificantDigits = 4;
constexpr double kWholeFrom = 1000;
constexpr double kExponentBelow = 1e-4;
constexpr double kExponentFrom = 1e9;
constexpr std::size_t kColumnGap = 2;

std::string Print(const char* format, int precision, double value) {
  char text[512];
  std::snprintf(text, sizeof text, format, precision, value);
  return text;
}

// Fixed notation with the given number of significant digits.
std::string Fixed(double value, int digits) {
  const int before_point = static_cast<int>(std::floor(std::log10(std::abs(value)))) + 1;
  return Print("%.*f", std::max(digits - before_point, 0), value);
}

}  // namespace

std::string FormatNumber(double value) {
  if (!std::isfinite(value)) return "-";
  if (value == 0) return "0";
  const double size = std::abs(value);
  if (size >= kExponentFrom) return Print("%.*e", kSignificantDigits - 1, value);
  if (size >= kWholeFrom || value == std::floor(value)) return Print("%.*f", 0, value);
  if (size < kExponentBelow) return Print("%.*e", kSignificantDigits - 1, value);
  if (size > 1) return Fixed(value, kSignificantDigits);
  constexpr int kMaxDigits = 15;
  int digits = kSignificantDigits;
  std::string text = Fixed(value, digits);
  while (digits < kMaxDigits && std::abs(std::stod(text)) >= 1) text = Fixed(value, ++digits);
  return text;
}

std::string FormatShort(double value, int digits) { return Print("%.*g", digits, value); }

void TextTable::AddRow(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }

void TextTable::Print(std::ostream& out) const {
  if (rows_.empty()) return;
  const std::vector<std::size_t> widths = ColumnWidths();
  const std::size_t gaps = (widths.size() - 1) * kColumnGap;
  out << FormatRow(rows_.front(), widths)
      << std::string(std::accumulate(widths.begin(), widths.end(), gaps), '-') << '\n';
  for (std::size_t i = 1; i < rows_.size(); ++i) out << FormatRow(rows_[i], widths);
}

std::vector<std::size_t> TextTable::ColumnWidths() const {
  std::vector<std::size_t> widths(1, 0);
  for (const auto& row : rows_) {
    widths.resize(std::max(widths.size(), row.size()), 0);
    for (std::size_t column = 0; column < row.size(); ++column)
      widths[column] = std::max(widths[column], row[column].size());
  }
  return widths;
}

std::string TextTable::FormatRow(const std::vector<std::string>& cells,
                                 const std::vector<std::size_t>& widths) const {
  std::string line;
  for (std::size_t column = 0; column < cells.size(); ++column) {
    const std::string padding(widths[column] - cells[column].size(), ' ');
    if (column > 0) line += std::string(kColumnGap, ' ');
    line += column < left_aligned_ ? cells[column] + padding : padding + cells[column];
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + '\n';
}

}  // namespace lb::lab
