// Tests of the configuration: at the start of the sidecar and when SIGHUP reloads it.
#include <algorithm>
#include <csignal>
#include <string>

#include "gtest/gtest.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

std::string ConfigWithDiscovery(const SidecarProcess& sidecar, const std::string& discovery) {
  json config = sidecar.config();
  config["discovery"] = discovery;
  return config.dump();
}

// Guards against three failures of a reload: SIGHUP ends the process, the revision of the old discovery
// service is used at the new one, or the backoff of the old service delays the first call to the new one.
TEST(ConfigurationReload, FollowsTheNewDiscoveryAddressEachTime) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  Discovery first(List({Target("u1", a.address())}));
  for (int i = 0; i < 5; ++i)
    first.Publish(List({Target("u1", a.address())}));  // a higher revision than the second service has
  Discovery second(List({Target("u2", b.address())}));
  SidecarProcess::Options options = With(nullptr);
  options.discovery = first.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  ASSERT_TRUE(BecomesServedBy(sidecar, "a /page/k"));
  sidecar.Reload(ConfigWithDiscovery(sidecar, second.address()));  // while a watch is open
  EXPECT_TRUE(BecomesServedBy(sidecar, "b /page/k"));
  first.Set(Discovery::ResponseMode::kClosesConnection);
  sidecar.Reload(ConfigWithDiscovery(sidecar, first.address()));
  ASSERT_TRUE(Eventually([&] { return sidecar.log().find("discovery_failed") != std::string::npos; }));
  EXPECT_TRUE(BecomesServedBy(sidecar, "b /page/k"));  // the previous list stays in force
  for (int i = 0; i < 3; ++i) sidecar.Reload(ConfigWithDiscovery(sidecar, second.address()));
  second.Publish(List({Target("u1", a.address())}));
  EXPECT_TRUE(BecomesServedBy(sidecar, "a /page/k"));
  sidecar.Signal(SIGTERM);
  sidecar.Reload(ConfigWithDiscovery(sidecar, first.address()));  // while draining
  EXPECT_EQ(sidecar.Wait(), 0);
}

TEST(ConfigurationReload, LogsAFaultAndKeepsTheOldConfiguration) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  Discovery discovery(List({Target("u1", a.address())}));
  SidecarProcess::Options options = With(nullptr);
  options.discovery = discovery.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  ASSERT_TRUE(BecomesServedBy(sidecar, "a /page/k"));
  json known = sidecar.config();
  known["known"] = {{"no", "list"}};
  json settings = sidecar.config();
  settings["settings"]["Classes"][0]["Aim"] = -1;
  for (const auto& text : {std::string("{"), ConfigWithDiscovery(sidecar, "nowhere"), known.dump(),
                           settings.dump(), std::string()}) {
    const auto faults = [&sidecar] {
      const std::string log = sidecar.log();
      int count = 0;
      for (auto at = log.find("configuration_rejected"); at != std::string::npos;
           at = log.find("configuration_rejected", at + 1))
        ++count;
      return count;
    };
    const int before = faults();
    sidecar.Reload(text);
    EXPECT_TRUE(Eventually([&] { return faults() > before; })) << text;
  }
  discovery.Publish(List({Target("u2", b.address())}));
  EXPECT_TRUE(BecomesServedBy(sidecar, "b /page/k"));
}

// The file can be replaced while a process runs, its environment cannot. So the file takes precedence, also
// after a restart.
TEST(ConfigurationReload, PrefersTheFileToTheEnvironment) {
  Upstream a(Upstream::Echo("a"));
  Discovery discovery(List({Target("u1", a.address())}));
  SidecarProcess::Options options = With(nullptr);
  options.discovery = "127.0.0.1:1";
  json config = SidecarProcess(options).config();
  config["discovery"] = discovery.address();
  options.config_text = config.dump();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  EXPECT_TRUE(BecomesServedBy(sidecar, "a /page/k"));
}

