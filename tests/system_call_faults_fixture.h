// The real program with upstreams that answer at once, and system calls that a test makes fail.
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

// How long an answer may take that a fault must not hold up: far longer than it should, far shorter than the
// deadline of its request.
inline constexpr int kAtOnceMs = 2000;
inline constexpr int kDeadlineMs = 20000;

// An answer within kAtOnceMs; nothing where none came.
inline std::optional<Response> AnswerAtOnce(Client& client) {
  pollfd ready{client.wire.socket.native_handle(), POLLIN, 0};
  if (::poll(&ready, 1, kAtOnceMs) <= 0) return std::nullopt;
  return client.Read();
}

// The status of the response to a request of its own; 0 without one.
inline unsigned Ask(Client& client, const std::string& id) {
  if (!client.Send(GetText("/page/" + id, id, kDeadlineMs))) return 0;
  const auto answer = AnswerAtOnce(client);
  return answer ? answer->result_int() : 0;
}

// The program with upstreams that answer at once, and a client whose connection was open before any fault.
class SystemCallFaults : public ::testing::Test {
 protected:
  void Start(int upstreams = 1, const Upstream::Handler& handler = nullptr, std::vector<json> known = {}) {
    for (int i = 0; i < upstreams; ++i) {
      const std::string name = "u" + std::to_string(i);
      upstreams_.push_back(std::make_unique<Upstream>(handler ? handler : Upstream::Echo(name)));
      known.push_back(Target(name, upstreams_.back()->address()));
    }
    // Far from any time that a busy machine takes: what fails here is to fail by the fault alone.
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
    ASSERT_EQ(Ask(*client_, "before"), 200u);
  }

  FaultInjector faults_;
  Folder folder_;
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::unique_ptr<SidecarProcess> sidecar_;
  std::unique_ptr<Client> client_;
};

}  // namespace lb::sidecar::testing
