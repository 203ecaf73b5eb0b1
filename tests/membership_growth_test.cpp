// What a long list of upstreams costs, and that keeping its sums and its order from change to change decides
// nothing otherwise.
#include <cstddef>
#include <cstdint>

#include "gtest/gtest.h"
#include "random_play.h"

namespace kestrellb::testing {
namespace {

// The hashes of all actions of plays 0, 1, 2, ..., recorded on the module that sorted, summed and numbered
// the whole list at each change. They are the same at -O0, -O2 and -O3 and under the sanitizers.
constexpr std::uint64_t kRecorded[] = {
    0x7935a96606a7bf4b, 0xd02743d37c6a0c4a, 0x3042b2d6eec68863, 0x941613687fc148b7, 0x8827fb3f388c3874,
    0x5d430a55f198af6d, 0xe093f86852f1a984, 0xb3fba0cf2c5ce82c, 0x7cf1bc114b2b09c0, 0xb437fac0b9e5eff4,
    0xfba95866024afe9d, 0x5b7aa543a51d4d15, 0xdaed18480c40959c, 0xaa5bb2036f3dbb20, 0xb2a44faf73c1d892,
    0x19c82a2f85ed46c1, 0xe748de45b5f6a527, 0x3c810967d8599898, 0x1446daf6ae2c2556, 0xaac6812e8d5ab5e3,
    0x7e22972f3624669e, 0x2c9d3b823eb41527, 0xf2746f9685f74b98, 0xa91c32024dd63b60, 0x6c94216614f4a2eb,
    0x5527b5d672a12973, 0x4efc1c1d0a3c09cf, 0x8013570ab91a98d3, 0x361349838c7edf26, 0xf39fa8718d9ffeff};

TEST(MembershipGrowth, RandomPlaysGiveTheActionsThatTheyGaveBefore) {
  std::size_t ejections = 0, sent = 0;
  for (std::uint64_t number = 0; number < std::size(kRecorded); ++number) {
    RandomPlay play(OptionsOf(number), number);
    EXPECT_EQ(play.Run(), kRecorded[number]) << "play " << number;
    EXPECT_EQ(play.broken(), 0U) << "play " << number;
    ejections += play.ejections();
    sent += play.sent();
  }
  EXPECT_GT(ejections, 100U);  // or the plays tell little
  EXPECT_GT(sent, 40000U);
}

}  // namespace
}  // namespace kestrellb::testing
