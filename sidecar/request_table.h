// The requests in flight, and the ids of those that have ended recently.
//
// A request is in flight from its acceptance until it has its response, or its client has disconnected, and
// all of its attempts have finished.
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
  std::string wire_id;  // its X-Request-ID
  std::shared_ptr<const HttpRequest> message;
  Body body;           // of a streamed request, else null
  TimePoint deadline;  // TimePoint::max() until the last byte of a streamed body has been sent
  Duration timeout{};  // how long the client waits, from the last byte of its request
  Listener::SendResponse send_response;  // empty once the request has its response or its client disconnected
  Listener::CheckClient check_client;
  std::vector<ExchangeId> attempts;  // by AttemptId
  std::size_t unfinished_attempts = 0;
  std::optional<AttemptId> responding_attempt;  // the one whose response is streamed to the client

  bool AwaitsResponse() const { return send_response != nullptr; }
};

class RequestTable {
 public:
  // How long the X-Request-ID of an ended request stays reserved. A second request with the same id within
  // that time is a duplicate that crossed the response on its way, and must not run again. Clients do not
  // reuse ids, so none is reserved for longer than such a duplicate takes.
  static constexpr Duration kEndedIdRetention = std::chrono::seconds(5);
  // Bounds the memory for the ids of ended requests.
  static constexpr std::size_t kMaxEndedIds = 8192;

  // False where a request that is in flight or ended recently has this X-Request-ID: two requests of one id
  // could not be told apart upstream.
  [[nodiscard]] bool ReserveWireId(const std::string& wire_id, TimePoint now);

  // The id of the next request. Each is given once.
  RequestId NextId() { return RequestId{++last_id_}; }
  void Add(RequestId id, InFlightRequest request);

  // Null for a request that has ended. The pointer is valid until RemoveIfEnded() removes the request.
  InFlightRequest* Find(RequestId id);
  const InFlightRequest* Find(RequestId id) const;

  // Removes the request unless its response or an attempt is outstanding.
  void RemoveIfEnded(RequestId id, TimePoint now);

 private:
  void ReleaseOldWireIds(TimePoint now);

  std::unordered_map<RequestId, InFlightRequest> requests_;
  std::set<std::string, std::less<>> reserved_wire_ids_;          // of requests in flight or ended recently
  std::deque<std::pair<TimePoint, std::string>> ended_wire_ids_;  // with when each ended, the oldest first
  std::uint64_t last_id_ = 0;
};

}  // namespace lb::sidecar
