// Parsing of load reports, in the formats that upstreams send.
#include "sidecar/load_report.h"

#include <string>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

bool IsEmpty(const LoadReport& report) {
  return !report.in_flight && !report.queued && !report.utilization && !report.rate;
}

TEST(LoadReport, ReadsTheNamesOfTheProtocolAndOfTheSettings) {
  for (const std::string text :
       {"inflight=7,queue=2,util=0.61,qps=30", "rif=7, q=2 ,busy=0.61,rate=30\r\n"}) {
    const LoadReport report = ParseLoadReport(text);

    EXPECT_EQ(report.in_flight, 7) << text;
    EXPECT_EQ(report.queued, 2) << text;
    EXPECT_EQ(report.utilization, 0.61) << text;
    EXPECT_EQ(report.rate, 30) << text;
  }
}

TEST(LoadReport, IgnoresUnknownNamesAndFieldsWithoutAValue) {
  const LoadReport report = ParseLoadReport("cores=4,hello,,inflight=1");

  EXPECT_EQ(report.in_flight, 1);
  EXPECT_FALSE(report.queued);
}

TEST(LoadReport, IsEmptyIfAnyValueIsNotANumberInRange) {
  for (const std::string value : {"", "x", "1x", "-1", "nan", "inf", "1000001"}) {
    const LoadReport report = ParseLoadReport("inflight=7,queue=" + value);

    EXPECT_TRUE(IsEmpty(report)) << value;
  }
}

TEST(LoadReport, IsEmptyWithoutText) { EXPECT_TRUE(IsEmpty(ParseLoadReport(""))); }

}  // namespace
}  // namespace lb::sidecar
