// Fixtures for tests of the operator state: an OperatorStateStore alone, and lb-sidecar, each with a folder
// of the test's own that can be made to fail.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "sidecar/operator_state.h"
#include "tests/fault_injection.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {

using Ids = std::set<std::string>;

// Stands for one process of a sidecar: an OperatorStateStore with its event loop and log.
struct Process {
  explicit Process(const std::string& folder)
      : store(
            io, folder, log, [](const OperatorState&) {},
            [this](const StoredOverride& stored, OverrideAction action) {
              sent_overrides.emplace_back(ToStoredForm(stored), action == OverrideAction::kSet);
            }) {}

  const Ids& disabled() const { return store.state().disabled; }
  // Runs the event loop until `condition` holds, for at most 20 s, which is far longer than expected. Returns
  // whether it holds.
  bool Eventually(const std::function<bool()>& condition) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < until)
      io.run_one_for(std::chrono::milliseconds(50));
    return condition();
  }
  bool WaitUntilStored() {
    return Eventually([this] { return store.StorageFault().empty(); });
  }

  boost::asio::io_context io;
  std::ostringstream text;
  Logger log{"t", &text};
  std::vector<std::pair<std::string, bool>>
      sent_overrides;  // the calls of `on_override`: stored form, set or withdrawn
  OperatorStateStore store;
};

class OperatorStateTest : public ::testing::Test {
 protected:
  std::set<std::string> Files() const {
    std::set<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(path_))
      names.insert(entry.path().filename());
    return names;
  }
  void WriteFile(const std::string& name, const std::string& contents = "") {
    std::filesystem::create_directories(path_);
    std::ofstream(path_ + "/" + name) << contents;
  }
  // Makes each access to the folder fail: a file takes its place.
  void BreakFolder() {
    if (std::filesystem::exists(path_)) std::filesystem::rename(path_, path_ + ".away");
    std::ofstream(path_) << "x";
  }
  void RepairFolder() {
    std::filesystem::remove(path_);
    if (std::filesystem::exists(path_ + ".away")) std::filesystem::rename(path_ + ".away", path_);
  }

  Folder folder_;
  const std::string path_ = StateFolder(folder_);
};

class OperatorStateFaults : public OperatorStateTest {
 protected:
  // Starts lb-sidecar with the folder and an admin interface, and waits until it listens. `faulty`: faults
  // forced through `faults_` take effect in it.
  std::unique_ptr<SidecarProcess> Start(const std::string& listen = "127.0.0.1:0", bool faulty = false) {
    SidecarProcess::Options options =
        With(List({Target("u1", upstream_.address()), Target(kLongId, upstream_.address())}));
    if (faulty) options.environment = faults_.environment();
    options.admin = "127.0.0.1:0";
    options.tmpdir = folder_.path();
    options.listen = listen;
    options.discovery = discovery_.address();
    auto sidecar = std::make_unique<SidecarProcess>(options);
    EXPECT_TRUE(sidecar->Listening());
    return sidecar;
  }
  // Sends a command to the admin interface and returns the status and the body of the response.
  static std::string SendCommand(SidecarProcess& sidecar, const std::string& method,
                                 const std::string& target) {
    const auto response = sidecar.CallAdmin(method, target);
    return response ? std::to_string(response->result_int()) + " " + response->body() : "no response\n";
  }
  static bool BecomesReady(SidecarProcess& sidecar) {
    return Eventually([&] { return sidecar.Status("GET", "/ready") == 200; });
  }

  bool LogsDisabled(SidecarProcess& sidecar, const std::string& id) {
    return EventuallyLogs(sidecar, "upstream_disabled upstream=" + id + "\n");
  }
  // Waits until the log contains `text`; false if it does not in time.
  static bool EventuallyLogs(SidecarProcess& sidecar, const std::string& text) {
    return Eventually([&] { return sidecar.log().find(text) != std::string::npos; });
  }

  inline static const std::string kLongId = "long" + std::string(200, 'x');
  FaultInjector faults_;
  Upstream upstream_{Upstream::Echo("u1")};
  Discovery discovery_{List({Target("u1", upstream_.address()), Target(kLongId, upstream_.address())})};
};

}  // namespace lb::sidecar::testing
