// Plays the simulator's side of the decision module: batches of events in, batches of actions out, as the
// page WIRE describes them. No decisions live here.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "adapter/event_reader.h"
#include "balancer/balancer.h"
#include "nlohmann/json.hpp"

namespace lb::adapter {

// Hosts the module's instances of one process. Instances share nothing but the numbered rosters that they are
// handed. Not thread-safe.
class Host {
 public:
  // One batch in, one reply out, each a line without its end. Throws FieldError where the line is no batch or
  // lacks a field that it needs; the text names the event and the field. An instance that throws on an event
  // is reported to the simulator in the reply, and the others go on.
  std::string Reply(const std::string& line);

 private:
  struct Instance {
    Balancer balancer;
    NameTables names;
  };

  void HandleItem(const nlohmann::json& item, TimePoint now, nlohmann::json& commands);
  void HandleInstanceEvent(const std::string& type, const nlohmann::json& item, TimePoint now,
                           nlohmann::json& commands);
  void Launch(std::int64_t number, const nlohmann::json& item);

  std::map<std::int64_t, Instance> instances_;
  Rosters rosters_;
  std::vector<Action> actions_;  // of the event in hand; kept so that its memory is
};

}  // namespace lb::adapter
