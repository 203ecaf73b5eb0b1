// By when each step of an exchange has to be done. Keeps no clock: every call is handed the time.
#pragma once

#include "sidecar/clock.h"
#include "sidecar/exchange.h"

namespace lb::sidecar {

class ExchangeDeadlines {
 public:
  ExchangeDeadlines() = default;
  // Of an exchange that starts now.
  ExchangeDeadlines(const ExchangeRequest& request, TimePoint now);
  // The last byte of a streamed request has been written: the time for the response runs from now.
  void RestartAfterLastByte(const ExchangeRequest& request, TimePoint now);

  TimePoint started() const { return started_; }
  // Of the response.
  TimePoint response() const { return response_; }
  // Of the first byte of the request; TimePoint::max() where there is no such bound.
  TimePoint first_byte() const { return first_byte_; }
  // How long the upstream will be waited for from the first byte on, which is its X-Timeout-Ms: no more than
  // the client will still wait, and less by the time that connecting took unless the request is streamed.
  Duration ToldTimeout(const ExchangeRequest& request, TimePoint now) const;
  // By when a served response of unknown length, of which nothing has gone to the client, may be held back.
  TimePoint HoldBackEnd(TimePoint now) const;
  // Of the upstream taking the next piece of a streamed request.
  static TimePoint NextPiece(const ExchangeRequest& request, TimePoint now);
  // Of the next bytes of a streamed response.
  static TimePoint NextBytes(TimePoint now);

 private:
  TimePoint started_;
  TimePoint response_;
  TimePoint first_byte_;
};

}  // namespace lb::sidecar
