// Unit tests of the stored form of operator overrides and of hot restart messages. Both must stay as they
// were in the first release, because processes and files of different releases have to work together.
#include "sidecar/stored_override.h"

#include <set>
#include <string>
#include <variant>

#include "gtest/gtest.h"
#include "sidecar/hot_restart_messages.h"

namespace lb::sidecar {
namespace {

TEST(StoredOverride, HasTheFormOfTheFirstRelease) {
  EXPECT_EQ(ToStoredForm(StoredOverride::Draining()), "drained");
  EXPECT_EQ(ToStoredForm(StoredOverride::UpstreamDisabled("u1")), "out-7531");
  EXPECT_EQ(ToStoredForm(StoredOverride::UpstreamDisabled(std::string("\0\xff", 2))), "out-00ff");
}

TEST(StoredOverride, IsParsedForAnyBytesInTheId) {
  std::string all_bytes;
  for (int c = 0; c < 256; ++c) all_bytes.push_back(static_cast<char>(c));
  for (const auto& stored : {StoredOverride::Draining(), StoredOverride::UpstreamDisabled(all_bytes)}) {
    EXPECT_EQ(ParseStoredForm(ToStoredForm(stored)), stored);
  }
}

TEST(StoredOverride, IsNotParsedFromOtherTexts) {
  for (const char* text :
       {"", "drain", "drained ", "out-", "out-7", "out-7z", "out-7A", "long-7531", "handover"}) {
    EXPECT_EQ(ParseStoredForm(text), std::nullopt) << text;
  }
}

TEST(StoredOverride, IsTheFileContentsIfTooLongForAFileName) {
  const auto fits = StoredOverride::UpstreamDisabled(std::string(120, 'x'));
  const auto too_long = StoredOverride::UpstreamDisabled(std::string(121, 'x'));

  EXPECT_EQ(FileNameOf(fits), ToStoredForm(fits));
  EXPECT_EQ(FileContentsOf(fits), "");
  EXPECT_TRUE(IsLongFileName(FileNameOf(too_long)));
  EXPECT_EQ(FileNameOf(too_long).size(), 37U);
  EXPECT_EQ(FileContentsOf(too_long), ToStoredForm(too_long));
}

// Overrides are written to the folder and sent to other processes in this order.
TEST(StoredOverride, IsOrderedAsItsStoredForm) {
  const std::set<StoredOverride> overrides = {
      StoredOverride::UpstreamDisabled("\xff"), StoredOverride::UpstreamDisabled("a"),
      StoredOverride::UpstreamDisabled("ab"), StoredOverride::Draining()};

  std::string last;
  for (const auto& stored : overrides) {
    EXPECT_LT(last, ToStoredForm(stored));
    last = ToStoredForm(stored);
  }
}

TEST(HotRestartMessages, AreALineWithASign) {
  EXPECT_EQ(ToLine({StoredOverride::Draining(), OverrideAction::kSet}), "+drained\n");
  EXPECT_EQ(ToLine({StoredOverride::UpstreamDisabled("u1"), OverrideAction::kWithdraw}), "-out-7531\n");

  const auto parsed = ParseLine("-out-7531");
  ASSERT_TRUE(parsed);
  const auto& message = std::get<OverrideMessage>(*parsed);
  EXPECT_EQ(message.stored, StoredOverride::UpstreamDisabled("u1"));
  EXPECT_EQ(message.action, OverrideAction::kWithdraw);
}

TEST(HotRestartMessages, DistinguishUnknownOverridesFromOtherLines) {
  const auto unknown = ParseLine("+nonsense");
  ASSERT_TRUE(unknown);
  EXPECT_EQ(std::get<UnknownOverride>(*unknown).text, "nonsense");
  for (const char* line : {"", "+", "-", "drained", "=drained"}) {
    EXPECT_FALSE(ParseLine(line)) << line;
  }
}

}  // namespace
}  // namespace lb::sidecar