TEST(Startup, BindsTheSameAddressAtOnceAfterAKill) {
  Upstream upstream(Upstream::Echo("u"));
  std::uint16_t port = 0;
  {
    SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
    ASSERT_TRUE(sidecar.Listening());
    port = sidecar.port();
    Client client(port);
    ASSERT_TRUE(client.Get("/page/k", "a1"));
    sidecar.Signal(SIGKILL);
    EXPECT_EQ(sidecar.Wait(), 128 + SIGKILL);
  }
  SidecarProcess::Options options = With(List({Target("u1", upstream.address())}));
  options.listen = "127.0.0.1:" + std::to_string(port);
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  Client client(port);
  const auto response = client.Get("/page/k", "a1");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

// Clients connect when /up returns 200, so it must return 503 until an upstream is known.
TEST(Startup, ReportsUpOnceThereIsAnUpstream) {
  const auto up = [](SidecarProcess& sidecar) {
    Client client(sidecar.port());
    client.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto response = client.Read();
    return response ? response->result_int() : 0;
  };
  Upstream upstream(Upstream::Echo("u"));
  const json list = List({Target("u1", upstream.address())});
  SidecarProcess known(With(list));
  ASSERT_TRUE(known.Listening());
  EXPECT_EQ(up(known), 200U) << "discovery is down";
  Discovery discovery(json::array());
  SidecarProcess::Options options = With(json::array());
  options.discovery = discovery.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  ASSERT_TRUE(Eventually([&] { return discovery.calls() > 1; }));
  EXPECT_EQ(up(sidecar), 503U);
  discovery.Publish(list);
  EXPECT_TRUE(Eventually([&] { return up(sidecar) == 200U; }));
}

// Returns the log of a sidecar that must fail to start; checks the exit code and that the log is one line.
std::string FailedStartLog(const SidecarProcess::Options& options) {
  SidecarProcess sidecar(options);
  EXPECT_NE(sidecar.Wait(), 0);
  std::string log = sidecar.log();
  EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
  return log;
}

TEST(Startup, NamesTheFaultOfABadConfiguration) {
  const auto has = [](const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  };
  for (const char* name : {"LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"}) {
    SidecarProcess::Options options = With(nullptr);
    options.unset = {name};
    EXPECT_TRUE(has(FailedStartLog(options), name));
  }
  SidecarProcess::Options options = With(nullptr);
  options.listen = "nowhere";
  EXPECT_TRUE(has(FailedStartLog(options), "LB_LISTEN"));
  options = With(nullptr);
  options.discovery = "127.0.0.1:99999";
  EXPECT_TRUE(has(FailedStartLog(options), "LB_DISCOVERY"));
  options = With(nullptr);
  options.config_text = "{";
  EXPECT_TRUE(has(FailedStartLog(options), "LB_CONFIG"));
  options.config_text = R"({"limits":{"sockets":256},"settings":{}})";
  EXPECT_TRUE(has(FailedStartLog(options), "seed"));
  options.config_text = R"({"seed":"xyz","limits":{"sockets":256},"settings":{}})";
  EXPECT_TRUE(has(FailedStartLog(options), "seed"));
  options.config_text = R"({"seed":"1","settings":{}})";
  EXPECT_TRUE(has(FailedStartLog(options), "limits"));
  options.config_text = R"({"seed":"1","limits":{"sockets":"many"},"settings":{}})";
  EXPECT_TRUE(has(FailedStartLog(options), "sockets"));
  options.config_text = R"({"seed":"1","limits":{"sockets":256},"settings":{}})";
  EXPECT_TRUE(has(FailedStartLog(options), "Classes"));
  options = With(json{{"no", "list"}});
  EXPECT_TRUE(has(FailedStartLog(options), "known"));
  json settings = Settings();
  settings["Limits"]["MaxAttempts"] = 0;
  EXPECT_TRUE(has(FailedStartLog(With(nullptr, settings)), "max_attempts"));
  for (const json& invalid : {json("three"), json(-1), json(1.5)}) {
    settings["Limits"]["MaxAttempts"] = invalid;
    EXPECT_TRUE(has(FailedStartLog(With(nullptr, settings)), "MaxAttempts")) << invalid;
  }
  settings = Settings();
  settings["MembershipMode"] = "carrier pigeon";
  EXPECT_TRUE(has(FailedStartLog(With(nullptr, settings)), "MembershipMode"));
  settings = Settings();
  settings["Classes"][1]["Name"] = settings["Classes"][0]["Name"];
  EXPECT_TRUE(has(FailedStartLog(With(nullptr, settings)), "classes.name"));
  settings = Settings();
  settings["Classes"][0]["HardLimit"] = 9000000000000000000;
  EXPECT_TRUE(has(FailedStartLog(With(nullptr, settings)), "classes.deadline"));
}

TEST(Startup, NamesAnAddressInUse) {
  Peer peer([](Wire&, int) {});
  SidecarProcess::Options options = With(nullptr);
  options.listen = peer.address();
  EXPECT_NE(FailedStartLog(options).find(peer.address()), std::string::npos);
}

}  // namespace
}  // namespace lb::sidecar::testing
