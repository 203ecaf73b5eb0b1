// The table of requests in flight. Their X-Request-IDs are reserved in the registry while they are in flight,
// and for some time after that.
//
// A request is in flight from its acceptance until all its attempts have finished and either its response has
// been sent or its client has disconnected.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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
#include "sidecar/request_id_registry.h"

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
  // How often RenewWireIds() has to be called.
  static constexpr Duration kWireIdRenewalInterval = RequestIdRegistry::kMinRetention / 2;

  // `wire_ids` has to outlive the table.
  explicit RequestTable(RequestIdRegistry& wire_ids) : wire_ids_(wire_ids) {}

  // Reserves the X-Request-ID of a request that is about to be added. A request with the id of one in flight,
  // or that ended recently, is a duplicate, which must not be executed again.
  [[nodiscard]] RequestIdRegistry::ClaimResult ReserveWireId(const std::string& wire_id, TimePoint now) {
    return wire_ids_.Claim(wire_id, now);
  }
  // Keeps the ids of the requests in flight reserved.
  void RenewWireIds(TimePoint now);

  // Returns a new id, which is never returned again.
  RequestId NextId() { return RequestId{++last_id_}; }
  void Add(RequestId id, InFlightRequest request);

  // Returns null if the request has ended. The pointer is valid until RemoveIfEnded() removes the request.
  InFlightRequest* Find(RequestId id);
  const InFlightRequest* Find(RequestId id) const;

  std::size_t size() const { return requests_.size(); }

  // Removes the request unless it still waits for its response or for the end of an attempt. If it had an
  // attempt, its id stays reserved.
  void RemoveIfEnded(RequestId id, TimePoint now);

 private:
  std::unordered_map<RequestId, InFlightRequest> requests_;
  RequestIdRegistry& wire_ids_;
  std::uint64_t last_id_ = 0;
};

}  // namespace lb::sidecar
