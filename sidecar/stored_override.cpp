#include "sidecar/stored_override.h"

#include <array>
#include <cstdint>
#include <cstdio>

namespace lb::sidecar {
namespace {

constexpr std::string_view kDraining = "drained";
constexpr std::string_view kDisabledPrefix = "out-";
constexpr std::string_view kLongPrefix = "long-";
// In bytes; the file system's limit is 255. Must not change: earlier releases look for longer stored forms in
// `long-HASH` files.
constexpr std::size_t kMaxFileNameLength = 244;

std::string ToHex(const std::string& bytes) {
  std::string hex;
  for (const char c : bytes) {
    std::array<char, 3> digits{};
    std::snprintf(digits.data(), digits.size(), "%02x",
                  static_cast<unsigned int>(static_cast<unsigned char>(c)));
    hex += digits.data();
  }
  return hex;
}

std::optional<int> HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return std::nullopt;
}

std::optional<std::string> FromHex(const std::string& hex) {
  if (hex.empty() || hex.size() % 2 != 0) return std::nullopt;
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    const auto high = HexDigit(hex[i]);
    const auto low = HexDigit(hex[i + 1]);
    if (!high || !low) return std::nullopt;
    bytes.push_back(static_cast<char>(*high * 16 + *low));
  }
  return bytes;
}

// 64-bit FNV-1a hash of `text` with the given initial value. Two hashes with different initial values
// together make collisions among the ids of a fleet negligible.
std::uint64_t Fnv1aHash(const std::string& text, std::uint64_t hash) {
  constexpr std::uint64_t kPrime = 1099511628211U;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  return hash;
}

// Depends on the stored form only, so that every process finds the file of an override without an index.
std::string LongFileName(const std::string& form) {
  std::array<char, 33> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Fnv1aHash(form, 14695981039346656037U)),
                static_cast<unsigned long long>(Fnv1aHash(form, 1469598103934665603U)));
  return std::string(kLongPrefix) + digits.data();
}

}  // namespace

std::string ToStoredForm(const StoredOverride& stored) {
  if (stored.kind() == StoredOverride::Kind::kDraining) return std::string(kDraining);
  return std::string(kDisabledPrefix) + ToHex(stored.upstream());
}

std::optional<StoredOverride> ParseStoredForm(const std::string& text) {
  if (text == kDraining) return StoredOverride::Draining();
  if (!text.starts_with(kDisabledPrefix)) return std::nullopt;
  auto id = FromHex(text.substr(kDisabledPrefix.size()));
  if (!id) return std::nullopt;
  return StoredOverride::UpstreamDisabled(*std::move(id));
}

std::string FileNameOf(const StoredOverride& stored) {
  std::string form = ToStoredForm(stored);
  return form.size() <= kMaxFileNameLength ? form : LongFileName(form);
}

std::string FileContentsOf(const StoredOverride& stored) {
  std::string form = ToStoredForm(stored);
  return form.size() <= kMaxFileNameLength ? std::string() : form;
}

bool IsLongFileName(const std::string& name) { return name.starts_with(kLongPrefix); }

}  // namespace lb::sidecar
