// Unit tests of the format of log lines and of the logger's rate limit.
#include "sidecar/log.h"

#include <algorithm>
#include <sstream>
#include <string>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

TEST(LogEvent, StartsWithItsNameFollowedByItsFieldsInOrder) {
  const std::string text = LogEvent("upstream_ejected")
                               .With("upstream", "s-5be2")
                               .With("failures", 5)
                               .With("duration_ms", 1000L)
                               .text();

  EXPECT_EQ(text, "upstream_ejected upstream=s-5be2 failures=5 duration_ms=1000");
}

TEST(LogEvent, QuotesValuesThatWouldBreakTheLine) {
  EXPECT_EQ(LogEvent("e").With("k", "two words").text(), "e k=\"two words\"");
  EXPECT_EQ(LogEvent("e").With("k", "a\"b\\c").text(), "e k=\"a\\\"b\\\\c\"");
  EXPECT_EQ(LogEvent("e").With("k", "a\nb").text(), "e k=\"a b\"");
  EXPECT_EQ(LogEvent("e").With("k", "").text(), "e k=\"\"");
}

TEST(Logger, TruncatesLongLinesAndStartsThemWithItsName) {
  std::ostringstream out;
  Logger log("s1", &out);

  log.Write(LogEvent("e").With("k", std::string(1000, 'x')));

  EXPECT_TRUE(out.str().starts_with("s1: e k=xxx"));
  EXPECT_LT(out.str().size(), 600U);
}

TEST(Logger, LimitsTheRateOfLines) {
  std::ostringstream out;
  Logger log("s1", &out);

  for (int i = 0; i < 1000; ++i) log.Write(LogEvent("e"));

  const std::string text = out.str();
  EXPECT_LT(std::count(text.begin(), text.end(), '\n'), 200);
}

}  // namespace
}  // namespace lb::sidecar
