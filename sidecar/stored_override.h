// An operator override in its stored form. The spelling is of the first release: it is the name of a file
// under $TMPDIR and the text of a hot restart message, and what any release stored or says is understood by a
// later one. No other file knows the spelling.
#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace lb::sidecar {

// The Unix socket on which a process waits for the next one; it lies among the files of the overrides. The
// spelling is of the first release, too: a hot restart may be from any release to any later one.
inline constexpr std::string_view kHotRestartSocketName = "handover";

// That one upstream is disabled, or that clients are sent away (connection draining).
class StoredOverride {
 public:
  // Draining first: overrides are stored in this order.
  enum class Kind { kDraining, kUpstreamDisabled };

  static StoredOverride Draining() { return {Kind::kDraining, {}}; }
  // `id`: opaque, any byte may be in it; not empty.
  static StoredOverride UpstreamDisabled(std::string id) { return {Kind::kUpstreamDisabled, std::move(id)}; }

  Kind kind() const { return kind_; }
  const std::string& upstream() const { return upstream_; }  // of kUpstreamDisabled

  // NOLINTNEXTLINE(modernize-use-nullptr): finds a comparison with 0 that the compiler writes.
  auto operator<=>(const StoredOverride&) const = default;

 private:
  StoredOverride(Kind kind, std::string upstream) : kind_(kind), upstream_(std::move(upstream)) {}

  Kind kind_;
  std::string upstream_;
};

// `drained`, or `out-HEX` with the upstream's id in hexadecimal digits.
std::string ToStoredForm(const StoredOverride& stored);
// Nothing for a text that is no override's.
std::optional<StoredOverride> ParseStoredForm(const std::string& text);

// The file that holds an override: named by its stored form and empty, or, where that is too long for the
// name of a file, `long-HASH` with the stored form as its contents.
std::string FileNameOf(const StoredOverride& stored);
std::string FileContentsOf(const StoredOverride& stored);
// The file holds an override's stored form in its contents, if it is one of ours.
bool IsLongFileName(const std::string& name);

// Bounds the contents of such a file, in bytes.
inline constexpr std::size_t kMaxStoredFormSize = std::size_t{64} * 1024;

}  // namespace lb::sidecar
