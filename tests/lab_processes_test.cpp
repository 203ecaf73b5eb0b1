// Tests of the child processes of the lab, and of the resource usage that the kernel reports.
#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstddef>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "gtest/gtest.h"
#include "lab/real/cpu_clock.h"
#include "lab/real/process.h"
#include "tests/lab_stage.h"

namespace lb::lab {
namespace {

using std::chrono::milliseconds;

bool Eventually(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kWaitLimit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

ProcessOptions Shell(const std::string& script, const std::string& log = "") {
  ProcessOptions options;
  options.program = "/bin/sh";
  options.arguments = {"-c", script};
  options.log_file = log;
  return options;
}

bool IsGone(pid_t pid) {
  std::ifstream stream("/proc/" + std::to_string(pid) + "/stat");
  std::string number, name, state;
  return !(stream >> number >> name >> state) || state == "Z";
}

TEST(LabProcess, ReportsItsExitStatus) {
  Process ends(Shell("exit 7"));
  EXPECT_EQ(ends.Wait().code, 7);
  EXPECT_FALSE(ends.Running());
  EXPECT_FALSE(ends.Usage());
  Process killed(Shell("exec sleep 1000"));
  EXPECT_FALSE(killed.WaitFor(milliseconds(20)));
  EXPECT_EQ(killed.Kill().signal, SIGKILL);
}

TEST(LabProcess, UsesItsFolderEnvironmentAndLogAndInheritsNoDescriptors) {
  const Folder folder;
  const int inheritable = ::open("/dev/null", O_RDONLY);  // without O_CLOEXEC
  ProcessOptions options = Shell("pwd; echo \"$LAB_WORD\" >&2; ls /proc/self/fd | wc -l", folder / "log");
  options.folder = folder.path();
  options.environment = {{"LAB_WORD", "told"}};
  Process process(options);
  EXPECT_EQ(process.Wait().code, 0);
  ::close(inheritable);
  // `ls` has four descriptors open: the three standard ones and the directory that it lists.
  EXPECT_EQ(process.Log(), folder.path() + "\ntold\n4\n");
}

TEST(LabProcess, ThrowsIfTheProgramDoesNotExist) {
  ProcessOptions options;
  options.program = "/no/such/program";
  EXPECT_THROW(Process{options}, std::system_error);
}

TEST(LabProcess, StopSendsSigtermAndThenSigkill) {
  const Folder folder;
  const auto trapping = [&](const std::string& action, const std::string& log) {
    return Shell("trap '" + action + "' TERM; echo ready; while :; do sleep 0.02; done", folder / log);
  };
  Process exiting(trapping("exit 3", "exiting"));
  Process ignoring(trapping("", "ignoring"));
  ASSERT_TRUE(Eventually([&] { return exiting.Log() == "ready\n" && ignoring.Log() == "ready\n"; }));
  EXPECT_EQ(exiting.Stop(kStopLimit).code, 3);
  EXPECT_EQ(ignoring.Stop(milliseconds(50)).signal, SIGKILL);
}

TEST(LabProcess, KillsItsProcessGroup) {
  const Folder folder;
  pid_t leader = 0, member = 0;
  {
    Process process(Shell("sleep 1000 & echo $!; wait", folder / "log"));
    ASSERT_TRUE(Eventually([&] { return process.Log().ends_with("\n"); }));
    leader = process.pid();
    member = std::stoi(process.Log());
    EXPECT_FALSE(IsGone(member));
  }
  EXPECT_TRUE(IsGone(leader));
  EXPECT_TRUE(Eventually([&] { return IsGone(member); }));
}

TEST(LabProcess, DoesNotOutliveTheThreadThatStartedIt) {
  std::unique_ptr<Process> process;
  std::thread([&] { process = std::make_unique<Process>(Shell("exec sleep 1000")); }).join();
  const auto status = process->WaitFor(kWaitLimit);
  ASSERT_TRUE(status);
  EXPECT_EQ(status->signal, SIGKILL);
}

TEST(LabProcess, UsageGrowsWithWorkAndMemory) {
  const Folder folder;
  Process busy(Shell("while :; do :; done"));
  Process sleeping(Shell("exec sleep 1000"));
  ASSERT_TRUE(Eventually([&] { return busy.Usage()->cpu_s >= 0.1; }));
  EXPECT_LT(sleeping.Usage()->cpu_s, 0.1);

  // dd fills a buffer of 64 MB and then blocks, as nothing reads the pipe.
  const std::string pipe = folder / "pipe";
  ASSERT_EQ(::mkfifo(pipe.c_str(), 0600), 0);
  const int unread = ::open(pipe.c_str(), O_RDWR);
  Process large(Shell("exec dd if=/dev/zero of=" + pipe + " bs=64M count=1"));
  EXPECT_TRUE(Eventually([&] { return large.Usage()->memory_mb >= 64; }));
  EXPECT_LT(large.Usage()->memory_mb, 80);
  EXPECT_LT(sleeping.Usage()->memory_mb, 16);
  EXPECT_EQ(sleeping.Usage()->descriptors, 3U);
  ::close(unread);
}

TEST(LabCpuClock, MeasuresTheLabsOwnUsage) {
  const double thread_before = ThreadCpuSeconds();
  const double process_before = ProcessCpuSeconds();
  std::thread([] {
    const double before = ThreadCpuSeconds();
    while (ThreadCpuSeconds() < before + 0.05) {
    }
  }).join();
  EXPECT_GE(ProcessCpuSeconds() - process_before, 0.05);
  EXPECT_LT(ThreadCpuSeconds() - thread_before, 0.05);
  EXPECT_GT(ResidentMemoryMb(), 1);
  EXPECT_LT(ResidentMemoryMb(), MachineMemoryMb());
  const std::size_t children = ChildProcesses();
  Process process(Shell("exec sleep 1000"));
  EXPECT_EQ(ChildProcesses(), children + 1);
  process.Kill();
  EXPECT_EQ(ChildProcesses(), children);
}

}  // namespace
}  // namespace lb::lab
