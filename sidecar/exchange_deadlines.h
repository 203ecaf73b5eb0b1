// The deadlines of the steps of an exchange, but for those of a streamed response (stream_deadline.h). Reads
// no clock: the caller passes the current time.
#pragma once

#include "sidecar/clock.h"
#include "sidecar/exchange.h"

namespace lb::sidecar {

class ExchangeDeadlines {
 public:
  ExchangeDeadlines() = default;
  // Deadlines of an exchange that starts at `now`.
  ExchangeDeadlines(const ExchangeRequest& request, TimePoint now);
  // Call when the last byte of a streamed request has been written: the time limit of the response starts at
  // `now`.
  void RestartAfterLastByte(const ExchangeRequest& request, TimePoint now);

  TimePoint started() const { return started_; }
  // Deadline of the complete response, or of its start if it is streamed.
  TimePoint response() const { return response_; }
  // Deadline of writing the first byte of the request; TimePoint::max() if there is none.
  TimePoint first_byte() const { return first_byte_; }
  // The value of X-Timeout-Ms: how long the sidecar waits for the upstream after the first byte of the
  // request. Limited to the time that the client will still wait. Connecting time is deducted unless the
  // request is streamed.
  Duration UpstreamTimeout(const ExchangeRequest& request, TimePoint now) const;
  // When a served response of unknown length, some of whose body has arrived, is streamed to the client
  // instead of being held back further.
  TimePoint HoldBackEnd(TimePoint now) const;
  // When the head of such a response is passed on although nothing of its body has arrived: shortly before
  // response(), after which the attempt would be given up.
  TimePoint ForwardHeadAt() const;
  // Deadline for the upstream to accept the next piece of a streamed request.
  static TimePoint NextPiece(const ExchangeRequest& request, TimePoint now);

 private:
  TimePoint started_;
  TimePoint response_;
  TimePoint first_byte_;
};

}  // namespace lb::sidecar
