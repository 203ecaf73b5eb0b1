// Reservation of request ids, at given times and in files of the test's own.
#include "sidecar/request_id_registry.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <fstream>
#include <string>

#include "gtest/gtest.h"
#include "tests/peers.h"

namespace lb::sidecar {
namespace {

using std::chrono::seconds;
using ClaimResult = RequestIdRegistry::ClaimResult;

constexpr TimePoint kStart{seconds(1000)};
constexpr std::size_t kSlots = 65536;
constexpr std::uint64_t kSeed = 7;

std::string Id(int number) { return "id-" + std::to_string(number); }

class RequestIdRegistryFile : public ::testing::Test {
 protected:
  testing::Folder folder_;
  const std::string path_ = folder_.path() + "/ids";
};

TEST(RequestIdRegistry, RejectsAReservedId) {
  RequestIdRegistry registry(kSlots, "", kSeed);

  EXPECT_EQ(registry.Claim("a", kStart), ClaimResult::kClaimed);
  EXPECT_EQ(registry.Claim("a", kStart + seconds(29)), ClaimResult::kRepeated);
  EXPECT_EQ(registry.Claim("b", kStart), ClaimResult::kClaimed);
}

TEST(RequestIdRegistry, ForgetsAnIdAfterItsRetention) {
  RequestIdRegistry registry(kSlots, "", kSeed);

  EXPECT_EQ(registry.Claim("a", kStart), ClaimResult::kClaimed);

  EXPECT_EQ(registry.Claim("a", kStart + RequestIdRegistry::kRetention + seconds(1)), ClaimResult::kClaimed);
}

TEST(RequestIdRegistry, RenewalStartsTheTimeAnew) {
  RequestIdRegistry registry(kSlots, "", kSeed);
  EXPECT_EQ(registry.Claim("a", kStart), ClaimResult::kClaimed);

  registry.Renew("a", kStart + seconds(20));

  EXPECT_EQ(registry.Claim("a", kStart + seconds(45)), ClaimResult::kRepeated);
}

TEST(RequestIdRegistry, ReleasedIdCanBeClaimedAgain) {
  RequestIdRegistry registry(kSlots, "", kSeed);
  EXPECT_EQ(registry.Claim("a", kStart), ClaimResult::kClaimed);

  registry.Release("a", kStart);

  EXPECT_EQ(registry.Claim("a", kStart), ClaimResult::kClaimed);
}

// Guards against forgetting an id because many others came, as long as there is room for them.
TEST(RequestIdRegistry, KeepsEachIdWhileHalfOfTheSlotsAreUsed) {
  RequestIdRegistry registry(kSlots, "", kSeed);
  constexpr int kIds = static_cast<int>(kSlots) / 2;

  for (int i = 0; i < kIds; ++i) ASSERT_EQ(registry.Claim(Id(i), kStart), ClaimResult::kClaimed) << i;

  for (int i = 0; i < kIds; ++i) ASSERT_EQ(registry.Claim(Id(i), kStart), ClaimResult::kRepeated) << i;
}

TEST(RequestIdRegistry, IsFullRatherThanForgettingARecentId) {
  RequestIdRegistry registry(RequestIdRegistry::kMinSlots, "", kSeed);
  ASSERT_EQ(registry.Claim("first", kStart), ClaimResult::kClaimed);

  bool was_full = false;
  for (int i = 0; i < 1000; ++i) was_full |= registry.Claim(Id(i), kStart) == ClaimResult::kFull;

  EXPECT_TRUE(was_full);
  EXPECT_EQ(registry.Claim("first", kStart + seconds(4)), ClaimResult::kRepeated);
}

TEST(RequestIdRegistry, OldIdsGiveWayIfItIsFull) {
  RequestIdRegistry registry(RequestIdRegistry::kMinSlots, "", kSeed);
  for (int i = 0; i < 1000; ++i) static_cast<void>(registry.Claim(Id(i), kStart));

  EXPECT_EQ(registry.Claim("new", kStart + RequestIdRegistry::kMinRetention + seconds(1)),
            ClaimResult::kClaimed);
}

TEST_F(RequestIdRegistryFile, IsSharedByTwoProcesses) {
  RequestIdRegistry previous(kSlots, path_, kSeed);
  RequestIdRegistry next(kSlots, path_, kSeed);

  EXPECT_TRUE(previous.is_shared());
  EXPECT_TRUE(next.is_shared());
  EXPECT_EQ(previous.Claim("a", kStart), ClaimResult::kClaimed);
  EXPECT_EQ(next.Claim("a", kStart), ClaimResult::kRepeated);
  EXPECT_EQ(next.Claim("b", kStart), ClaimResult::kClaimed);
  EXPECT_EQ(previous.Claim("b", kStart), ClaimResult::kRepeated);
}

TEST_F(RequestIdRegistryFile, OutlivesItsProcess) {
  {
    RequestIdRegistry previous(kSlots, path_, kSeed);
    EXPECT_EQ(previous.Claim("a", kStart), ClaimResult::kClaimed);
  }
  RequestIdRegistry next(kSlots / 2, path_, kSeed);

  EXPECT_EQ(next.Claim("a", kStart), ClaimResult::kRepeated);
}

TEST_F(RequestIdRegistryFile, IsReplacedIfItsFormatIsUnknown) {
  std::ofstream(path_) << std::string(100, 'x');

  RequestIdRegistry registry(kSlots, path_, kSeed);

  EXPECT_TRUE(registry.is_shared());
  EXPECT_EQ(registry.Claim("a", kStart), ClaimResult::kClaimed);
}

TEST_F(RequestIdRegistryFile, IsNotNeeded) {
  RequestIdRegistry registry(kSlots, folder_.path() + "/missing/ids", kSeed);

  EXPECT_FALSE(registry.is_shared());
  EXPECT_EQ(registry.Claim("a", kStart), ClaimResult::kClaimed);
  EXPECT_EQ(registry.Claim("a", kStart), ClaimResult::kRepeated);
}

}  // namespace
}  // namespace lb::sidecar
