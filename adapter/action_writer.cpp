#include "adapter/action_writer.h"

#include <cstddef>
#include <variant>

#include "adapter/event_reader.h"

namespace lb::adapter {
namespace {

using nlohmann::json;

std::string FormatRequestId(RequestId id) {
  static constexpr char kDigits[] = "0123456789abcdef";
  auto value = static_cast<std::uint64_t>(id);
  std::string text(kRequestIdDigits, '0');
  for (std::size_t position = text.size(); position > 0; --position) {
    text[position - 1] = kDigits[value % 16];
    value /= 16;
  }
  return text;
}

// A std::visit visitor with one overload per action. Commands that refer to a request contain its id
// ("Handle").
class CommandWriter {
 public:
  explicit CommandWriter(std::int64_t instance) : instance_(instance) {}

  json operator()(const SendAttempt& action) const {
    json command = RequestCommand("Forward", action.request);
    command["Upstream"] = action.upstream.value;
    command["Patience"] = action.timeout.count();
    return command;
  }
  json operator()(const CancelAttempt& action) const {
    json command = RequestCommand("Revoke", action.request);
    command["Attempt"] = static_cast<std::size_t>(action.attempt);
    return command;
  }
  json operator()(const RejectRequest& action) const {
    json command = RequestCommand("Deny", action.request);
    command["Pause"] = action.retry_after.count();
    return command;
  }
  json operator()(const FailRequest& action) const { return RequestCommand("RespondError", action.request); }
  json operator()(const SetTimer& action) const {
    json command = Command("Sleep");
    command["When"] = action.at.time_since_epoch().count();
    command["KeyBack"] = action.token;
    return command;
  }
  json operator()(const SendLoadProbe& action) const {
    json command = Command("Probe");
    command["Upstream"] = action.upstream.value;
    return command;
  }
  json operator()(const CloseIdleConnections& action) const {
    json command = Command("LetGo");
    command["Upstream"] = action.upstream.value;
    return command;
  }
  json operator()(const Subscribe&) const {
    json command = Command("Track");
    command["Active"] = true;
    return command;
  }
  json operator()(const LogLine& action) const {
    json command = Command("JournalLine");
    command["ReasonText"] = action.text;
    return command;
  }

 private:
  json Command(const char* type) const { return {{"event_type", type}, {"I", instance_}}; }
  json RequestCommand(const char* type, RequestId request) const {
    json command = Command(type);
    command["Handle"] = FormatRequestId(request);
    return command;
  }

  const std::int64_t instance_;
};

}  // namespace

json WriteAction(std::int64_t instance, const Action& action) {
  return std::visit(CommandWriter(instance), action);
}

json WriteFault(std::int64_t instance, const std::string& what) {
  return {{"event_type", "Bug"}, {"I", instance}, {"ReasonText", what}};
}

}  // namespace lb::adapter
