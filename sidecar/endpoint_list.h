// The endpoint list that discovery serves (PROTOCOL, "Discovery"): its JSON form, read and checked as a
// whole. No sockets.
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

// One response of discovery. Its `update.kind` is kFull or kChanges.
struct EndpointList {
  std::uint64_t revision = 0;
  MembershipUpdate update;
  std::map<std::string, Location> locations;  // by upstream id; the same upstreams as in `update`
};

// What is wrong with a list, and where. Nothing of such a list is taken.
class MembershipError : public std::runtime_error {
 public:
  enum class Kind {
    kMalformed,   // not JSON, a field is missing or of another type
    kOutOfRange,  // a number that no sound list has
    kBadValue,    // a text that names no state or no address, or an empty id
    kDuplicate,   // two entries of one upstream
  };

  // `entry`: the index of the entry in the list; nothing where the error is not in one. `text`: for people.
  MembershipError(Kind kind, std::string field, std::optional<std::size_t> entry, const std::string& text)
      : std::runtime_error(text), kind_(kind), field_(std::move(field)), entry_(entry) {}

  Kind kind() const { return kind_; }
  const std::string& field() const {
    return field_;
  }  // by its name in the JSON form; empty where none is at fault
  std::optional<std::size_t> entry() const { return entry_; }

 private:
  Kind kind_;
  std::string field_;
  std::optional<std::size_t> entry_;
};

// Throw MembershipError. `clock` turns the start times of upstreams, Unix times on the wire, into TimePoints.
EndpointList ParseEndpointList(const nlohmann::json& body, const UnixClock& clock);
EndpointList ParseEndpointList(const std::string& body, const UnixClock& clock);

}  // namespace lb::sidecar
