#include "tests/operator_steps.h"

namespace lb::sidecar::testing {

SidecarProcess::Options WithAdmin(const json& known, const std::string& tmpdir) {
  SidecarProcess::Options options = With(known);
  options.admin = "127.0.0.1:0";
  options.tmpdir = tmpdir;
  return options;
}

std::pair<int, int> RequestsServedBy(SidecarProcess& sidecar, const std::string& id_prefix, int requests) {
  Client client(sidecar.port());
  std::pair<int, int> served;
  for (int i = 0; i < requests; ++i) {
    const auto response = client.Get("/page/k", id_prefix + std::to_string(i));
    if (!response || response->result_int() != 200) continue;
    ++(response->body().starts_with("u1") ? served.first : served.second);
  }
  return served;
}

bool FirstUpstreamServesAgain(SidecarProcess& sidecar) {
  int round = 0;
  return Eventually([&] {
    const std::string id_prefix = "again" + std::to_string(round++) + "-";
    return RequestsServedBy(sidecar, id_prefix, 10).first > 0;
  });
}

bool HealthCheckBecomes(SidecarProcess& sidecar, unsigned status) {
  return Eventually([&] {
    Client health_checker(sidecar.port());
    health_checker.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto response = health_checker.Read();
    return response && response->result_int() == status;
  });
}

}  // namespace lb::sidecar::testing
