#include "lab/spec/toml_reader.h"

#include <cmath>
#include <iomanip>
#include <sstream>
#include <utility>

namespace lb::lab {
namespace {

// Formats a number without trailing zeros, and without an exponent unless it is very large or small.
std::string NumberText(double value) {
  std::ostringstream text;
  text << std::setprecision(12) << value;
  return text.str();
}

std::string BoundsText(double low, double high) {
  return " is outside " + NumberText(low) + " to " + NumberText(high);
}

}  // namespace

TableReader::TableReader(const toml::table& table, std::string file, std::string title)
    : table_(table), file_(std::move(file)), title_(std::move(title)) {}

void TableReader::Require(std::initializer_list<std::string_view> keys) const {
  for (const std::string_view key : keys) {
    if (!Has(key)) Fail(key, std::string(key) + " is missing" + (title_.empty() ? "" : " in " + title_));
  }
}

void TableReader::ReadNumber(std::string_view key, double& target, Bounds bounds) {
  if (const toml::node* node = FindAndMarkRead(key)) target = NumberOf(key, *node, bounds);
}

void TableReader::ReadRange(std::string_view key, Range& target, Bounds bounds) {
  const toml::node* node = FindAndMarkRead(key);
  if (!node) return;
  const toml::array* pair = node->as_array();
  if (!pair) {
    target.low = target.high = NumberOf(key, *node, bounds);
    return;
  }
  if (pair->size() != 2) Fail(key, std::string(key) + " has to be a number or a pair of them");
  const Range range{NumberOf(key, *pair->get(0), bounds), NumberOf(key, *pair->get(1), bounds)};
  if (range.low > range.high) Fail(key, std::string(key) + " has its bounds in the wrong order");
  target = range;
}

void TableReader::ReadTime(std::string_view key, Duration& target, Duration unit, Bounds bounds) {
  const toml::node* node = FindAndMarkRead(key);
  if (!node) return;
  const double units = NumberOf(key, *node, bounds);
  target = Duration(std::llround(units * static_cast<double>(unit.count())));
}

void TableReader::ReadFlag(std::string_view key, bool& target) {
  const toml::node* node = FindAndMarkRead(key);
  if (!node) return;
  if (!node->is_boolean()) Fail(key, std::string(key) + " has to be true or false");
  target = node->as_boolean()->get();
}

void TableReader::ReadText(std::string_view key, std::string& target) {
  const toml::node* node = FindAndMarkRead(key);
  if (!node) return;
  if (!node->is_string()) Fail(key, std::string(key) + " has to be a text in quotes");
  target = node->as_string()->get();
}

void TableReader::ReadCounts(std::string_view key, std::vector<std::size_t>& target) {
  const toml::node* node = FindAndMarkRead(key);
  if (!node) return;
  const toml::array* counts = node->as_array();
  if (!counts) Fail(key, std::string(key) + " has to be a list of whole numbers");
  target.clear();
  for (const toml::node& count : *counts) {
    target.push_back(
        static_cast<std::size_t>(CountOf(key, count, 0, std::numeric_limits<std::int32_t>::max())));
  }
}

TableReader TableReader::Table(std::string_view key) {
  static const toml::table kEmpty;
  const std::string title = "[" + std::string(key) + "]";
  const toml::node* node = FindAndMarkRead(key);
  if (!node) return {kEmpty, file_, title};
  if (!node->is_table()) Fail(key, std::string(key) + " has to be a table, " + title);
  return {*node->as_table(), file_, title};
}

std::vector<TableReader> TableReader::Tables(std::string_view key) {
  const std::string title = "[[" + std::string(key) + "]]";
  std::vector<TableReader> readers;
  const toml::node* node = FindAndMarkRead(key);
  if (!node) return readers;
  if (!node->is_array()) Fail(key, std::string(key) + " has to be a list of tables, " + title);
  for (const toml::node& element : *node->as_array()) {
    if (!element.is_table()) FailAt(element.source(), std::string(key) + " may hold tables only");
    readers.emplace_back(*element.as_table(), file_, title);
  }
  return readers;
}

void TableReader::Finish() const {
  for (const auto& [key, node] : table_) {
    if (read_keys_.contains(key.str())) continue;
    const std::string where = title_.empty() ? "" : " in " + title_;
    FailAt(key.source(), "unknown key " + std::string(key.str()) + where);
  }
}

void TableReader::Fail(std::string_view key, const std::string& what) const {
  const toml::node* node = table_.get(key);
  FailAt(node ? node->source() : table_.source(), what);
}

const toml::node* TableReader::FindAndMarkRead(std::string_view key) {
  const toml::node* node = table_.get(key);
  if (node) read_keys_.emplace(key);
  return node;
}

void TableReader::FailAt(const toml::source_region& source, const std::string& what) const {
  throw ExperimentError(file_, source.begin.line, what);
}

double TableReader::NumberOf(std::string_view key, const toml::node& node, Bounds bounds) const {
  if (!node.is_number()) FailAt(node.source(), std::string(key) + " has to be a number");
  const double value = *node.value<double>();
  if (!bounds.Contain(value)) {
    FailAt(node.source(), std::string(key) + " = " + NumberText(value) + BoundsText(bounds.low, bounds.high));
  }
  return value;
}

std::int64_t TableReader::CountOf(std::string_view key, const toml::node& node, std::int64_t low,
                                  std::int64_t high) const {
  if (!node.is_integer()) FailAt(node.source(), std::string(key) + " has to be a whole number");
  const std::int64_t value = node.as_integer()->get();
  if (value < low || value > high) {
    FailAt(node.source(), std::string(key) + " = " + std::to_string(value) + " is outside " +
                              std::to_string(low) + " to " + std::to_string(high));
  }
  return value;
}

}  // namespace lb::lab
