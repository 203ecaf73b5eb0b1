// One exchange with an upstream: a request to send, and its result. Each attempt of a client's request is one
// exchange, and so is each load probe.
#pragma once

#include <boost/system/error_code.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "balancer/balancer.h"
#include "sidecar/body_stream.h"
#include "sidecar/clock.h"
#include "sidecar/http.h"

namespace lb::sidecar {

// Chosen by the caller, and unique among the unfinished exchanges.
enum class ExchangeId : std::uint64_t {};

// How far an exchange had come when it ended.
enum class ExchangeProgress {
  kNotStarted,        // no connection was taken or opened
  kConnecting,        // no byte of the request was written
  kSendingRequest,    // the request was not written whole
  kAwaitingResponse,  // no final head had arrived
  kAwaitingBody,      // the head had arrived, and nothing of the body
  kReceivingBody,
};
std::string_view ToString(ExchangeProgress progress);

// The result of an exchange. The lint exception: the move assignment of Beast's fields may throw.
// NOLINTNEXTLINE(bugprone-exception-escape)
struct ExchangeResult {
  lb::Outcome outcome = lb::Outcome::kServed;
  // Time from the start of the exchange, or from the last byte of a streamed request.
  Duration elapsed{};
  // The upstream's load, as reported in the response's X-Server-Load, or in the body of a load probe's
  // response.
  lb::LoadReport load;
  // Empty unless a response was read completely. The body is empty if it was streamed.
  HttpResponse response;
  ExchangeProgress progress = ExchangeProgress::kNotStarted;
  std::uint64_t body_bytes = 0;  // received of the response's body
  // The error of the connection, or of opening one; no error if neither failed.
  boost::system::error_code connection_error{};
  // Number of exchanges on the connection, including this one; 0 if there was no connection.
  std::uint64_t connection_use = 0;
  // How long the connection had been open, and how long idle, when this exchange started.
  Duration connection_open_for{};
  Duration connection_idle_for{};
};

// The request to send, its time limits and its callbacks. All callbacks run on the event loop's thread.
struct ExchangeRequest {
  // Called at most once, before `on_finished`, if the response's body is streamed. `head` has no body of its
  // own: the connection writes the body to `body`, and finishes or aborts that stream.
  using OnResponseStarted = std::function<void(HttpResponse head, Body body)>;
  // Called exactly once. If nothing could be sent, the call may come from within Upstreams::StartExchange().
  using OnFinished = std::function<void(ExchangeResult)>;

  // Shared with the other attempts of the same request. Never null, never modified.
  std::shared_ptr<const HttpRequest> request;
  // The body of a streamed request, in which case `request` has no body; otherwise null.
  Body body;
  // Time limit of the exchange, from its start or, if the body is streamed, from its last byte.
  Duration timeout{};
  // A pooled connection that has been idle for this long or longer is not used.
  Duration max_connection_idle{};
  // Time from the start of the exchange. If no byte has been written by then, the exchange ends as kNotSent.
  Duration begin_within = Duration::max();
  // Called immediately before the first byte is written. If it returns false, nothing is written and the
  // exchange ends as kNotSent. May be null.
  std::function<bool()> client_is_waiting;
  // Returns how long the client will still wait, from the given time on; null if no client waits. This limits
  // both X-Timeout-Ms and the time that the exchange waits for the upstream.
  std::function<Duration(TimePoint)> time_left;
  // When the process ends its last response; TimePoint::max() unless it is stopping.
  TimePoint last_response_by = TimePoint::max();
  // If the upstream accepts no byte of a streamed body for this long, the exchange fails.
  Duration body_stall_timeout = Duration::max();
  // Null if the caller can't use a streamed response; a body over kMaxBufferedBody is a failure then.
  OnResponseStarted on_response_started;
  OnFinished on_finished;
};

}  // namespace lb::sidecar
