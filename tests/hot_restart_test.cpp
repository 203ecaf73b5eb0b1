// The hand-over of the listening socket: what either process is told counts for both, whichever calls fail,
// and wherever one of them ends or stands still.
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
  ASSERT_TRUE(Ready(*sidecar));
  ASSERT_EQ(Says(*sidecar, "POST", "/upstreams/disable/u1"), "200 u1 is out\n");
  auto next = Start("127.0.0.1:" + std::to_string(sidecar->port()));
  ASSERT_TRUE(Ready(*next));
  ASSERT_TRUE(Logs(*next, "upstream_disabled upstream=u1\n"));
  ASSERT_EQ(Says(*next, "POST", "/upstreams/enable/u1"), "200 u1 is back\n");
  EXPECT_TRUE(Logs(*sidecar, "upstream_enabled upstream=u1\n"));
  EXPECT_FALSE(fs::exists(path_ + "/out-7531"));
  ASSERT_EQ(Says(*sidecar, "POST", "/drain"), "200 clients are sent away\n");
  EXPECT_TRUE(Eventually([&] { return next->Status("GET", "/ready") == 503; }));
}

// SIGTERM at each step: of the later process before it serves, of the earlier one before the later serves.
TEST_F(OperatorStateFaults, EitherProcessMayEndAtAnyStepOfAHotRestart) {
  auto sidecar = Start();
  ASSERT_TRUE(Ready(*sidecar));
  const std::string listen = "127.0.0.1:" + std::to_string(sidecar->port());
  discovery_.Set(Discovery::Mood::kSilent);  // the next one does not serve yet
  {
    auto never = Start(listen);
    ASSERT_TRUE(
        Eventually([&] { return sidecar->log().find("hot_restart_next_connected") != std::string::npos; }));
    never->Signal(SIGTERM);
    EXPECT_EQ(never->Wait(), 0);
  }
  EXPECT_TRUE(Logs(*sidecar, "hot_restart_only_process"));
  Client still(sidecar->port());
  EXPECT_TRUE(still.Get("/page/k", "a"));
  auto next = Start(listen);
  ASSERT_TRUE(Eventually([&] {
    const auto text = sidecar->log();
    return text.find("hot_restart_next_connected", text.find("hot_restart_only_process")) !=
           std::string::npos;
  }));
  sidecar->Signal(SIGTERM);
  EXPECT_EQ(sidecar->Wait(), 0);
  Client client(next->port());  // served once the process before has gone
  const auto answer = client.Get("/page/k", "b");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(), 200U);
  next->Signal(SIGTERM);
  EXPECT_EQ(next->Wait(), 0);
}

struct HandOverRow {
  const char* name;
  SystemCall call;
  int error;
  bool earlier;  // it meets the earlier process, else the later
};

void PrintTo(const HandOverRow& row, std::ostream* out) { *out << row.name; }

class HotRestartFaults : public OperatorStateFaults, public ::testing::WithParamInterface<HandOverRow> {};

TEST_P(HotRestartFaults, ListenerIsInheritedAllTheSame) {
  const auto& row = GetParam();
  auto sidecar = Start("127.0.0.1:0", row.earlier);
  ASSERT_TRUE(Ready(*sidecar));
  const auto fault =
      faults_.Force({.call = row.call,
                     .error = row.error,
                     .times = 2,
                     .on = row.call == SystemCall::kSocket ? Descriptor::kAny : Descriptor::kLocal});
  auto next = Start("127.0.0.1:" + std::to_string(sidecar->port()), !row.earlier);
  ASSERT_TRUE(Ready(*next));
  EXPECT_TRUE(faults_.WaitUntilForced(fault, 2));
  EXPECT_EQ(next->log().find("hot_restart_inherit_failed"), std::string::npos) << next->log();
  EXPECT_TRUE(Logs(*sidecar, "hot_restart_next_serves"));
}

INSTANTIATE_TEST_SUITE_P(
    Calls, HotRestartFaults,
    ::testing::Values(HandOverRow{"AcceptInterrupted", SystemCall::kAccept, EINTR, true},
                      HandOverRow{"AcceptAborted", SystemCall::kAccept, ECONNABORTED, true},
                      HandOverRow{"AcceptNoMemory", SystemCall::kAccept, ENOMEM, true},
                      HandOverRow{"AcceptNoDescriptor", SystemCall::kAccept, ENFILE, true},
                      HandOverRow{"SendInterrupted", SystemCall::kWrite, EINTR, true},
                      HandOverRow{"SendNoBuffer", SystemCall::kWrite, ENOBUFS, true},
                      HandOverRow{"SocketNoDescriptor", SystemCall::kSocket, ENFILE, false},
                      HandOverRow{"ConnectInterrupted", SystemCall::kConnect, EINTR, false},
                      HandOverRow{"ConnectBacklogFull", SystemCall::kConnect, EAGAIN, false},
                      HandOverRow{"ReceiveInterrupted", SystemCall::kRead, EINTR, false},
                      HandOverRow{"ReceiveNoBuffer", SystemCall::kRead, ENOBUFS, false},
                      HandOverRow{"PollInterrupted", SystemCall::kPoll, EINTR, false}),
    [](const auto& row) { return std::string(row.param.name); });

// One that connects and then stands still holds nobody up; nor does one that connects and goes, many times.
TEST_F(OperatorStateFaults, NextProcessThatHangsIsTolerated) {
  auto sidecar = Start();
  ASSERT_TRUE(Ready(*sidecar));
  boost::asio::io_context io;
  boost::asio::local::stream_protocol::socket hanging(io);
  for (int i = 0; i < 5; ++i) {
    hanging = boost::asio::local::stream_protocol::socket(io);
    hanging.connect(path_ + "/handover");
  }
  EXPECT_EQ(Says(*sidecar, "POST", "/drain"), "200 clients are sent away\n");
  auto next = Start("127.0.0.1:" + std::to_string(sidecar->port()));
  EXPECT_TRUE(Logs(*sidecar, "hot_restart_next_serves"));
}

// The process before stands still with its backlog full: the next one goes on without it.
TEST_F(OperatorStateFaults, PreviousProcessThatHangsIsNotWaitedForLong) {
  fs::create_directories(path_);
  boost::asio::io_context io;
  using Local = boost::asio::local::stream_protocol;
  Local::acceptor before(io);
  before.open();
  before.bind(path_ + "/handover");
  before.listen(0);
  std::vector<Local::socket> waiting;
  for (boost::system::error_code error; !error;) {
    waiting.emplace_back(io);
    waiting.back().open();
    waiting.back().non_blocking(true);
    waiting.back().connect(path_ + "/handover", error);
  }
  auto sidecar = Start();
  EXPECT_TRUE(Ready(*sidecar));
  EXPECT_TRUE(Logs(*sidecar, "hot_restart_inherit_failed"));
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

// A signal that comes while the next process waits for the socket must not make it go on without.
TEST_F(OperatorStateFaults, SignalsDoNotEndTheWaitForTheListener) {
  fs::create_directories(path_);
  auto sidecar = Start();
  ASSERT_TRUE(Ready(*sidecar));
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
  EXPECT_TRUE(Logs(*sidecar, "hot_restart_next_serves"));
}

}  // namespace
}  // namespace lb::sidecar::testing
