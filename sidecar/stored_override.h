// Operator overrides and their stored form, which is used as the name of a file under $TMPDIR and in hot
// restart messages. The form must not change: each release has to read what earlier releases stored or sent.
// It is defined in this file only.
#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace lb::sidecar {

// The name of the Unix socket on which a process accepts the next process of a hot restart. It is in the same
// folder as the files of the overrides. The name must not change: a hot restart may be from any release to
// any later one.
inline constexpr std::string_view kHotRestartSocketName = "handover";

// An override of the sidecar's behaviour by operators: one upstream is disabled, or connection draining is
// on.
class StoredOverride {
 public:
  // kDraining is first so that overrides are ordered like their stored forms.
  enum class Kind { kDraining, kUpstreamDisabled };

  static StoredOverride Draining() { return {Kind::kDraining, {}}; }
  // `id`: an opaque string of any bytes; must not be empty.
  static StoredOverride UpstreamDisabled(std::string id) { return {Kind::kUpstreamDisabled, std::move(id)}; }

  Kind kind() const { return kind_; }
  const std::string& upstream() const { return upstream_; }  // the id; empty for kDraining

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the compiler-generated comparison with 0.
  auto operator<=>(const StoredOverride&) const = default;

 private:
  StoredOverride(Kind kind, std::string upstream) : kind_(kind), upstream_(std::move(upstream)) {}

  Kind kind_;
  std::string upstream_;
};

// `drained`, or `out-HEX` with the upstream's id in hexadecimal digits.
std::string ToStoredForm(const StoredOverride& stored);
// Returns nullopt if `text` is not the stored form of an override.
std::optional<StoredOverride> ParseStoredForm(const std::string& text);

// The name and the contents of the file that stores an override. The name is the stored form and the file is
// empty; if the stored form is too long for a file name, the name is `long-HASH` and the contents are the
// stored form.
std::string FileNameOf(const StoredOverride& stored);
std::string FileContentsOf(const StoredOverride& stored);
// True for names that start like `long-HASH`. The contents still have to be checked: any program can create
// such a file.
bool IsLongFileName(const std::string& name);

// The maximum size in bytes of the contents of a `long-HASH` file.
inline constexpr std::size_t kMaxStoredFormSize = std::size_t{64} * 1024;

}  // namespace lb::sidecar
