// Unit tests of parsing the admin interface's commands and of its replies.
#include "sidecar/admin_commands.h"

#include <string>
#include <variant>

#include "gtest/gtest.h"

namespace lb::sidecar {
namespace {

AdminCommand Parsed(http::verb method, const std::string& target) {
  const auto parsed = ParseAdminCommand(method, target);
  EXPECT_TRUE(std::holds_alternative<AdminCommand>(parsed)) << target;
  return std::get<AdminCommand>(parsed);
}

TEST(AdminCommands, TakeTheUpstreamIdFromTheTargetUndecoded) {
  const auto disable = Parsed(http::verb::post, "/upstreams/disable/s/1?x");
  const auto enable = Parsed(http::verb::post, "/upstreams/enable/s-2");

  EXPECT_EQ(std::get<DisableUpstream>(disable).upstream, "s/1?x");
  EXPECT_EQ(std::get<EnableUpstream>(enable).upstream, "s-2");
}

TEST(AdminCommands, CoverDrainingAndReadiness) {
  EXPECT_TRUE(std::holds_alternative<StartDraining>(Parsed(http::verb::post, "/drain")));
  EXPECT_TRUE(std::holds_alternative<StopDraining>(Parsed(http::verb::post, "/undrain")));
  EXPECT_TRUE(std::holds_alternative<QueryReadiness>(Parsed(http::verb::get, "/ready")));
}

TEST(AdminCommands, RejectUnknownTargetsForAnyMethod) {
  for (const char* target : {"/", "/readiness", "/drain/", "/upstreams/disable"}) {
    const auto parsed = ParseAdminCommand(http::verb::get, target);

    const auto response = ToHttpResponse(std::get<AdminCommandError>(parsed));
    EXPECT_EQ(response.result_int(), 404U) << target;
    EXPECT_EQ(response.body(), "no such call\n");
  }
}

TEST(AdminCommands, RejectTheWrongMethodAndNameTheRightOne) {
  const auto post = ToHttpResponse(
      std::get<AdminCommandError>(ParseAdminCommand(http::verb::get, "/upstreams/disable/u1")));
  const auto get = ToHttpResponse(std::get<AdminCommandError>(ParseAdminCommand(http::verb::post, "/ready")));

  EXPECT_EQ(post.result_int(), 405U);
  EXPECT_EQ(post.body(), "POST only\n");
  EXPECT_EQ(post[http::field::allow], "POST");
  EXPECT_EQ(get.body(), "GET only\n");
  EXPECT_EQ(get[http::field::allow], "GET");
}

TEST(AdminReplies, AppendTheStorageFault) {
  const auto stored = ToHttpResponse(AdminReply{AdminStatus::kDone, "u1 is out", ""});
  const auto not_stored =
      ToHttpResponse(AdminReply{AdminStatus::kNotReady, "not ready: drained", "not stored yet: 1 change"});

  EXPECT_EQ(stored.result_int(), 200U);
  EXPECT_EQ(stored.body(), "u1 is out\n");
  EXPECT_EQ(not_stored.result_int(), 503U);
  EXPECT_EQ(not_stored.body(), "not ready: drained; not stored yet: 1 change\n");
}

}  // namespace
}  // namespace lb::sidecar
