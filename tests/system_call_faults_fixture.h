// Fixture for tests of failing system calls: runs the real program with fault injection and upstreams that
// respond immediately.
#pragma once

#include <poll.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "tests/fault_injection.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {

// Time limit of a response that a fault must not delay: far longer than such a response takes, far shorter
// than the request's deadline kDeadlineMs.
inline constexpr int kResponseTimeLimitMs = 2000;
inline constexpr int kDeadlineMs = 20000;

// Returns the next response, or none if it does not start within kResponseTimeLimitMs.
inline std::optional<Response> ReadResponseInTime(Client& client) {
  pollfd ready{client.wire.socket.native_handle(), POLLIN, 0};
  if (::poll(&ready, 1, kResponseTimeLimitMs) <= 0) return std::nullopt;
  return client.Read();
}

// Sends a request with this id and returns the status of its response; 0 if there is none within
// kResponseTimeLimitMs.
inline unsigned RequestStatus(Client& client, const std::string& id) {
  if (!client.Send(GetText("/page/" + id, id, kDeadlineMs))) return 0;
  const auto answer = ReadResponseInTime(client);
  return answer ? answer->result_int() : 0;
}

// Runs the program with upstreams that respond immediately, and connects a client before any fault is
// injected.
class SystemCallFaults : public ::testing::Test {
 protected:
  void Start(int upstreams = 1, const Upstream::Handler& handler = nullptr, std::vector<json> known = {}) {
    for (int i = 0; i < upstreams; ++i) {
      const std::string name = "u" + std::to_string(i);
      upstreams_.push_back(std::make_unique<Upstream>(handler ? handler : Upstream::Echo(name)));
      known.push_back(Target(name, upstreams_.back()->address()));
    }
    // Times far longer than a busy machine needs, so that only the injected fault can make a test fail.
    json settings = Settings();
    for (json& cls : settings["Classes"]) cls["Aim"] = 10000000;
    settings["Limits"]["ConnectTimeout"] = 5000000;
    SidecarProcess::Options options = With(List(known), settings);
    options.environment = faults_.environment();
    options.admin = "127.0.0.1:0";
    options.tmpdir = folder_.path();
    sidecar_ = std::make_unique<SidecarProcess>(options);
    ASSERT_TRUE(sidecar_->Listening());
    client_ = std::make_unique<Client>(sidecar_->port());
    ASSERT_EQ(RequestStatus(*client_, "before"), 200u);
  }

  FaultInjector faults_;
  Folder folder_;
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::unique_ptr<SidecarProcess> sidecar_;
  std::unique_ptr<Client> client_;
};

}  // namespace lb::sidecar::testing
