// Fixtures for tests of several balancers together and of load reports.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tests/balancer_harness.h"

namespace lb::testing {

// `count` sidecars that share no state; each has its own seed.
inline std::vector<std::unique_ptr<BalancerHarness>> MakeFleet(int count,
                                                               const Settings& settings = DefaultSettings()) {
  std::vector<std::unique_ptr<BalancerHarness>> fleet;
  fleet.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    fleet.push_back(std::make_unique<BalancerHarness>(settings, 1000 + static_cast<std::uint64_t>(i)));
  return fleet;
}

// Default settings with load probes allowed, at a cost of 0.002 of a request's value.
inline Settings SettingsWithLoadReports() {
  Settings settings = DefaultSettings();
  settings.load_probes_report_load = settings.limits.load_probes_allowed = true;
  settings.decision_costs.probe = 0.002;
  return settings;
}

// Finishes the pending load probe of upstream `id` with a report of `in_flight` requests and, unless it is 0,
// a service rate of `rate` per second.
inline void ReportLoad(BalancerHarness& harness, const std::string& id, double in_flight, double rate = 0) {
  LoadReport load;
  load.in_flight = in_flight;
  load.rate = rate;
  harness.Handle(LoadProbeFinished{{id}, Outcome::kServed, 1ms, load});
}

}  // namespace lb::testing
