// What operators said, kept in a folder that fails, vanishes or holds half-made files.
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
    EXPECT_EQ(Files().size(), 1U) << "nothing half-made stays";
    const auto size = fs::file_size(path_ + "/" + *Files().begin());
    EXPECT_EQ(size == 0, id.size() <= 120) << "as earlier versions have it, where it fits";
    EXPECT_EQ(Process(path_).disabled(), Ids{id});
    EXPECT_TRUE(other.Eventually([&] { return other.disabled() == Ids{id}; }));
    other.store.Enable(id);
    EXPECT_TRUE(Files().empty());
    EXPECT_TRUE(first.Eventually([&] { return first.disabled().empty(); }));
  }
}

TEST_F(OperatorStateTest, IgnoresTemporaryAndForeignFiles) {
  Touch("out-7531");  // of an earlier version
  Touch("tmp-1-2-3", "out-7532");
  Touch("long-0123", "out-7533");
  Touch("out-7z");
  Touch("handover");
  const Process process(path_);
  EXPECT_EQ(process.disabled(), Ids{"u1"});
  EXPECT_NE(process.text.str().find("operator_state_foreign_file file=out-7z\n"), std::string::npos);
  EXPECT_NE(process.text.str().find("operator_state_foreign_file file=long-0123\n"), std::string::npos);
  EXPECT_EQ(process.text.str().find("tmp-"), std::string::npos);
}

TEST_F(OperatorStateTest, StoresLaterWhatTheFolderRefused) {
  Process process(path_);
  process.store.Disable("before");
  process.store.StartDraining();
  Break();
  process.store.Disable("during");
  process.store.Enable("before");
  process.store.StopDraining();
  process.store.StartDraining();
  EXPECT_EQ(process.disabled(), Ids{"during"}) << "it holds here all the same";
  EXPECT_NE(process.store.StorageFault().find("not stored yet: 3 changes"), std::string::npos)
      << process.store.StorageFault();
  EXPECT_TRUE(process.Eventually(
      [&] { return process.text.str().find("operator_state_read_failed") != std::string::npos; }));
  EXPECT_EQ(process.disabled(), Ids{"during"}) << "a failed look changes nothing";
  EXPECT_TRUE(process.store.state().draining);
  Mend();
  ASSERT_TRUE(process.Stores()) << process.store.StorageFault();
  const Process next(path_);
  EXPECT_EQ(next.disabled(), Ids{"during"}) << "what was withdrawn does not come back";
  EXPECT_TRUE(next.store.state().draining);
}

TEST_F(OperatorStateTest, RestoresAFolderThatVanished) {
  Process process(path_);
  process.store.Disable("u1");
  process.store.Disable(std::string(300, 'x'));
  fs::remove_all(path_);
  EXPECT_TRUE(process.Eventually([&] { return fs::exists(path_) && Files().size() == 2; }));
  EXPECT_EQ(process.disabled().size(), 2U);
  EXPECT_EQ(Process(path_).disabled(), process.disabled());
}

// Where the two can't tell each other: the later call goes before what was last seen of the earlier one.
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

// What another process says counts before it is in the folder, whichever was read there.
TEST_F(OperatorStateTest, PrefersTheOtherProcessToTheFolder) {
  Touch("out-7531");
  Touch("drained");
  Process process(path_);
  for (const char* line : {"-out-7531", "+out-7532", "+drained"}) {
    const auto message = ParseLine(line);
    ASSERT_TRUE(message);
    const auto& told = std::get<OverrideMessage>(*message);
    process.store.HandleOverrideFromNeighbour(told.stored, told.action);
  }
  EXPECT_EQ(process.disabled(), Ids{"u2"});
  const std::set<std::string> stored = {"out-7532", "drained"};
  EXPECT_TRUE(process.Eventually([&] { return Files() == stored; })) << "if the other could not";
  EXPECT_TRUE(process.said.empty()) << "the other knows";
  process.store.Disable("u2");
  EXPECT_TRUE(process.said.empty()) << "nothing new";
  process.store.Enable("u2");
  EXPECT_EQ(process.said, (std::vector<std::pair<std::string, bool>>{{"out-7532", false}}));
  std::set<std::string> told;
  Break();
  process.store.StopDraining();
  process.store.NotifyAll([&](const StoredOverride& operator_override, OverrideAction action) {
    told.insert(ToLine({operator_override, action}));
  });
  EXPECT_EQ(told, std::set<std::string>{"-drained\n"}) << "what can't be removed from the folder is told";
}

TEST_F(OperatorStateTest, PlannedStopWaitsForTheFolderForALimitedTime) {
  Process process(path_);
  int ends = 0;
  process.store.Finish(seconds(60), [&] { ++ends; });
  EXPECT_EQ(ends, 1) << "nothing is owed";
  Break();
  process.store.Disable("u1");
  process.store.Finish(seconds(60), [&] { ++ends; });
  EXPECT_EQ(ends, 1);
  Mend();
  EXPECT_TRUE(process.Eventually([&] { return ends == 2; }));
  EXPECT_EQ(Process(path_).disabled(), Ids{"u1"});
  Break();
  process.store.Enable("u1");
  process.store.Finish(milliseconds(300), [&] { ++ends; });
  EXPECT_TRUE(process.Eventually([&] { return ends == 3; }));
  EXPECT_NE(process.text.str().find("operator_state_lost"), std::string::npos);
}

