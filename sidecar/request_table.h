// The table of requests in flight, and the X-Request-IDs of requests that ended recently.
//
// A request is in flight from its acceptance until all its attempts have finished and either its response has
// been sent or its client has disconnected.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balancer/balancer.h"
#include "sidecar/body_stream.h"
#include "sidecar/clock.h"
#include "sidecar/exchange.h"
#include "sidecar/http.h"
#include "sidecar/listener.h"

namespace lb::sidecar {

struct InFlightRequest {
  std::string wire_id;  // the value of X-Request-ID
  std::shared_ptr<const HttpRequest> message;
  Body body;                             // the body of a streamed request, else null
  TimePoint deadline;                    // TimePoint::max() until a streamed body has been sent in full
  Duration timeout{};                    // the client's timeout, counted from the last byte of its request
  Listener::SendResponse send_response;  // empty after the response was sent or the client disconnected
  Listener::CheckClient check_client;
  std::vector<ExchangeId> attempts;  // indexed by AttemptId
  std::size_t unfinished_attempts = 0;
  std::optional<AttemptId> responding_attempt;  // the attempt whose response is streamed to the client

  bool AwaitsResponse() const { return send_response != nullptr; }
  bool HasDeadline() const { return deadline != TimePoint::max(); }
};

class RequestTable {
 public:
  // How long the X-Request-ID of an ended request stays reserved. A second request with the same id within
  // this time is a duplicate that the client sent before it received the response, and must not be executed
  // again. Clients do not reuse ids, so the time only has to cover the arrival of such a duplicate.
  static constexpr Duration kEndedIdRetention = std::chrono::seconds(5);
  // Limits the memory used for the ids of ended requests.
  static constexpr std::size_t kMaxEndedIds = 8192;

  // Reserves the X-Request-ID. Returns false if a request in flight or ended recently has the same id: an
  // upstream could not distinguish the two requests.
  [[nodiscard]] bool ReserveWireId(const std::string& wire_id, TimePoint now);

  // Returns a new id, which is never returned again.
  RequestId NextId() { return RequestId{++last_id_}; }
  void Add(RequestId id, InFlightRequest request);

  // Returns null if the request has ended. The pointer is valid until RemoveIfEnded() removes the request.
  InFlightRequest* Find(RequestId id);
  const InFlightRequest* Find(RequestId id) const;

  // Removes the request unless it still waits for its response or for the end of an attempt.
  void RemoveIfEnded(RequestId id, TimePoint now);

 private:
  void ReleaseOldWireIds(TimePoint now);

  std::unordered_map<RequestId, InFlightRequest> requests_;
  std::set<std::string, std::less<>> reserved_wire_ids_;  // ids of requests in flight or ended recently
  std::deque<std::pair<TimePoint, std::string>> ended_wire_ids_;  // time of the end and id, oldest first
  std::uint64_t last_id_ = 0;
};

}  // namespace lb::sidecar
