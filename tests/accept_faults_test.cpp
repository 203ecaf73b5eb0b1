// accept() that fails, in the real program: the fault is forced by a preloaded library (fault_injection.h).
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

// The program takes new connections for 0.8 s after SIGTERM, and for 0.5 s more where accepting fails just
// then.
constexpr auto kPastDrainAccepting = milliseconds(950);

struct AcceptRow {
  int error;
  bool loses;  // the connection that waited, as Linux has it
};

std::string AcceptName(const ::testing::TestParamInfo<AcceptRow>& row) {
  return ::strerrorname_np(row.param.error);
}

class FailingAccept : public SystemCallFaults, public ::testing::WithParamInterface<AcceptRow> {
 protected:
  Fault AcceptFault(std::uint16_t port, int times = -1) const {
    return {.call = SystemCall::kAccept,
            .error = GetParam().error,
            .loses_connection = GetParam().loses,
            .times = times,
            .on = Descriptor::kListening,
            .port = port};
  }
};

// Once: requests on open connections are answered at once, and so is who connects next, at either door.
TEST_P(FailingAccept, OnceDelaysNoRequest) {
  Start();
  for (const std::uint16_t port : {sidecar_->admin_port(), sidecar_->port()}) {
    const auto fault = faults_.Force(AcceptFault(port, 1));
    Client unlucky(port);
    ASSERT_TRUE(faults_.WaitUntilForced(fault));
    // One that rests may be closed where this process itself has no descriptor left.
    if (GetParam().error != EMFILE) {
      EXPECT_EQ(Ask(*client_, "open" + std::to_string(port)), 200u);
    }
    if (!GetParam().loses && port == sidecar_->port()) {
      EXPECT_EQ(Ask(unlucky, "waited"), 200u);
    }
  }
  Client next(sidecar_->port());
  EXPECT_EQ(Ask(next, "next"), 200u);
  EXPECT_NE(sidecar_->Status("GET", "/ready"), 0u);
}

// For a while: what is open is served, what waits is served behind it, and no core is spent on trying again.
TEST_P(FailingAccept, ForAWhileDelaysOnlyNewConnections) {
  Start();
  Fault lasting = AcceptFault(sidecar_->port());
  lasting.loses_connection = false;
  const auto fault = faults_.Force(lasting);
  Client waits(sidecar_->port());
  for (int i = 1; i <= 8; ++i) {
    ASSERT_TRUE(faults_.WaitUntilForced(fault, i));
    if (GetParam().error != EMFILE) {
      ASSERT_EQ(Ask(*client_, "open" + std::to_string(i)), 200u);
    }
  }
  faults_.Stop(fault);
  EXPECT_EQ(Ask(waits, "waits"), 200u);
  EXPECT_LT(faults_.forced(fault), 1000);
}

// A shortage is no reason to close what has something to say or to hear.
TEST_P(FailingAccept, ClosesNoConnectionInUse) {
  Gate gate;
  Start(1, [&gate](Wire& wire, const Request& request, int) {
    if (request.target() == "/page/held") gate.Pass();
    wire.Answer(200, "x");
  });
  ASSERT_TRUE(client_->Send(GetText("/page/held", "held", kDeadlineMs)));
  ASSERT_TRUE(Eventually([this] { return upstreams_[0]->requests().size() == 2; }));
  Fault lasting = AcceptFault(sidecar_->port());
  lasting.loses_connection = false;
  const auto fault = faults_.Force(lasting);
  Client waits(sidecar_->port());
  ASSERT_TRUE(faults_.WaitUntilForced(fault, 4));
  gate.Open();
  const auto answer = AnswerAtOnce(*client_);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->result_int(), 200u);
}

// The last look into the backlog meets it once: the rest of it is taken all the same, and the stop ends.
TEST_P(FailingAccept, OnceDoesNotDelayShutdown) {
  Start();
  Fault once = AcceptFault(sidecar_->port(), 1);
  once.loses_connection = false;
  const auto fault = faults_.Force(once);
  sidecar_->Signal(SIGTERM);
  ASSERT_TRUE(faults_.WaitUntilForced(fault));
  EXPECT_EQ(sidecar_->Wait(), 0);
}

// It lasts into the moment in which the backlog is emptied: what waits there is served once it is over.
TEST_P(FailingAccept, DuringShutdownExtendsAccepting) {
  Start();
  Fault lasting = AcceptFault(sidecar_->port());
  lasting.loses_connection = false;
  lasting.lasting = kPastDrainAccepting;
  const auto fault = faults_.Force(lasting);
  Client waits(sidecar_->port());
  ASSERT_TRUE(waits.Send(GetText("/page/waits", "waits", kDeadlineMs)));
  sidecar_->Signal(SIGTERM);
  ASSERT_TRUE(faults_.WaitUntilForced(fault, 2));
  const auto answer = AnswerAtOnce(waits);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->result_int(), 200u);
  EXPECT_EQ(sidecar_->Wait(), 0);
}

// One that never ends does not keep the process.
TEST_P(FailingAccept, ForeverDoesNotPreventShutdown) {
  Start();
  Fault lasting = AcceptFault(sidecar_->port());
  lasting.loses_connection = false;
  faults_.Force(lasting);
  Client waits(sidecar_->port());
  sidecar_->Signal(SIGTERM);
  EXPECT_EQ(sidecar_->Wait(), 0);
}

INSTANTIATE_TEST_SUITE_P(Errors, FailingAccept,
                         ::testing::Values(AcceptRow{ECONNABORTED, true}, AcceptRow{EPROTO, true},
                                           AcceptRow{ENETDOWN, true}, AcceptRow{EPERM, true},
                                           AcceptRow{EHOSTUNREACH, true}, AcceptRow{EINTR, false},
                                           AcceptRow{EMFILE, false}, AcceptRow{ENFILE, false},
                                           AcceptRow{ENOBUFS, false}, AcceptRow{ENOMEM, false}),
                         AcceptName);

}  // namespace
}  // namespace lb::sidecar::testing
