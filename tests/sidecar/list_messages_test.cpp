// The endpoint list that the previous process of a hot restart passes to the next one.
#include "sidecar/list_messages.h"

#include <optional>
#include <sstream>
#include <string>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

using nlohmann::json;

class ListMessagesTest : public ::testing::Test {
 protected:
  EndpointList Parse(int revision, bool is_whole, const json& targets) const {
    return ParseEndpointList(json{{"rev", revision}, {"all", is_whole}, {"targets", targets}}, clock_);
  }
  // Passes `text` to the receiver and returns the last complete list.
  std::optional<EndpointList> Receive(const std::string& text) {
    std::optional<EndpointList> received;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
      if (auto list = receiver_.HandleLine(line)) received = std::move(list);
    }
    return received;
  }

  const json drained_ = {
      {"uid", "u \"1\""}, {"endpoint", "10.0.0.1:80"}, {"az", "a"},       {"model", "m"},
      {"pod_group", 3},   {"state", "leaving"},        {"boot_ms", 7000}, {"capacity_hint", 1.5}};
  const json serving_ = {{"uid", "u2"}, {"endpoint", "10.0.0.2:80"}, {"state", "active"}};
  const UnixClock clock_;
  ListReceiver receiver_{clock_};
};

TEST_F(ListMessagesTest, ReceivedListIsTheHeldOne) {
  HeldEndpointList held;
  const EndpointList list = Parse(41, true, {drained_, serving_});
  held.Apply(list);

  const auto received = Receive("+p75\n" + ToListMessages(held) + "-p75\n");

  ASSERT_TRUE(received);
  EXPECT_EQ(received->revision, 41U);
  EXPECT_EQ(received->update.kind, MembershipUpdate::Kind::kRestored);
  ASSERT_EQ(received->update.upstreams.size(), 2U);
  const UpstreamInfo& drained = received->update.upstreams[0];
  const UpstreamInfo& expected = list.update.upstreams[0];
  EXPECT_EQ(drained.id.value, expected.id.value);
  EXPECT_EQ(drained.zone, "a");
  EXPECT_EQ(drained.kind, "m");
  EXPECT_EQ(drained.cell, 3);
  EXPECT_EQ(drained.weight, 1.5);
  EXPECT_EQ(drained.state, UpstreamState::kDraining);
  EXPECT_EQ(drained.started, expected.started);
  EXPECT_EQ(received->locations.at("u2").endpoint, list.locations.at("u2").endpoint);
}

TEST_F(ListMessagesTest, HeldListFollowsChanges) {
  json gone = serving_;
  gone["state"] = "left";
  HeldEndpointList held;
  held.Apply(Parse(41, true, {drained_, serving_}));
  held.Apply(Parse(42, false, json::array({gone})));

  const auto received = Receive(ToListMessages(held));

  ASSERT_TRUE(received);
  EXPECT_EQ(received->revision, 42U);
  EXPECT_EQ(received->locations.size(), 1U);
  EXPECT_FALSE(received->locations.contains("u2"));
}

// The previous process may end at any byte.
TEST_F(ListMessagesTest, ListThatBreaksOffIsNoList) {
  HeldEndpointList held;
  held.Apply(Parse(41, true, {drained_, serving_}));
  const std::string messages = ToListMessages(held);

  for (std::size_t size = 0; size + 1 < messages.size(); ++size) {
    const std::string part = messages.substr(0, size);
    const std::string lines = part.substr(0, part.rfind('\n') + 1);
    EXPECT_FALSE(Receive(lines)) << size;
  }
  EXPECT_TRUE(Receive(messages)) << "a new list may begin after one that broke off";
}

TEST_F(ListMessagesTest, MalformedListIsRejectedAndTheNextOneReceived) {
  HeldEndpointList held;
  held.Apply(Parse(41, true, json::array({serving_})));
  const std::string entry = "upstream " + serving_.dump() + "\n";
  std::string same_entry_twice = entry;
  same_entry_twice += entry;
  for (const std::string& bad :
       {std::string("list\n"), std::string("list 1\n"), std::string("list 2 41 1\n"), "list 1 41 2\n" + entry,
        "list 1 41 2\n" + same_entry_twice, std::string("list 1 41 1\nupstream {\"uid\":\"u2\"\n"),
        std::string("list 1 41 1\nupstream {\"uid\":\"u2\",\"state\":\"asleep\"}\n"),
        std::string("list 1 41 1\nupstream []\n"), std::string("list 1 -3 1\n"),
        std::string("list 1 41 99999999999999999999999\n")}) {
    std::optional<EndpointList> received;
    try {
      received = Receive(std::string(bad).append("list-end\n"));
    } catch (const MembershipError&) {
    }
    EXPECT_FALSE(received) << bad;
    EXPECT_TRUE(Receive(ToListMessages(held))) << bad;
  }
}

}  // namespace
}  // namespace lb::sidecar
