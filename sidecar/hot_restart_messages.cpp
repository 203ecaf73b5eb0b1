#include "sidecar/hot_restart_messages.h"

namespace lb::sidecar {
namespace {

constexpr char kSetSign = '+';
constexpr char kWithdrawSign = '-';

}  // namespace

std::string ToLine(const OverrideMessage& message) {
  const char sign = message.action == OverrideAction::kSet ? kSetSign : kWithdrawSign;
  return sign + ToStoredForm(message.stored) + "\n";
}

std::optional<std::variant<OverrideMessage, UnknownOverride>> ParseLine(const std::string& line) {
  if (line.size() < 2 || (line[0] != kSetSign && line[0] != kWithdrawSign)) return std::nullopt;
  const auto stored = ParseStoredForm(line.substr(1));
  if (!stored) return UnknownOverride{line.substr(1)};
  return OverrideMessage{*stored, line[0] == kSetSign ? OverrideAction::kSet : OverrideAction::kWithdraw};
}

}  // namespace lb::sidecar
