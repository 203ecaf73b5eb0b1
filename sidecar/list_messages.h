// The messages by which the previous process of a hot restart passes its endpoint list to the next one. Each
// is a line. Their form must not change: a hot restart may be from any release to any later one.
//
//   list FORM REVISION UPSTREAMS    begins a list of so many upstreams; FORM is 1
//   upstream ENTRY                  one upstream, an entry of discovery's list (PROTOCOL, "Discovery")
//   list-end                        all upstreams were sent
//
// Releases that do not know these messages ignore them. A list counts only once its last line has arrived:
// the previous process may end at any byte.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "sidecar/clock.h"
#include "sidecar/endpoint_list.h"
#include "sidecar/held_endpoint_list.h"

namespace lb::sidecar {

// All messages of a list, with their newlines.
std::string ToListMessages(const HeldEndpointList& list);

// Puts the list of the previous process together.
class ListReceiver {
 public:
  // `clock` converts the start times of upstreams and must outlive this object.
  explicit ListReceiver(const UnixClock& clock) : clock_(clock) {}

  // Handles a line, without its newline; ignores a line that is no message of a list. Returns the list, as a
  // kRestored one, with its last line. Throws MembershipError for a list that is malformed or incomplete,
  // which is dropped.
  std::optional<EndpointList> HandleLine(const std::string& line);

 private:
  void Begin(const std::string& header);
  void AddUpstream(const std::string& entry);
  EndpointList End();

  const UnixClock& clock_;
  std::optional<EndpointList> list_;  // while one is being received
  std::size_t upstreams_ = 0;         // that the list is to have
};

}  // namespace lb::sidecar
