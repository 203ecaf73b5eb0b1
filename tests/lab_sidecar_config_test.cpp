// The sidecar's own reader has to accept the configuration that the lab writes, without loss of any setting.
#include <chrono>
#include <cstddef>
#include <fstream>
#include <tuple>

#include "gtest/gtest.h"
#include "lab/real/sidecar_config.h"
#include "settings/config.h"
#include "settings/settings_reader.h"
#include "tests/lab_stage.h"

namespace lb::lab {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// The structured bindings fail to compile when a struct gets a new field, as a reminder to write the field
// into the configuration as well.
auto Fields(const lb::RequestClass& value) {
  const auto& [a, b, c, d, e, f, g, h, i, j] = value;
  return std::make_tuple(a, b, c, d, e, f, g, h, i, j);
}
auto Fields(const lb::Tenant& value) {
  const auto& [a, b, c] = value;
  return std::make_tuple(a, b, c);
}
auto Fields(const lb::Limits& value) {
  const auto& [a, b, c, d, e, f, g, h, i] = value;
  return std::make_tuple(a, b, c, d, e, f, g, h, i);
}
auto Fields(const lb::FleetLimits& value) {
  const auto& [a, b, c, d, e, f, g] = value;
  return std::make_tuple(a, b, c, d, e, f, g);
}
auto Fields(const lb::DecisionCosts& value) {
  const auto& [a, b, c, d, e] = value;
  return std::make_tuple(a, b, c, d, e);
}
// Omits the parts that are structs themselves; their fields are compared separately.
auto Fields(const lb::Settings& value) {
  const auto& [classes, tenants, a, b, c, d, e, f, g, limits, fleet_limits, costs] = value;
  return std::make_tuple(a, b, c, d, e, f, g);
}

template <typename T>
void ExpectField(const T& written, const T& read, const T& default_value) {
  EXPECT_EQ(written, read);
  EXPECT_NE(written, default_value);
}

// Each field has to be read as it was written. The written value has to differ from the default, as otherwise
// an omitted field would go unnoticed.
template <typename T>
void ExpectSame(const T& written, const T& read) {
  const auto written_fields = Fields(written);
  const auto read_fields = Fields(read);
  const auto default_fields = Fields(T{});
  [&]<std::size_t... I>(std::index_sequence<I...>) {
    (ExpectField(std::get<I>(written_fields), std::get<I>(read_fields), std::get<I>(default_fields)), ...);
  }
  (std::make_index_sequence<std::tuple_size_v<decltype(written_fields)>>());
}

lb::Settings UnusualSettings() {
  using lb::Idempotency, lb::KeyScope;
  lb::Settings settings;
  settings.classes = {{"pay", milliseconds(80), 1.5, milliseconds(700), Idempotency::kIdempotencyKey,
                       KeyScope::kCell, milliseconds(2500), 3.5, 0.25, true},
                      {"read", milliseconds(40), 0.5, milliseconds(300), Idempotency::kIdempotent,
                       KeyScope::kZone, milliseconds(1), 2, 0.5, true}};
  settings.tenants = {{"large", 2.5, 40.5}, {"small", 0.5, 4}};
  settings.over_share_priority_weight = 0.125;
  settings.zone = "r2-z3";
  settings.sidecar_count = 12;
  settings.sidecar_index = 7;
  settings.polled_membership = settings.live_weights = settings.load_probes_report_load = true;
  settings.limits = {5, true, false, true, false, milliseconds(1500), milliseconds(120), milliseconds(9000),
                     4};
  settings.fleet_limits = {
      milliseconds(25),  milliseconds(7000), milliseconds(450), 0.3, milliseconds(11000), 3.5,
      milliseconds(1300)};
  settings.decision_costs = {0.01, 0.02, 0.03, 0.04, 0.05};
  return settings;
}

TEST(LabSidecarConfig, EverySettingSurvivesARoundTrip) {
  const lb::Settings written = UnusualSettings();
  const lb::Settings read = lb::ParseSettings(ToJson(written));
  ExpectSame(written, read);
  ExpectSame(written.limits, read.limits);
  ExpectSame(written.fleet_limits, read.fleet_limits);
  ExpectSame(written.decision_costs, read.decision_costs);
  ASSERT_EQ(read.classes.size(), 2U);
  ASSERT_EQ(read.tenants.size(), 2U);
  for (std::size_t i = 0; i < 2; ++i) {
    ExpectSame(written.classes[i], read.classes[i]);
    ExpectSame(written.tenants[i], read.tenants[i]);
  }
  lb::Settings plain;
  plain.classes = {{"send", milliseconds(80), 0, milliseconds(700)}};
  const lb::Settings plain_read = lb::ParseSettings(ToJson(plain));
  EXPECT_EQ(Fields(plain_read), Fields(plain));
  EXPECT_EQ(Fields(plain_read.classes.at(0)), Fields(plain.classes.at(0)));
}

TEST(LabSidecarConfig, TheSidecarReadsTheFileAndTheEnvironment) {
  const Folder folder;
  SidecarConfig config;
  config.name = "n3";
  config.listen = "127.0.0.1:4001";
  config.discovery = "127.0.0.1:4002";
  config.seed = 0x8c1f30d27a5be964;
  config.sockets = 300;
  config.known = {{"rev", 41}, {"all", true}, {"targets", json::array()}};
  config.settings = UnusualSettings();
  std::ofstream(folder / "n3.json") << ToJson(config);
  const auto environment = Environment(config, folder / "n3.json");
  const lb::Config read = lb::LoadConfig([&](const char* name) {
    const auto it = environment.find(name);
    return it == environment.end() ? nullptr : it->second.c_str();
  });
  EXPECT_EQ(read.name, "n3");
  EXPECT_EQ(read.listen.port(), 4001);
  EXPECT_EQ(read.discovery.port(), 4002);
  EXPECT_EQ(read.seed, config.seed);
  EXPECT_EQ(read.sockets, 300U);
  EXPECT_EQ(read.known, config.known);
  EXPECT_EQ(Fields(read.settings.limits), Fields(config.settings.limits));
}

}  // namespace
}  // namespace lb::lab
