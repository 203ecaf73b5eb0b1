// The messages between the two processes of a hot restart. Their format must not change: a hot restart may be
// from any release to any later one.
//
// The previous process sends the descriptor of the listening socket with one byte (descriptor_passing.h), and
// may then send override messages. The next process sends kServesByte once it serves, and may then send
// override messages, too. An override message is one line: `+FORM` sets the override with that stored form
// (stored_override.h), `-FORM` withdraws it. The previous process also sends its endpoint list
// (list_messages.h).
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "sidecar/operator_state.h"
#include "sidecar/stored_override.h"

namespace lb::sidecar {

inline constexpr char kServesByte = 'r';

// An override that operators have set or withdrawn.
struct OverrideMessage {
  StoredOverride stored;
  OverrideAction action = OverrideAction::kSet;
};

// A line that starts with the sign of an override message but has no valid stored form after it, such as an
// override of a later release.
struct UnknownOverride {
  std::string text;  // without the sign
};

// The message as a line, with the newline.
std::string ToLine(const OverrideMessage& message);

// Parses a line without its newline. Returns nullopt if it does not start with a sign: later releases may
// send other messages, which are ignored.
std::optional<std::variant<OverrideMessage, UnknownOverride>> ParseLine(const std::string& line);

}  // namespace lb::sidecar
