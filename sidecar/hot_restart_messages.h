// What the processes of a hot restart say to each other on their connection, byte for byte. The forms are of
// the first release: a hot restart may be from any release to any later one.
//
// The earlier process sends the listening socket's descriptor with one byte (descriptor_passing.h). The later
// one sends kServesByte once it serves. From then on either may send override messages, a line each: `+FORM`
// where the override in that stored form holds from now on, `-FORM` where it is withdrawn.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "sidecar/operator_state.h"
#include "sidecar/stored_override.h"

namespace lb::sidecar {

inline constexpr char kServesByte = 'r';

struct OverrideMessage {
  StoredOverride stored;
  OverrideAction action = OverrideAction::kSet;
};

// A line that has the sign of an override message and no override behind it.
struct UnknownOverride {
  std::string text;  // without the sign
};

// With the end of line.
std::string ToLine(const OverrideMessage& message);

// `line`: without its end. Nothing for a line that has no sign: later releases may send others.
std::optional<std::variant<OverrideMessage, UnknownOverride>> ParseLine(const std::string& line);

}  // namespace lb::sidecar
