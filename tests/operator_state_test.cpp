// The operator state store with a folder that fails, is deleted or contains incomplete files: first the store
// alone, then lb-sidecar with forced failures of its system calls.
#include "sidecar/operator_state.h"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "sidecar/hot_restart_messages.h"
#include "tests/operator_state_fixture.h"

namespace lb::sidecar::testing {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_F(OperatorStateTest, StoresAnyIdForTheNextProcess) {
  const std::string bytes("\0/\xff..\n", 6);
  for (const std::string& id :
       {std::string("u1"), bytes, std::string(120, 'x'), std::string(121, 'x'), std::string(4000, 'y')}) {
    Process first(path_), other(path_);
    first.store.Disable(id);
    EXPECT_EQ(first.store.StorageFault(), "");
    EXPECT_EQ(Files().size(), 1U) << "a temporary file is left";
    const auto size = fs::file_size(path_ + "/" + *Files().begin());
    EXPECT_EQ(size == 0, id.size() <= 120) << "short ids are stored in the file name, as in earlier releases";
    EXPECT_EQ(Process(path_).disabled(), Ids{id});
    EXPECT_TRUE(other.Eventually([&] { return other.disabled() == Ids{id}; }));
    other.store.Enable(id);
    EXPECT_TRUE(Files().empty());
    EXPECT_TRUE(first.Eventually([&] { return first.disabled().empty(); }));
  }
}

TEST_F(OperatorStateTest, IgnoresTemporaryAndForeignFiles) {
  WriteFile("out-7531");  // as written by an earlier release
  WriteFile("tmp-1-2-3", "out-7532");
  WriteFile("long-0123", "out-7533");
  WriteFile("out-7z");
  WriteFile("handover");
  const Process process(path_);
  EXPECT_EQ(process.disabled(), Ids{"u1"});
  EXPECT_NE(process.text.str().find("operator_state_foreign_file file=out-7z\n"), std::string::npos);
  EXPECT_NE(process.text.str().find("operator_state_foreign_file file=long-0123\n"), std::string::npos);
  EXPECT_EQ(process.text.str().find("tmp-"), std::string::npos);
}

TEST_F(OperatorStateTest, RetriesFailedWrites) {
  Process process(path_);
  process.store.Disable("before");
  process.store.StartDraining();
  BreakFolder();
  process.store.Disable("during");
  process.store.Enable("before");
  process.store.StopDraining();
  process.store.StartDraining();
  EXPECT_EQ(process.disabled(), Ids{"during"}) << "not in effect in this process";
  EXPECT_NE(process.store.StorageFault().find("not stored yet: 3 changes"), std::string::npos)
      << process.store.StorageFault();
  EXPECT_TRUE(process.Eventually(
      [&] { return process.text.str().find("operator_state_read_failed") != std::string::npos; }));
  EXPECT_EQ(process.disabled(), Ids{"during"}) << "a failed read changed the state";
  EXPECT_TRUE(process.store.state().draining);
  RepairFolder();
  ASSERT_TRUE(process.WaitUntilStored()) << process.store.StorageFault();
  const Process next(path_);
  EXPECT_EQ(next.disabled(), Ids{"during"}) << "a withdrawn override has come back";
  EXPECT_TRUE(next.store.state().draining);
}

TEST_F(OperatorStateTest, RestoresADeletedFolder) {
  Process process(path_);
  process.store.Disable("u1");
  process.store.Disable(std::string(300, 'x'));
  fs::remove_all(path_);
  EXPECT_TRUE(process.Eventually([&] { return fs::exists(path_) && Files().size() == 2; }));
  EXPECT_EQ(process.disabled().size(), 2U);
  EXPECT_EQ(Process(path_).disabled(), process.disabled());
}

// Two processes without a connection to each other. A command has to read the folder first: an override that
// the other process has just stored is not in the contents as last read, and the command would be ignored.
TEST_F(OperatorStateTest, RemovesWhatAnotherProcessJustStored) {
  Process first(path_), other(path_);
  first.store.Disable("u1");
  other.store.Enable("u1");
  EXPECT_TRUE(Files().empty());
  EXPECT_TRUE(first.Eventually([&] { return first.disabled().empty(); }));
  other.store.StartDraining();
  first.store.StopDraining();
  EXPECT_TRUE(Files().empty());
}

TEST_F(OperatorStateTest, KeepsOverridesInMemoryWithoutAFolder) {
  Process process("");
  EXPECT_EQ(process.store.StorageFault(), "");
  process.store.Disable("u1");
  EXPECT_EQ(process.disabled(), Ids{"u1"});
  EXPECT_NE(process.store.StorageFault().find("no folder"), std::string::npos);
}

// Overrides received from another process take precedence over the contents of the folder until the folder
// shows them, and this process stores them if the other one does not.
TEST_F(OperatorStateTest, PrefersTheOtherProcessOverTheFolder) {
  WriteFile("out-7531");
  WriteFile("drained");
  Process process(path_);
  for (const char* line : {"-out-7531", "+out-7532", "+drained"}) {
    const auto message = ParseLine(line);
    ASSERT_TRUE(message);
    const auto& sent_message = std::get<OverrideMessage>(*message);
    process.store.HandleOverrideFromNeighbour(sent_message.stored, sent_message.action);
  }
  EXPECT_EQ(process.disabled(), Ids{"u2"});
  const std::set<std::string> stored = {"out-7532", "drained"};
  EXPECT_TRUE(process.Eventually([&] { return Files() == stored; }))
      << "not stored in place of the other process";
  EXPECT_TRUE(process.sent_overrides.empty()) << "sent back to the process that it came from";
  process.store.Disable("u2");
  EXPECT_TRUE(process.sent_overrides.empty()) << "a repeated command was sent";
  process.store.Enable("u2");
  EXPECT_EQ(process.sent_overrides, (std::vector<std::pair<std::string, bool>>{{"out-7532", false}}));
  std::set<std::string> sent;
  BreakFolder();
  process.store.StopDraining();
  process.store.NotifyAll([&](const StoredOverride& operator_override, OverrideAction action) {
    sent.insert(ToLine({operator_override, action}));
  });
  EXPECT_EQ(sent, std::set<std::string>{"-drained\n"}) << "withdrawn but not removed from the folder";
}

TEST_F(OperatorStateTest, PlannedStopWaitsForTheFolderForALimitedTime) {
  Process process(path_);
  int callbacks = 0;
  process.store.Flush(seconds(60), [&] { ++callbacks; });
  EXPECT_EQ(callbacks, 1) << "not called though nothing is pending";
  BreakFolder();
  process.store.Disable("u1");
  process.store.Flush(seconds(60), [&] { ++callbacks; });
  EXPECT_EQ(callbacks, 1);
  RepairFolder();
  EXPECT_TRUE(process.Eventually([&] { return callbacks == 2; }));
  EXPECT_EQ(Process(path_).disabled(), Ids{"u1"});
  BreakFolder();
  process.store.Enable("u1");
  process.store.Flush(milliseconds(300), [&] { ++callbacks; });
  EXPECT_TRUE(process.Eventually([&] { return callbacks == 3; }));
  EXPECT_NE(process.text.str().find("operator_state_lost"), std::string::npos);
}

// ---- lb-sidecar ----

// Each system call that storing, reading or removing an override makes fails a few times in a row.

struct FolderFaultCase {
  const char* name;
  SystemCall call;
  int error;
  std::size_t at_most = 0;
};

void PrintTo(const FolderFaultCase& test_case, std::ostream* out) { *out << test_case.name; }

class OperatorStateFolderFaults : public OperatorStateFaults,
                                  public ::testing::WithParamInterface<FolderFaultCase> {};

TEST_P(OperatorStateFolderFaults, OverrideIsStoredAndRemovedNevertheless) {
  const auto& test_case = GetParam();
  auto sidecar = Start("127.0.0.1:0", true);
  ASSERT_TRUE(BecomesReady(*sidecar));
  int forced_faults = 0;
  for (const std::string& id : {std::string("u1"), kLongId}) {
    for (const std::string& call : {std::string("disable"), std::string("enable")}) {
      const auto fault = faults_.Force({.call = test_case.call,
                                        .error = test_case.error,
                                        .at_most = test_case.at_most,
                                        .times = 3,
                                        .on = Descriptor::kAny,
                                        .path = path_});
      std::string target = "/upstreams/";
      target.append(call).append("/").append(id);
      EXPECT_EQ(sidecar->Status("POST", target), 200U);
      const bool disables = call == "disable";
      EXPECT_TRUE(EventuallyLogs(*sidecar, std::string(disables ? "upstream_disabled" : "upstream_enabled") +
                                               " upstream=" + id + "\n"));
      EXPECT_TRUE(Eventually([&] { return SendCommand(*sidecar, "GET", "/ready") == "200 ready\n"; }))
          << sidecar->log();
      EXPECT_EQ(Process(path_).disabled(), disables ? Ids{id} : Ids{}) << call;
      // Calls that only read are certain to be made after a `long-HASH` file was stored: its contents are
      // read. The other cases need not hit the fault in each round, but in at least one (below).
      const bool reads = test_case.call == SystemCall::kRead || test_case.call >= SystemCall::kOpenFolder;
      EXPECT_TRUE(!(disables && reads && id == kLongId) || faults_.WaitUntilForced(fault));
      forced_faults += faults_.forced(fault);
      faults_.Stop(fault);
    }
  }
  EXPECT_GT(forced_faults, 0);
  EXPECT_TRUE(Eventually([&] { return Files() == std::set<std::string>{"handover"}; }))
      << "a temporary file is left";
}

INSTANTIATE_TEST_SUITE_P(Calls, OperatorStateFolderFaults,
                         ::testing::Values(FolderFaultCase{"OpenNoSpace", SystemCall::kOpen, ENOSPC},
                                           FolderFaultCase{"OpenIo", SystemCall::kOpen, EIO},
                                           FolderFaultCase{"OpenNoDescriptor", SystemCall::kOpen, EMFILE},
                                           FolderFaultCase{"OpenInterrupted", SystemCall::kOpen, EINTR},
                                           FolderFaultCase{"WriteNoSpace", SystemCall::kWrite, ENOSPC},
                                           FolderFaultCase{"WriteInterrupted", SystemCall::kWrite, EINTR},
                                           FolderFaultCase{"WriteShort", SystemCall::kWrite, 0, 3},
                                           FolderFaultCase{"ReadShort", SystemCall::kRead, 0, 3},
                                           FolderFaultCase{"ReadIo", SystemCall::kRead, EIO},
                                           FolderFaultCase{"SyncIo", SystemCall::kSync, EIO},
                                           FolderFaultCase{"SyncNoSpace", SystemCall::kSync, ENOSPC},
                                           FolderFaultCase{"SyncInterrupted", SystemCall::kSync, EINTR},
                                           FolderFaultCase{"RenameIo", SystemCall::kRename, EIO},
                                           FolderFaultCase{"RemoveIo", SystemCall::kRemove, EIO},
                                           FolderFaultCase{"RemoveReadOnly", SystemCall::kRemove, EROFS},
                                           FolderFaultCase{"OpenFolderIo", SystemCall::kOpenFolder, EIO},
                                           FolderFaultCase{"ReadFolderIo", SystemCall::kReadFolder, EIO}),
                         [](const auto& param_info) { return std::string(param_info.param.name); });

// The process is killed right after each system call of a command, before it has responded. The next process
// must find the override stored completely or not at all, and must be able to repeat the command.
struct KillCase {
  const char* name;
  SystemCall call;
  int skip;
  std::size_t at_most;
};

void PrintTo(const KillCase& test_case, std::ostream* out) { *out << test_case.name; }

class KillDuringAWrite : public OperatorStateFaults, public ::testing::WithParamInterface<KillCase> {};

TEST_P(KillDuringAWrite, LeavesAFolderThatTheNextProcessReads) {
  const auto& test_case = GetParam();
  {
    auto sidecar = Start("127.0.0.1:0", true);
    ASSERT_TRUE(BecomesReady(*sidecar));
    ASSERT_EQ(sidecar->Status("POST", "/upstreams/disable/u1"), 200U);
    faults_.Force({.call = test_case.call,
                   .at_most = test_case.at_most,
                   .kills_process = true,
                   .skip = test_case.skip,
                   .times = 1,
                   .path = path_ + "/"});
    sidecar->CallAdmin("POST", "/upstreams/disable/" + kLongId);
    EXPECT_EQ(sidecar->Wait(), 128 + SIGKILL);
  }
  auto next = Start();
  ASSERT_TRUE(BecomesReady(*next));
  EXPECT_TRUE(LogsDisabled(*next, "u1"));
  EXPECT_EQ(next->log().find("operator_state_foreign_file"), std::string::npos) << next->log();
  EXPECT_EQ(SendCommand(*next, "POST", "/upstreams/enable/u1"), "200 u1 is back\n");
  EXPECT_EQ(next->Status("POST", "/upstreams/disable/" + kLongId), 200U);
  EXPECT_EQ(Process(path_).disabled(), Ids{kLongId});
}

INSTANTIATE_TEST_SUITE_P(Calls, KillDuringAWrite,
                         ::testing::Values(KillCase{"Made", SystemCall::kOpen, 0, 0},
                                           KillCase{"HalfWritten", SystemCall::kWrite, 0, 7},
                                           KillCase{"Written", SystemCall::kWrite, 0, 0},
                                           KillCase{"Synced", SystemCall::kSync, 0, 0},
                                           KillCase{"Renamed", SystemCall::kRename, 0, 0}),
                         [](const auto& param_info) { return std::string(param_info.param.name); });

// A process that can neither remove an override from the folder nor store a new one sends both changes to the
// next process, which makes them in the folder. Otherwise a restart would bring the withdrawn override back.
TEST_F(OperatorStateFaults, RestartDoesNotBringBackARemovedOverride) {
  auto sidecar = Start("127.0.0.1:0", true);
  ASSERT_TRUE(BecomesReady(*sidecar));
  ASSERT_EQ(SendCommand(*sidecar, "POST", "/upstreams/disable/u1"), "200 u1 is out\n");
  for (const auto call : {SystemCall::kRemove, SystemCall::kRename, SystemCall::kSync, SystemCall::kOpen})
    faults_.Force({.call = call, .error = EIO, .path = path_});
  EXPECT_NE(SendCommand(*sidecar, "POST", "/upstreams/enable/u1")
                .find("not stored yet: 1 change (Input/output error)"),
            std::string::npos);
  EXPECT_EQ(sidecar->Status("POST", "/upstreams/disable/" + kLongId), 200U);
  ASSERT_TRUE(fs::exists(path_ + "/out-7531"));
  {
    auto next = Start("127.0.0.1:" + std::to_string(sidecar->port()));
    ASSERT_TRUE(BecomesReady(*next));
    EXPECT_TRUE(LogsDisabled(*next, kLongId));
    EXPECT_TRUE(EventuallyLogs(*next, "upstream_enabled upstream=u1\n"));
    sidecar->Signal(SIGKILL);
    sidecar->Wait();
    EXPECT_TRUE(Eventually([&] { return !fs::exists(path_ + "/out-7531"); }));
    EXPECT_TRUE(Eventually([&] { return Process(path_).disabled() == Ids{kLongId}; }));
    next->Signal(SIGKILL);
    next->Wait();
  }
  auto last = Start();
  EXPECT_TRUE(LogsDisabled(*last, kLongId));
  EXPECT_EQ(last->log().find("upstream_disabled upstream=u1"), std::string::npos);
}

// If the folder cannot be read at start-up, later reads are retried until one succeeds, and the state is
// applied then.
TEST_F(OperatorStateFaults, FolderUnreadableAtTheStartIsReadLater) {
  WriteFile("out-7531");
  const auto fault =
      faults_.Force({.call = SystemCall::kReadFolder, .error = EIO, .times = 8, .path = path_});
  auto sidecar = Start("127.0.0.1:0", true);
  EXPECT_TRUE(LogsDisabled(*sidecar, "u1"));
  EXPECT_EQ(faults_.forced(fault), 8);
  EXPECT_TRUE(EventuallyLogs(*sidecar, "operator_state_read_failed"));
  EXPECT_TRUE(EventuallyLogs(*sidecar, "operator_state_read_recovered"));
}

TEST_F(OperatorStateFaults, ReplyReportsUnstoredChanges) {
  auto sidecar = Start();
  ASSERT_TRUE(BecomesReady(*sidecar));
  EXPECT_EQ(SendCommand(*sidecar, "GET", "/ready"), "200 ready\n");
  BreakFolder();
  EXPECT_EQ(SendCommand(*sidecar, "POST", "/upstreams/disable/u1").find("200 u1 is out; not stored yet"), 0U);
  EXPECT_EQ(SendCommand(*sidecar, "GET", "/ready").find("200 ready; not stored yet: 1 change ("), 0U);
  EXPECT_TRUE(EventuallyLogs(*sidecar, "operator_state_write_failed"));
  RepairFolder();
  EXPECT_TRUE(Eventually([&] { return SendCommand(*sidecar, "GET", "/ready") == "200 ready\n"; }));
  sidecar->Signal(SIGKILL);
  sidecar->Wait();
  auto next = Start();
  EXPECT_EQ(SendCommand(*next, "POST", "/upstreams/disable/u1"), "200 u1 is out\n");
  EXPECT_TRUE(EventuallyLogs(*next, "upstream_disabled upstream=u1\n"));
}

}  // namespace
}  // namespace lb::sidecar::testing
