// Hot restart of lb-sidecar: passing the listening socket and exchanging overrides, also when system calls
// fail and when one of the processes ends or hangs at any step.
#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <string>
#include <vector>

#include "tests/operator_state_fixture.h"

namespace lb::sidecar::testing {
namespace {

namespace fs = std::filesystem;

TEST_F(OperatorStateFaults, CommandsToEitherProcessApplyToBoth) {
  auto sidecar = Start();
  ASSERT_TRUE(BecomesReady(*sidecar));
  ASSERT_EQ(SendCommand(*sidecar, "POST", "/upstreams/disable/u1"), "200 u1 is out\n");
  auto next = Start("127.0.0.1:" + std::to_string(sidecar->port()));
  ASSERT_TRUE(BecomesReady(*next));
  ASSERT_TRUE(EventuallyLogs(*next, "upstream_disabled upstream=u1\n"));
  ASSERT_EQ(SendCommand(*next, "POST", "/upstreams/enable/u1"), "200 u1 is back\n");
  EXPECT_TRUE(EventuallyLogs(*sidecar, "upstream_enabled upstream=u1\n"));
  EXPECT_FALSE(fs::exists(path_ + "/out-7531"));
  ASSERT_EQ(SendCommand(*sidecar, "POST", "/drain"), "200 clients are sent away\n");
  EXPECT_TRUE(Eventually([&] { return next->Status("GET", "/ready") == 503; }));
}

// SIGTERM reaches the next process before it serves, and then the previous process before the next one
// serves.
TEST_F(OperatorStateFaults, EitherProcessMayEndAtAnyStepOfAHotRestart) {
  auto sidecar = Start();
  ASSERT_TRUE(BecomesReady(*sidecar));
  const std::string listen = "127.0.0.1:" + std::to_string(sidecar->port());
  discovery_.Set(
      Discovery::ResponseMode::kSilent);  // without an endpoint list the next process does not serve yet
  {
    auto never_serving = Start(listen);
    ASSERT_TRUE(
        Eventually([&] { return sidecar->log().find("hot_restart_next_connected") != std::string::npos; }));
    never_serving->Signal(SIGTERM);
    EXPECT_EQ(never_serving->Wait(), 0);
  }
  EXPECT_TRUE(EventuallyLogs(*sidecar, "hot_restart_only_process"));
  Client client_of_previous(sidecar->port());
  EXPECT_TRUE(client_of_previous.Get("/page/k", "a"));
  auto next = Start(listen);
  ASSERT_TRUE(Eventually([&] {
    const auto text = sidecar->log();
    return text.find("hot_restart_next_connected", text.find("hot_restart_only_process")) !=
           std::string::npos;
  }));
  sidecar->Signal(SIGTERM);
  EXPECT_EQ(sidecar->Wait(), 0);
  Client client_of_next(next->port());  // served once the previous process has ended
  const auto response = client_of_next.Get("/page/k", "b");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
  next->Signal(SIGTERM);
  EXPECT_EQ(next->Wait(), 0);
}

struct FaultCase {
  const char* name;
  SystemCall call;
  int error;
  bool in_previous;  // whether the call fails in the previous process; else in the next one
};

void PrintTo(const FaultCase& fault_case, std::ostream* out) { *out << fault_case.name; }

class HotRestartFaults : public OperatorStateFaults, public ::testing::WithParamInterface<FaultCase> {};

TEST_P(HotRestartFaults, ListenerIsInheritedNevertheless) {
  const auto& fault_case = GetParam();
  auto sidecar = Start("127.0.0.1:0", fault_case.in_previous);
  ASSERT_TRUE(BecomesReady(*sidecar));
  const auto fault =
      faults_.Force({.call = fault_case.call,
                     .error = fault_case.error,
                     .times = 2,
                     .on = fault_case.call == SystemCall::kSocket ? Descriptor::kAny : Descriptor::kLocal});
  auto next = Start("127.0.0.1:" + std::to_string(sidecar->port()), !fault_case.in_previous);
  ASSERT_TRUE(BecomesReady(*next));
  EXPECT_TRUE(faults_.WaitUntilForced(fault, 2));
  EXPECT_EQ(next->log().find("hot_restart_inherit_failed"), std::string::npos) << next->log();
  EXPECT_TRUE(EventuallyLogs(*sidecar, "hot_restart_next_serves"));
}

INSTANTIATE_TEST_SUITE_P(
    Calls, HotRestartFaults,
    ::testing::Values(FaultCase{"AcceptInterrupted", SystemCall::kAccept, EINTR, true},
                      FaultCase{"AcceptAborted", SystemCall::kAccept, ECONNABORTED, true},
                      FaultCase{"AcceptNoMemory", SystemCall::kAccept, ENOMEM, true},
                      FaultCase{"AcceptNoDescriptor", SystemCall::kAccept, ENFILE, true},
                      FaultCase{"SendInterrupted", SystemCall::kWrite, EINTR, true},
                      FaultCase{"SendNoBuffer", SystemCall::kWrite, ENOBUFS, true},
                      FaultCase{"SocketNoDescriptor", SystemCall::kSocket, ENFILE, false},
                      FaultCase{"ConnectInterrupted", SystemCall::kConnect, EINTR, false},
                      FaultCase{"ConnectBacklogFull", SystemCall::kConnect, EAGAIN, false},
                      FaultCase{"ReceiveInterrupted", SystemCall::kRead, EINTR, false},
                      FaultCase{"ReceiveNoBuffer", SystemCall::kRead, ENOBUFS, false},
                      FaultCase{"PollInterrupted", SystemCall::kPoll, EINTR, false}),
    [](const auto& param_info) { return std::string(param_info.param.name); });

// Next processes that connect and hang, or connect and end, several times in a row: the running
// process still executes commands and passes its listener to a later next process.
TEST_F(OperatorStateFaults, NextProcessThatHangsIsTolerated) {
  auto sidecar = Start();
  ASSERT_TRUE(BecomesReady(*sidecar));
  boost::asio::io_context io;
  boost::asio::local::stream_protocol::socket hanging(io);
  for (int i = 0; i < 5; ++i) {
    hanging = boost::asio::local::stream_protocol::socket(io);
    hanging.connect(path_ + "/handover");
  }
  EXPECT_EQ(SendCommand(*sidecar, "POST", "/drain"), "200 clients are sent away\n");
  auto next = Start("127.0.0.1:" + std::to_string(sidecar->port()));
  EXPECT_TRUE(EventuallyLogs(*sidecar, "hot_restart_next_serves"));
}

// The previous process hangs and its backlog is full, so that connecting to it fails with EAGAIN: the next
// process must start without it.
TEST_F(OperatorStateFaults, PreviousProcessThatHangsIsNotWaitedForLong) {
  fs::create_directories(path_);
  boost::asio::io_context io;
  using Local = boost::asio::local::stream_protocol;
  Local::acceptor previous_acceptor(io);
  previous_acceptor.open();
  previous_acceptor.bind(path_ + "/handover");
  previous_acceptor.listen(0);
  std::vector<Local::socket> queued;
  for (boost::system::error_code error; !error;) {
    queued.emplace_back(io);
    queued.back().open();
    queued.back().non_blocking(true);
    queued.back().connect(path_ + "/handover", error);
  }
  auto sidecar = Start();
  EXPECT_TRUE(BecomesReady(*sidecar));
  EXPECT_TRUE(EventuallyLogs(*sidecar, "hot_restart_inherit_failed"));
}

std::string ProcessField(pid_t pid, const std::string& name) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(name)) return line.substr(name.size());
  return "";
}
bool Catches(pid_t pid, int signal) {
  const std::string mask = ProcessField(pid, "SigCgt:\t");
  return !mask.empty() && (std::stoull(mask, nullptr, 16) >> (signal - 1) & 1U) != 0;
}
bool Sleeps(pid_t pid) { return ProcessField(pid, "State:\t").starts_with("S"); }

// Signals interrupt the system calls in which the next process waits for the listener. It must continue to
// wait instead of starting with a listening socket of its own.
TEST_F(OperatorStateFaults, SignalsDoNotEndTheWaitForTheListener) {
  fs::create_directories(path_);
  auto sidecar = Start();
  ASSERT_TRUE(BecomesReady(*sidecar));
  sidecar->Pause();
  SidecarProcess::Options options = With(List({Target("u1", upstream_.address())}));
  options.admin = "127.0.0.1:0";
  options.tmpdir = folder_.path();
  options.listen = "127.0.0.1:" + std::to_string(sidecar->port());
  options.discovery = discovery_.address();
  SidecarProcess next(options);
  ASSERT_TRUE(Eventually([&] { return Catches(next.pid(), SIGHUP) && Sleeps(next.pid()); }));
  for (int i = 0; i < 5; ++i) next.Signal(SIGHUP);
  sidecar->Signal(SIGCONT);
  ASSERT_TRUE(next.Listening());
  EXPECT_EQ(next.log().find("hot_restart_inherit_failed"), std::string::npos) << next.log();
  EXPECT_TRUE(EventuallyLogs(*sidecar, "hot_restart_next_serves"));
}

}  // namespace
}  // namespace lb::sidecar::testing
