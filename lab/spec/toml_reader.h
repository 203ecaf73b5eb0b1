// Reads one table of a TOML file key by key, with ranges, and rejects unknown keys.
#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "lab/spec/experiment.h"
#include "toml++/toml.h"

namespace lb::lab {

// Inclusive. NaN lies in none.
struct Bounds {
  double low = 0;
  double high = std::numeric_limits<double>::max();
  bool Contain(double value) const { return value >= low && value <= high; }
};

// A word of the file and what it stands for.
template <typename T>
struct NamedValue {
  std::string_view name;
  T value;
};

// Every read leaves its target as it is where the key is absent, and throws ExperimentError with the key's
// line for another type or a value out of range. Not thread-safe; the table has to outlive the reader.
class TableReader {
 public:
  // `title` is what errors call the table, such as `[load]`; empty for the file itself.
  TableReader(const toml::table& table, std::string file, std::string title);

  bool Has(std::string_view key) const { return table_.contains(key); }
  // Throws where `key` is absent.
  void Require(std::initializer_list<std::string_view> keys) const;

  void ReadNumber(std::string_view key, double& target, Bounds bounds);
  // A number, or a pair [low, high] of them.
  void ReadRange(std::string_view key, Range& target, Bounds bounds);
  // The key's value counts `unit`s; the bounds are in units, too.
  void ReadTime(std::string_view key, Duration& target, Duration unit, Bounds bounds);
  void ReadFlag(std::string_view key, bool& target);
  void ReadText(std::string_view key, std::string& target);
  void ReadCounts(std::string_view key, std::vector<std::size_t>& target);
  // Whole numbers.
  template <std::integral T>
  void ReadCount(std::string_view key, T& target, std::int64_t low, std::int64_t high) {
    if (const toml::node* node = Take(key)) target = static_cast<T>(CountOf(key, *node, low, high));
  }
  template <typename T>
  void ReadChoice(std::string_view key, T& target, const std::vector<NamedValue<T>>& choices) {
    std::string word;
    ReadText(key, word);
    if (!Has(key)) return;
    for (const auto& choice : choices) {
      if (choice.name == word) {
        target = choice.value;
        return;
      }
    }
    std::string names;
    for (const auto& choice : choices) names += (names.empty() ? "" : ", ") + std::string(choice.name);
    Fail(key, std::string(key) + " = \"" + word + "\" is none of " + names);
  }

  // The sub-table `[key]`, or one that is empty.
  TableReader Table(std::string_view key);
  // The tables `[[key]]`, none where the key is absent.
  std::vector<TableReader> Tables(std::string_view key);

  // Throws for the first key that was not read.
  void Finish() const;
  // Throws with the line of `key`, or of the table where it has no such key.
  [[noreturn]] void Fail(std::string_view key, const std::string& what) const;

 private:
  const toml::node* Take(std::string_view key);
  [[noreturn]] void FailAt(const toml::source_region& source, const std::string& what) const;
  double NumberOf(std::string_view key, const toml::node& node, Bounds bounds) const;
  std::int64_t CountOf(std::string_view key, const toml::node& node, std::int64_t low,
                       std::int64_t high) const;

  const toml::table& table_;
  std::string file_;
  std::string title_;
  std::set<std::string, std::less<>> taken_;
};

}  // namespace lb::lab