// ---- The real program ----

// ---- Each call that a word takes, failing for a while ----

struct FolderRow {
  const char* name;
  SystemCall call;
  int error;
  std::size_t at_most = 0;
};

void PrintTo(const FolderRow& row, std::ostream* out) { *out << row.name; }

class OperatorStateFolderFaults : public OperatorStateFaults,
                                  public ::testing::WithParamInterface<FolderRow> {};

TEST_P(OperatorStateFolderFaults, OverrideIsStoredAndRemovedAllTheSame) {
  const auto& row = GetParam();
  auto sidecar = Start("127.0.0.1:0", true);
  ASSERT_TRUE(Ready(*sidecar));
  int met = 0;
  for (const std::string& id : {std::string("u1"), kLongId}) {
    for (const std::string& call : {std::string("disable"), std::string("enable")}) {
      const auto fault = faults_.Force({.call = row.call,
                                        .error = row.error,
                                        .at_most = row.at_most,
                                        .times = 3,
                                        .on = Descriptor::kAny,
                                        .path = path_});
      std::string target = "/upstreams/";
      target.append(call).append("/").append(id);
      EXPECT_EQ(sidecar->Status("POST", target), 200U);
      const bool out = call == "disable";
      EXPECT_TRUE(Logs(
          *sidecar, std::string(out ? "upstream_disabled" : "upstream_enabled") + " upstream=" + id + "\n"));
      EXPECT_TRUE(Eventually([&] { return Says(*sidecar, "GET", "/ready") == "200 ready\n"; }))
          << sidecar->log();
      EXPECT_EQ(Process(path_).disabled(), out ? Ids{id} : Ids{}) << call;
      // The look that reads the new file meets it; else it is met by what stores and withdraws.
      const bool reads = row.call == SystemCall::kRead || row.call >= SystemCall::kOpenFolder;
      EXPECT_TRUE(!(out && reads && id == kLongId) || faults_.WaitUntilForced(fault));
      met += faults_.forced(fault);
      faults_.Stop(fault);
    }
  }
  EXPECT_GT(met, 0);
  EXPECT_TRUE(Eventually([&] { return Files() == std::set<std::string>{"handover"}; }))
      << "nothing half-made stays";
}

INSTANTIATE_TEST_SUITE_P(Calls, OperatorStateFolderFaults,
                         ::testing::Values(FolderRow{"OpenNoSpace", SystemCall::kOpen, ENOSPC},
                                           FolderRow{"OpenIo", SystemCall::kOpen, EIO},
                                           FolderRow{"OpenNoDescriptor", SystemCall::kOpen, EMFILE},
                                           FolderRow{"OpenInterrupted", SystemCall::kOpen, EINTR},
                                           FolderRow{"WriteNoSpace", SystemCall::kWrite, ENOSPC},
                                           FolderRow{"WriteInterrupted", SystemCall::kWrite, EINTR},
                                           FolderRow{"WriteShort", SystemCall::kWrite, 0, 3},
                                           FolderRow{"ReadShort", SystemCall::kRead, 0, 3},
                                           FolderRow{"ReadIo", SystemCall::kRead, EIO},
                                           FolderRow{"SyncIo", SystemCall::kSync, EIO},
                                           FolderRow{"SyncNoSpace", SystemCall::kSync, ENOSPC},
                                           FolderRow{"SyncInterrupted", SystemCall::kSync, EINTR},
                                           FolderRow{"RenameIo", SystemCall::kRename, EIO},
                                           FolderRow{"RemoveIo", SystemCall::kRemove, EIO},
                                           FolderRow{"RemoveReadOnly", SystemCall::kRemove, EROFS},
                                           FolderRow{"OpenFolderIo", SystemCall::kOpenFolder, EIO},
                                           FolderRow{"ReadFolderIo", SystemCall::kReadFolder, EIO}),
                         [](const auto& row) { return std::string(row.param.name); });

// A kill right after each call of a word, which then was not answered: it holds whole or not at all.
struct KillRow {
  const char* name;
  SystemCall call;
  int skip;
  std::size_t at_most;
};

void PrintTo(const KillRow& row, std::ostream* out) { *out << row.name; }

class KillDuringAWrite : public OperatorStateFaults, public ::testing::WithParamInterface<KillRow> {};

