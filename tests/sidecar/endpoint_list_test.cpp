// Tests of parsing endpoint lists: which lists are rejected, and which entry and field the error names.
#include "sidecar/endpoint_list.h"

#include <functional>
#include <optional>
#include <string>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

using Kind = MembershipError::Kind;
using nlohmann::json;

json Entry(const std::string& uid) {
  return {{"uid", uid}, {"state", "active"}, {"endpoint", "127.0.0.1:1"}, {"boot_ms", 5}};
}

json List() { return {{"rev", 3}, {"all", true}, {"targets", {Entry("u1"), Entry("u2")}}}; }

class EndpointListForm : public ::testing::Test {
 protected:
  // The error for the valid list after `damage` has modified it; absent if the list is still accepted.
  std::optional<MembershipError> ErrorAfter(const std::function<void(json&)>& damage) const {
    json body = List();
    damage(body);
    try {
      ParseEndpointList(body, clock_);
    } catch (const MembershipError& e) {
      return e;
    }
    return std::nullopt;
  }

  const UnixClock clock_;
};

TEST_F(EndpointListForm, GivesTheSameUpstreamsToTheBalancerAndTheConnections) {
  const EndpointList list = ParseEndpointList(List(), clock_);

  EXPECT_EQ(list.revision, 3U);
  EXPECT_EQ(list.update.kind, MembershipUpdate::Kind::kFull);
  ASSERT_EQ(list.update.upstreams.size(), 2U);
  EXPECT_EQ(list.update.upstreams[1].id.value, "u2");
  EXPECT_EQ(list.update.upstreams[1].started, clock_.FromMilliseconds(5));
  EXPECT_EQ(list.locations.at("u2").endpoint.port(), 1U);
}

TEST_F(EndpointListForm, NamesTheFieldAndTheEntryOfAnError) {
  const auto bad_weight = ErrorAfter([](json& body) { body["targets"][1]["capacity_hint"] = -1; });
  ASSERT_TRUE(bad_weight);
  EXPECT_EQ(bad_weight->kind(), Kind::kOutOfRange);
  EXPECT_EQ(bad_weight->field(), "capacity_hint");
  EXPECT_EQ(bad_weight->entry(), 1U);

  const auto bad_type = ErrorAfter([](json& body) { body["targets"][0]["az"] = 7; });
  ASSERT_TRUE(bad_type);
  EXPECT_EQ(bad_type->kind(), Kind::kMalformed);
  EXPECT_EQ(bad_type->field(), "az");
  EXPECT_EQ(bad_type->entry(), 0U);

  const auto no_revision = ErrorAfter([](json& body) { body.erase("rev"); });
  ASSERT_TRUE(no_revision);
  EXPECT_EQ(no_revision->kind(), Kind::kMalformed);
  EXPECT_EQ(no_revision->field(), "rev");
  EXPECT_EQ(no_revision->entry(), std::nullopt);
}

TEST_F(EndpointListForm, TellsBadValuesFromDuplicates) {
  const auto state = ErrorAfter([](json& body) { body["targets"][0]["state"] = "asleep"; });
  const auto endpoint = ErrorAfter([](json& body) { body["targets"][0]["endpoint"] = "nowhere"; });
  const auto duplicate = ErrorAfter([](json& body) { body["targets"][1]["uid"] = "u1"; });

  EXPECT_EQ(state->kind(), Kind::kBadValue);
  EXPECT_STREQ(state->what(), "unknown state asleep");
  EXPECT_EQ(endpoint->kind(), Kind::kBadValue);
  EXPECT_STREQ(endpoint->what(), "bad endpoint 'nowhere' of u1");
  EXPECT_EQ(duplicate->kind(), Kind::kDuplicate);
  EXPECT_STREQ(duplicate->what(), "duplicate entries for u1");
}

TEST_F(EndpointListForm, RejectsInvalidJson) {
  EXPECT_THROW(ParseEndpointList(std::string("{"), clock_), MembershipError);
  EXPECT_THROW(ParseEndpointList(std::string("[]"), clock_), MembershipError);
}

TEST_F(EndpointListForm, NeedsNoAddressOfAnUpstreamThatLeft) {
  EXPECT_FALSE(ErrorAfter([](json& body) {
    body["targets"][0]["state"] = "left";
    body["targets"][0].erase("endpoint");
  }));
}

}  // namespace
}  // namespace lb::sidecar
