// A process's store of what operators say, and the real program, with a folder of a test's own that can be
// made to fail.
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

// One process of a sidecar, as far as its store goes.
struct Process {
  explicit Process(const std::string& folder)
      : store(
            io, folder, log, [](const OperatorState&) {},
            [this](const StoredOverride& stored, OverrideAction action) {
              said.emplace_back(ToStoredForm(stored), action == OverrideAction::kSet);
            }) {}

  const Ids& disabled() const { return store.state().disabled; }
  // Lets it run until `condition` holds, far longer than that should take.
  bool Eventually(const std::function<bool()>& condition) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < until)
      io.run_one_for(std::chrono::milliseconds(50));
    return condition();
  }
  bool Stores() {
    return Eventually([this] { return store.StorageFault().empty(); });
  }

  boost::asio::io_context io;
  std::ostringstream text;
  Logger log{"t", &text};
  std::vector<std::pair<std::string, bool>> said;
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
  void Touch(const std::string& name, const std::string& contents = "") {
    std::filesystem::create_directories(path_);
    std::ofstream(path_ + "/" + name) << contents;
  }
  // The folder fails in each call: a file has its name.
  void Break() {
    if (std::filesystem::exists(path_)) std::filesystem::rename(path_, path_ + ".away");
    std::ofstream(path_) << "x";
  }
  void Mend() {
    std::filesystem::remove(path_);
    if (std::filesystem::exists(path_ + ".away")) std::filesystem::rename(path_ + ".away", path_);
  }

  Folder folder_;
  const std::string path_ = StateFolder(folder_);
};

class OperatorStateFaults : public OperatorStateTest {
 protected:
  // `faulty`: meets the faults that are forced.
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
  static std::string Says(SidecarProcess& sidecar, const std::string& method, const std::string& target) {
    const auto answer = sidecar.Operate(method, target);
    return answer ? std::to_string(answer->result_int()) + " " + answer->body() : "nothing\n";
  }
  static bool Ready(SidecarProcess& sidecar) {
    return Eventually([&] { return sidecar.Status("GET", "/ready") == 200; });
  }

  bool IsOut(SidecarProcess& sidecar, const std::string& id) {
    return Logs(sidecar, "upstream_disabled upstream=" + id + "\n");
  }
  static bool Logs(SidecarProcess& sidecar, const std::string& text) {
    return Eventually([&] { return sidecar.log().find(text) != std::string::npos; });
  }

  inline static const std::string kLongId = "long" + std::string(200, 'x');
  FaultInjector faults_;
  Upstream upstream_{Upstream::Echo("u1")};
  Discovery discovery_{List({Target("u1", upstream_.address()), Target(kLongId, upstream_.address())})};
};

}  // namespace lb::sidecar::testing
