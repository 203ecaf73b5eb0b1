// Tests of the emulated wall clock with a program that is started with it.
#include <chrono>
#include <filesystem>
#include <map>
#include <string>

#include "gtest/gtest.h"
#include "lab/real/process.h"
#include "lab/real/real_fleet.h"
#include "lab/real/wall_clock.h"

namespace lb::lab {
namespace {

using std::chrono::seconds;

// Returns the Unix time that a program reads when started with `environment`, minus the machine's, in
// seconds.
double SecondsAhead(const std::map<std::string, std::string>& environment, const std::string& folder) {
  ProcessOptions options;
  options.program = "/bin/date";
  options.arguments = {"+%s"};
  options.environment = environment;
  options.log_file = folder + "/date.log";
  std::filesystem::remove(options.log_file);
  Process date(options);
  date.Wait();
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::stod(date.Log()) - std::chrono::duration<double>(now).count();
}

TEST(WallClock, StepsInBothDirectionsForProgramsStartedWithIt) {
  const TemporaryFolder folder;
  WallClock clock(folder.path() + "/clock");
  EXPECT_NEAR(SecondsAhead(clock.Environment(), folder.path()), 0, 20);
  clock.Step(seconds(3600));
  EXPECT_NEAR(SecondsAhead(clock.Environment(), folder.path()), 3600, 20);
  clock.Step(seconds(-7200));
  EXPECT_NEAR(SecondsAhead(clock.Environment(), folder.path()), -3600, 20);
  EXPECT_NEAR(SecondsAhead({}, folder.path()), 0, 20);
}

}  // namespace
}  // namespace lb::lab
