#include "sidecar/exchange.h"

namespace lb::sidecar {

std::string_view ToString(ExchangeProgress progress) {
  switch (progress) {
    case ExchangeProgress::kNotStarted:
      return "not_started";
    case ExchangeProgress::kConnecting:
      return "connecting";
    case ExchangeProgress::kSendingRequest:
      return "sending_request";
    case ExchangeProgress::kAwaitingResponse:
      return "awaiting_response";
    case ExchangeProgress::kAwaitingBody:
      return "awaiting_body";
    case ExchangeProgress::kReceivingBody:
      return "receiving_body";
  }
  return "";
}

}  // namespace lb::sidecar
