#include "balancer/log_lines.h"

#include <chrono>

#include "gtest/gtest.h"

namespace lb {
namespace {

TEST(LogLines, ContainAnEventAndItsFields) {
  EXPECT_EQ(UpstreamEjectedLine({"s-5be2"}, 5, std::chrono::seconds(60)),
            "upstream_ejected upstream=s-5be2 failures=5 duration_ms=60000");
  EXPECT_EQ(UpstreamReadmittedLine({"s-5be2"}, ReadmissionReason::kEjectionExpired),
            "upstream_readmitted upstream=s-5be2 reason=ejection_expired");
  EXPECT_EQ(SheddingStartedLine(SheddingReason::kNoUpstream), "shedding_started reason=no_upstream");
  EXPECT_EQ(SheddingStoppedLine(), "shedding_stopped");
}

TEST(LogLines, QuoteIdsWithSpecialCharacters) {
  EXPECT_EQ(UpstreamReadmittedLine({"a \"b\"\n"}, ReadmissionReason::kProbesSucceeded),
            "upstream_readmitted upstream=\"a \\\"b\\\" \" reason=probes_succeeded");
  EXPECT_EQ(UpstreamReadmittedLine({""}, ReadmissionReason::kProbesSucceeded),
            "upstream_readmitted upstream=\"\" reason=probes_succeeded");
}

}  // namespace
}  // namespace lb
