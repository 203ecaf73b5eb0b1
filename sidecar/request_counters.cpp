#include "sidecar/request_counters.h"

#include <string_view>

namespace lb::sidecar {
namespace {

constexpr std::string_view kRequestEndNames[] = {
    "served",  "rejected",    "upstream_failed", "deadline_exceeded",
    "invalid", "repeated_id", "no_room_for_id",  "client_disconnected"};

void AddType(std::string& text, std::string_view name, std::string_view type) {
  text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

// `labels`: in braces, or empty.
void AddSample(std::string& text, std::string_view name, const std::string& labels, std::uint64_t value) {
  text.append(name).append(labels).append(" ").append(std::to_string(value)).append("\n");
}

std::string Label(std::string_view name, std::string_view value) {
  return "{" + std::string(name) + "=\"" + std::string(value) + "\"}";
}

}  // namespace

std::string RequestCounters::ToText(std::size_t in_flight, const MemoryBudget& budget) const {
  std::string text;
  AddType(text, "lb_requests_total", "counter");
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    AddSample(text, "lb_requests_total", Label("end", kRequestEndNames[i]), requests_[i]);
  }
  AddType(text, "lb_attempts_failed_total", "counter");
  for (std::size_t i = 0; i < attempts_.size(); ++i) {
    const auto progress = static_cast<ExchangeProgress>(i);
    AddSample(text, "lb_attempts_failed_total", Label("progress", ToString(progress)), attempts_[i]);
  }
  AddType(text, "lb_response_heads_forwarded_total", "counter");
  AddSample(text, "lb_response_heads_forwarded_total", "", forwarded_heads_);
  AddType(text, "lb_requests_in_flight", "gauge");
  AddSample(text, "lb_requests_in_flight", "", in_flight);
  AddType(text, "lb_message_memory_bytes", "gauge");
  AddSample(text, "lb_message_memory_bytes", "", budget.charged());
  AddType(text, "lb_message_memory_limit_bytes", "gauge");
  AddSample(text, "lb_message_memory_limit_bytes", "", budget.limit());
  return text;
}

}  // namespace lb::sidecar
