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

// Inclusive bounds of a number. NaN is outside any bounds.
struct Bounds {
  double low = 0;
  double high = std::numeric_limits<double>::max();
  bool Contain(double value) const { return value >= low && value <= high; }
};

// A string value allowed in the file, and the value that it stands for.
template <typename T>
struct NamedValue {
  std::string_view name;
  T value;
};

// Every Read function leaves its target unchanged if the key is absent, and throws ExperimentError with the
// key's line if the value has the wrong type or is out of range. Not thread-safe. The table has to outlive
// the reader.
class TableReader {
 public:
  // `title` names the table in error messages, such as `[load]`; empty for the top level of the file.
  TableReader(const toml::table& table, std::string file, std::string title);

  bool Has(std::string_view key) const { return table_.contains(key); }
  // Throws if any of `keys` is absent.
  void Require(std::initializer_list<std::string_view> keys) const;

  void ReadNumber(std::string_view key, double& target, Bounds bounds);
  // Reads a number, or a pair of numbers [low, high].
  void ReadRange(std::string_view key, Range& target, Bounds bounds);
  // Reads a duration given as a number of `unit`s. The bounds are in the same unit.
  void ReadTime(std::string_view key, Duration& target, Duration unit, Bounds bounds);
  void ReadFlag(std::string_view key, bool& target);
  void ReadText(std::string_view key, std::string& target);
  void ReadCounts(std::string_view key, std::vector<std::size_t>& target);
  // Reads an integer from `low` to `high`.
  template <std::integral T>
  void ReadCount(std::string_view key, T& target, std::int64_t low, std::int64_t high) {
    if (const toml::node* node = FindAndMarkRead(key))
      target = static_cast<T>(CountOf(key, *node, low, high));
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

  // The sub-table `[key]`, or an empty table if it is absent.
  TableReader Table(std::string_view key);
  // The tables `[[key]]`; empty if the key is absent.
  std::vector<TableReader> Tables(std::string_view key);

  // Throws for the first key of the table that has not been read, as an unknown key.
  void Finish() const;
  // Throws with the line of `key`, or the line of the table if the key is absent.
  [[noreturn]] void Fail(std::string_view key, const std::string& what) const;

 private:
  const toml::node* FindAndMarkRead(std::string_view key);
  [[noreturn]] void FailAt(const toml::source_region& source, const std::string& what) const;
  double NumberOf(std::string_view key, const toml::node& node, Bounds bounds) const;
  std::int64_t CountOf(std::string_view key, const toml::node& node, std::int64_t low,
                       std::int64_t high) const;

  const toml::table& table_;
  std::string file_;
  std::string title_;
  std::set<std::string, std::less<>> read_keys_;
};

}  // namespace lb::lab
