#include "sidecar/request_counters.h"

#include <string>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

bool Contains(const std::string& text, const std::string& line) {
  return text.find(line + "\n") != std::string::npos;
}

TEST(RequestCounters, WritesEachCountOnALine) {
  RequestCounters counters;
  counters.Count(RequestEnd::kServed);
  counters.Count(RequestEnd::kServed);
  counters.Count(RequestEnd::kClientDisconnected);
  counters.CountFailedAttempt(ExchangeProgress::kAwaitingBody);
  counters.CountForwardedHead();

  const std::string text = counters.ToText(3, MemoryBudget(100));

  EXPECT_TRUE(Contains(text, "# TYPE lb_requests_total counter")) << text;
  EXPECT_TRUE(Contains(text, "lb_requests_total{end=\"served\"} 2")) << text;
  EXPECT_TRUE(Contains(text, "lb_requests_total{end=\"rejected\"} 0")) << text;
  EXPECT_TRUE(Contains(text, "lb_requests_total{end=\"client_disconnected\"} 1")) << text;
  EXPECT_TRUE(Contains(text, "lb_attempts_failed_total{progress=\"awaiting_body\"} 1")) << text;
  EXPECT_TRUE(Contains(text, "lb_response_heads_forwarded_total 1")) << text;
  EXPECT_TRUE(Contains(text, "lb_requests_in_flight 3")) << text;
  EXPECT_TRUE(Contains(text, "lb_message_memory_limit_bytes 100")) << text;
}

}  // namespace
}  // namespace lb::sidecar
