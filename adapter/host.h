// Connects the decision module to the simulator: converts each batch of events, passes the events to the
// module's instances and returns their actions, in the format of the page WIRE. Makes no load-balancing
// decisions.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "adapter/event_reader.h"
#include "balancer/balancer.h"
#include "nlohmann/json.hpp"

namespace lb::adapter {

// Holds the balancer instances of one process. The instances share only the numbered endpoint lists. Not
// thread-safe.
class Host {
 public:
  // Handles one batch and returns the reply; both are a line without the newline. Throws FieldError if the
  // line is not a batch or lacks a required field; the text names the event and the field. An exception that
  // an instance throws is reported to the simulator in the reply, and the other instances continue.
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
  UpstreamLists upstream_lists_;
  std::vector<Action> actions_;  // of the current event; a member so that its memory is reused
};

}  // namespace lb::adapter
