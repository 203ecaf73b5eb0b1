// Failures of accept() in the real program. A preloaded library forces the errors (fault_injection.h).
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <string>

#include "tests/system_call_faults_fixture.h"

namespace lb::sidecar::testing {
namespace {

using std::chrono::milliseconds;

// After SIGTERM the program accepts connections for 0.8 s, and for 0.5 s more if accepting fails at that
// moment. This lies between the two.
constexpr auto kPastAcceptWhileStopping = milliseconds(950);

struct AcceptCase {
  int error;
  bool drops_connection;  // whether the waiting connection is lost, as on Linux
};

std::string AcceptName(const ::testing::TestParamInfo<AcceptCase>& row) {
  return ::strerrorname_np(row.param.error);
}

class FailingAccept : public SystemCallFaults, public ::testing::WithParamInterface<AcceptCase> {
 protected:
  Fault AcceptFault(std::uint16_t port, int times = -1) const {
    return {.call = SystemCall::kAccept,
            .error = GetParam().error,
            .drops_connection = GetParam().drops_connection,
            .times = times,
            .on = Descriptor::kListening,
            .port = port};
  }
};

// A single failure: requests on open connections are answered without delay, and so is the next client to
// connect, both to the client port and to the admin port.
TEST_P(FailingAccept, OnceDelaysNoRequest) {
  Start();
  for (const std::uint16_t port : {sidecar_->admin_port(), sidecar_->port()}) {
    const auto fault = faults_.Force(AcceptFault(port, 1));
    Client delayed(port);
    ASSERT_TRUE(faults_.WaitUntilForced(fault));
    // An idle connection may be closed if this process itself has no descriptor left.
    if (GetParam().error != EMFILE) {
      EXPECT_EQ(RequestStatus(*client_, "open" + std::to_string(port)), 200u);
    }
    if (!GetParam().drops_connection && port == sidecar_->port()) {
      EXPECT_EQ(RequestStatus(delayed, "waited"), 200u);
    }
  }
  Client next(sidecar_->port());
  EXPECT_EQ(RequestStatus(next, "next"), 200u);
  EXPECT_NE(sidecar_->Status("GET", "/ready"), 0u);
}

// A lasting failure: open connections are served, waiting ones are served after it, and retrying accept()
// does not busy a CPU core.
TEST_P(FailingAccept, ForAWhileDelaysOnlyNewConnections) {
  Start();
  Fault persistent = AcceptFault(sidecar_->port());
  persistent.drops_connection = false;
  const auto fault = faults_.Force(persistent);
  Client waiting_client(sidecar_->port());
  for (int i = 1; i <= 8; ++i) {
    ASSERT_TRUE(faults_.WaitUntilForced(fault, i));
    if (GetParam().error != EMFILE) {
      ASSERT_EQ(RequestStatus(*client_, "open" + std::to_string(i)), 200u);
    }
  }
  faults_.Stop(fault);
  EXPECT_EQ(RequestStatus(waiting_client, "waits"), 200u);
  EXPECT_LT(faults_.forced(fault), 1000);
}

// Running out of descriptors must not close a connection that is in use.
TEST_P(FailingAccept, ClosesNoConnectionInUse) {
  Gate gate;
  Start(1, [&gate](Wire& wire, const Request& request, int) {
    if (request.target() == "/page/held") gate.Pass();
    wire.Answer(200, "x");
  });
  ASSERT_TRUE(client_->Send(GetText("/page/held", "held", kDeadlineMs)));
  ASSERT_TRUE(Eventually([this] { return upstreams_[0]->requests().size() == 2; }));
  Fault persistent = AcceptFault(sidecar_->port());
  persistent.drops_connection = false;
  const auto fault = faults_.Force(persistent);
  Client waiting_client(sidecar_->port());
  ASSERT_TRUE(faults_.WaitUntilForced(fault, 4));
  gate.Open();
  const auto answer = ReadResponseInTime(*client_);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->result_int(), 200u);
}

// The error occurs once, while the backlog is emptied at the end of the stop: the rest of the backlog is
// still accepted, and the stop ends.
TEST_P(FailingAccept, OnceDoesNotDelayShutdown) {
  Start();
  Fault once = AcceptFault(sidecar_->port(), 1);
  once.drops_connection = false;
  const auto fault = faults_.Force(once);
  sidecar_->Signal(SIGTERM);
  ASSERT_TRUE(faults_.WaitUntilForced(fault));
  EXPECT_EQ(sidecar_->Wait(), 0);
}

// The error persists until the backlog is emptied: connections in the backlog are served once it is over.
TEST_P(FailingAccept, DuringShutdownExtendsAccepting) {
  Start();
  Fault persistent = AcceptFault(sidecar_->port());
  persistent.drops_connection = false;
  persistent.duration = kPastAcceptWhileStopping;
  const auto fault = faults_.Force(persistent);
  Client waiting_client(sidecar_->port());
  ASSERT_TRUE(waiting_client.Send(GetText("/page/waits", "waits", kDeadlineMs)));
  sidecar_->Signal(SIGTERM);
  ASSERT_TRUE(faults_.WaitUntilForced(fault, 2));
  const auto answer = ReadResponseInTime(waiting_client);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->result_int(), 200u);
  EXPECT_EQ(sidecar_->Wait(), 0);
}

// An error that never ends does not keep the process running.
TEST_P(FailingAccept, ForeverDoesNotPreventShutdown) {
  Start();
  Fault persistent = AcceptFault(sidecar_->port());
  persistent.drops_connection = false;
  faults_.Force(persistent);
  Client waiting_client(sidecar_->port());
  sidecar_->Signal(SIGTERM);
  EXPECT_EQ(sidecar_->Wait(), 0);
}

INSTANTIATE_TEST_SUITE_P(Errors, FailingAccept,
                         ::testing::Values(AcceptCase{ECONNABORTED, true}, AcceptCase{EPROTO, true},
                                           AcceptCase{ENETDOWN, true}, AcceptCase{EPERM, true},
                                           AcceptCase{EHOSTUNREACH, true}, AcceptCase{EINTR, false},
                                           AcceptCase{EMFILE, false}, AcceptCase{ENFILE, false},
                                           AcceptCase{ENOBUFS, false}, AcceptCase{ENOMEM, false}),
                         AcceptName);

}  // namespace
}  // namespace lb::sidecar::testing
