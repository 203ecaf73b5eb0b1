#include "adapter/host.h"

#include <cstddef>
#include <exception>
#include <utility>
#include <variant>

#include "adapter/action_writer.h"
#include "settings/json_fields.h"
#include "settings/settings_reader.h"

namespace lb::adapter {

using nlohmann::json;

std::string Host::Reply(const std::string& line) {
  const json batch = json::parse(line, nullptr, false);
  if (!batch.is_object()) throw FieldError("not a batch: the line is not a JSON object");
  const TimePoint now = ReadTime(batch, "Clock");
  const json& events = Field(batch, "news");
  if (!events.is_array()) throw FieldError("bad value in field news");
  json commands = json::array();
  for (const json& item : events) HandleItem(item, now, commands);
  return json{{"cmds", std::move(commands)}}.dump();
}

void Host::HandleItem(const json& item, TimePoint now, json& commands) {
  const auto type = Get<std::string>(item, "event_type");
  try {
    if (type == "Census") {
      upstream_lists_[Get<std::int64_t>(item, "RosterId")] = ReadUpstreamList(item);
    } else if (type == "Launch" || type == "Halt" || IsInstanceEvent(type)) {
      HandleInstanceEvent(type, item, now, commands);
    }
  } catch (const FieldError& error) {
    throw FieldError(type + ": " + error.what());
  }
}

void Host::HandleInstanceEvent(const std::string& type, const json& item, TimePoint now, json& commands) {
  const auto number = Get<std::int64_t>(item, "I");
  actions_.clear();
  try {
    if (type == "Halt") {
      instances_.erase(number);
    } else if (type == "Launch") {
      Launch(number, item);
    } else if (const auto instance = instances_.find(number); instance != instances_.end()) {
      const Event event = ReadEvent(type, item, instance->second.names, upstream_lists_);
      instance->second.balancer.Handle(now, event, actions_);
    }
  } catch (const FieldError&) {
    throw;
  } catch (const std::exception& error) {
    commands.push_back(WriteFault(number, error.what()));
    return;
  }
  for (const Action& action : actions_) commands.push_back(WriteAction(number, action));
}

void Host::Launch(std::int64_t number, const json& item) {
  instances_.erase(number);
  Settings settings = ParseSettings(Field(item, "Params"));
  NameTables names;
  for (std::size_t i = 0; i < settings.classes.size(); ++i) names.classes[settings.classes[i].name] = i;
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) names.tenants[settings.tenants[i].name] = i;
  Balancer balancer(std::move(settings), Get<std::uint64_t>(item, "Seed"));
  instances_.emplace(number, Instance{std::move(balancer), std::move(names)});
}

}  // namespace lb::adapter
