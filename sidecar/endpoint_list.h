// Parses and validates the endpoint list that discovery serves as JSON (PROTOCOL, "Discovery"). A list with
// any error is rejected as a whole.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "balancer/balancer.h"
#include "nlohmann/json.hpp"
#include "sidecar/clock.h"
#include "sidecar/upstream_location.h"

namespace lb::sidecar {

// The content of one discovery response. `update.kind` is kFull or kChanges.
struct EndpointList {
  std::uint64_t revision = 0;
  MembershipUpdate update;
  std::map<std::string, Location> locations;  // by upstream id; holds the same upstreams as `update`
};

// The error for an invalid list: what is wrong and at which entry and field.
class MembershipError : public std::runtime_error {
 public:
  enum class Kind {
    kMalformed,   // invalid JSON, or a field is missing or of the wrong type
    kOutOfRange,  // a number outside its valid range
    kBadValue,    // an unknown state, an invalid address or an empty id
    kDuplicate,   // two entries with the same upstream id
  };

  // `entry` is the index of the entry in the list, absent if the error is outside the entries. `text` is the
  // description for the log.
  MembershipError(Kind kind, std::string field, std::optional<std::size_t> entry, const std::string& text)
      : std::runtime_error(text), kind_(kind), field_(std::move(field)), entry_(entry) {}

  Kind kind() const { return kind_; }
  // The JSON key of the invalid field; empty if the error is not in a particular field.
  const std::string& field() const { return field_; }
  std::optional<std::size_t> entry() const { return entry_; }

 private:
  Kind kind_;
  std::string field_;
  std::optional<std::size_t> entry_;
};

// The entry of one upstream in discovery's form, as ParseEndpointList() reads it.
nlohmann::json ToEntry(const UpstreamInfo& info, const Location& location);

// Both throw MembershipError. `clock` converts the start times of upstreams, which are Unix times in the
// list, to TimePoints.
EndpointList ParseEndpointList(const nlohmann::json& body, const UnixClock& clock);
EndpointList ParseEndpointList(const std::string& body, const UnixClock& clock);

}  // namespace lb::sidecar
