// One exchange with an upstream: a request, which may be sent, and what became of it. An attempt of a
// client's request is one exchange, and so is a load probe.
#pragma once

#include <boost/system/error_code.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "balancer/balancer.h"
#include "sidecar/body_stream.h"
#include "sidecar/clock.h"
#include "sidecar/http.h"

namespace lb::sidecar {

// Chosen by the caller; unique among the exchanges that have not finished.
enum class ExchangeId : std::uint64_t {};

// How an exchange ended. The move assignment of Beast's fields may throw.
// NOLINTNEXTLINE(bugprone-exception-escape)
struct ExchangeResult {
  lb::Outcome outcome = lb::Outcome::kServed;
  // From the start of the exchange; where the request's body is streamed, from its last byte.
  Duration elapsed{};
  // As reported in the response's X-Server-Load, or in the body of a load probe's response.
  lb::LoadReport load;
  // Empty unless a response was read whole. Its body is empty where it was streamed.
  HttpResponse response;
  // Why the connection or the attempt to open one failed; success where neither did.
  boost::system::error_code why{};
  // Of the connection when this exchange started: how many exchanges it has had, this one among them, for how
  // long it had been open, and for how long idle.
  std::uint64_t use = 0;
  Duration open{};
  Duration idle{};
};

// What to send and how long to wait. All callbacks run on the event loop's thread.
struct ExchangeRequest {
  // Called at most once, before `on_finished`, where the response's body is streamed. The response's body is
  // empty; the receiver shares `body` with the connection, which ends it.
  using OnResponseStarted = std::function<void(HttpResponse head, Body body)>;
  // Called exactly once, also where nothing could be sent; then possibly from within StartExchange.
  using OnFinished = std::function<void(ExchangeResult)>;

  // Shared with the other attempts of the same request; never null, never changed.
  std::shared_ptr<const HttpRequest> request;
  // Null, or the body of a request that is streamed; `request` has none then.
  Body body;
  // For the whole exchange from its start; where the body is streamed, from its last byte.
  Duration timeout{};
  // A pooled connection that has been idle for longer is not used.
  Duration max_connection_idle{};
  // From the start of the exchange. Where no byte is written by then it ends as kNotSent.
  Duration begin_within = Duration::max();
  // Null, or called right before the first byte is written, with nothing but the write after it. Where it
  // returns false nothing is written and the exchange ends as kNotSent.
  std::function<bool()> client_is_waiting;
  // Null where no client waits, or returns how long the client will still wait from the time given. The
  // upstream gets no more than that in X-Timeout-Ms, and is not waited for any longer.
  std::function<Duration(TimePoint)> time_left;
  // An upstream that takes no byte of a streamed body for this long has failed.
  Duration body_stall_timeout = Duration::max();
  // Null where a streamed response is of no use: a body over kMaxBufferedBody is a failure then.
  OnResponseStarted on_response_started;
  OnFinished on_finished;
};

}  // namespace lb::sidecar