TEST_P(KillDuringAWrite, LeavesAFolderThatTheNextProcessReads) {
  const auto& row = GetParam();
  {
    auto sidecar = Start("127.0.0.1:0", true);
    ASSERT_TRUE(Ready(*sidecar));
    ASSERT_EQ(sidecar->Status("POST", "/upstreams/disable/u1"), 200U);
    faults_.Force({.call = row.call,
                   .at_most = row.at_most,
                   .kills = true,
                   .skip = row.skip,
                   .times = 1,
                   .path = path_ + "/"});
    sidecar->Operate("POST", "/upstreams/disable/" + kLongId);
    EXPECT_EQ(sidecar->Wait(), 128 + SIGKILL);
  }
  auto next = Start();
  ASSERT_TRUE(Ready(*next));
  EXPECT_TRUE(IsOut(*next, "u1"));
  EXPECT_EQ(next->log().find("operator_state_foreign_file"), std::string::npos) << next->log();
  EXPECT_EQ(Says(*next, "POST", "/upstreams/enable/u1"), "200 u1 is back\n");
  EXPECT_EQ(next->Status("POST", "/upstreams/disable/" + kLongId), 200U);
  EXPECT_EQ(Process(path_).disabled(), Ids{kLongId});
}

INSTANTIATE_TEST_SUITE_P(Calls, KillDuringAWrite,
                         ::testing::Values(KillRow{"Made", SystemCall::kOpen, 0, 0},
                                           KillRow{"HalfWritten", SystemCall::kWrite, 0, 7},
                                           KillRow{"Written", SystemCall::kWrite, 0, 0},
                                           KillRow{"Synced", SystemCall::kSync, 0, 0},
                                           KillRow{"Renamed", SystemCall::kRename, 0, 0}),
                         [](const auto& row) { return std::string(row.param.name); });

// What the folder has can't be removed there, nor what is new be stored: the next process hears it from this
// one, and does both.
TEST_F(OperatorStateFaults, RestartDoesNotBringBackARemovedOverride) {
  auto sidecar = Start("127.0.0.1:0", true);
  ASSERT_TRUE(Ready(*sidecar));
  ASSERT_EQ(Says(*sidecar, "POST", "/upstreams/disable/u1"), "200 u1 is out\n");
  for (const auto call : {SystemCall::kRemove, SystemCall::kRename, SystemCall::kSync, SystemCall::kOpen})
    faults_.Force({.call = call, .error = EIO, .path = path_});
  EXPECT_NE(
      Says(*sidecar, "POST", "/upstreams/enable/u1").find("not stored yet: 1 change (Input/output error)"),
      std::string::npos);
  EXPECT_EQ(sidecar->Status("POST", "/upstreams/disable/" + kLongId), 200U);
  ASSERT_TRUE(fs::exists(path_ + "/out-7531"));
  {
    auto next = Start("127.0.0.1:" + std::to_string(sidecar->port()));
    ASSERT_TRUE(Ready(*next));
    EXPECT_TRUE(IsOut(*next, kLongId));
    EXPECT_TRUE(Logs(*next, "upstream_enabled upstream=u1\n"));
    sidecar->Signal(SIGKILL);
    sidecar->Wait();
    EXPECT_TRUE(Eventually([&] { return !fs::exists(path_ + "/out-7531"); }));
    EXPECT_TRUE(Eventually([&] { return Process(path_).disabled() == Ids{kLongId}; }));
    next->Signal(SIGKILL);
    next->Wait();
  }
  auto last = Start();
  EXPECT_TRUE(IsOut(*last, kLongId));
  EXPECT_EQ(last->log().find("upstream_disabled upstream=u1"), std::string::npos);
}

// At the start as well: what is read in the end is what counts, and it counts before much is sent.
TEST_F(OperatorStateFaults, FolderUnreadableAtTheStartIsReadLater) {
  Touch("out-7531");
  const auto fault =
      faults_.Force({.call = SystemCall::kReadFolder, .error = EIO, .times = 8, .path = path_});
  auto sidecar = Start("127.0.0.1:0", true);
  EXPECT_TRUE(IsOut(*sidecar, "u1"));
  EXPECT_EQ(faults_.forced(fault), 8);
  EXPECT_TRUE(Logs(*sidecar, "operator_state_read_failed"));
  EXPECT_TRUE(Logs(*sidecar, "operator_state_read_recovered"));
}

TEST_F(OperatorStateFaults, ReplySaysWhatIsNotStored) {
  auto sidecar = Start();
  ASSERT_TRUE(Ready(*sidecar));
  EXPECT_EQ(Says(*sidecar, "GET", "/ready"), "200 ready\n");
  Break();
  EXPECT_EQ(Says(*sidecar, "POST", "/upstreams/disable/u1").find("200 u1 is out; not stored yet"), 0U);
  EXPECT_EQ(Says(*sidecar, "GET", "/ready").find("200 ready; not stored yet: 1 change ("), 0U);
  EXPECT_TRUE(Logs(*sidecar, "operator_state_write_failed"));
  Mend();
  EXPECT_TRUE(Eventually([&] { return Says(*sidecar, "GET", "/ready") == "200 ready\n"; }));
  sidecar->Signal(SIGKILL);
  sidecar->Wait();
  auto next = Start();
  EXPECT_EQ(Says(*next, "POST", "/upstreams/disable/u1"), "200 u1 is out\n");
  EXPECT_TRUE(Logs(*next, "upstream_disabled upstream=u1\n"));
}

}  // namespace
}  // namespace lb::sidecar::testing
