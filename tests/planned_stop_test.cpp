// A planned stop of the real program: SIGKILL may follow SIGTERM after the deployment's longest deadline,
// counted as 3 s at most, and 0.7 s. Whatever is taken meanwhile has its answer by then.
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "gtest/gtest.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

json SettingsWithDeadline(milliseconds deadline) {
  json settings = Settings();
  for (json& request_class : settings["Classes"]) {
    request_class["Aim"] = std::min(request_class["Aim"].get<std::int64_t>(), deadline.count() * 1000);
    request_class["HardLimit"] = deadline.count() * 1000;
  }
  return settings;
}

// A request of which the last byte is kept back.
class LateRequest {
 public:
  LateRequest(SidecarProcess& sidecar, milliseconds timeout)
      : client_(sidecar.port()),
        text_(PostText("/submit/k", "late", "body", static_cast<int>(timeout.count()))) {
    EXPECT_TRUE(client_.Send(text_.substr(0, text_.size() - 1)));
  }
  std::optional<Response> Complete() {
    EXPECT_TRUE(client_.Send(text_.substr(text_.size() - 1)));
    return client_.Read();
  }

 private:
  Client client_;
  const std::string text_;
};

TEST(PlannedStop, AnswersBeforeItMayBeKilledThoughTheClientWaitsLonger) {
  Gate end;
  Upstream hangs([&](Wire&, const Request&, int) { end.Pass(); });
  SidecarProcess sidecar(
      With(List({Target("u1", hangs.address())}), SettingsWithDeadline(milliseconds(6000))));
  ASSERT_TRUE(sidecar.Listening());
  LateRequest request(sidecar, milliseconds(12000));
  sidecar.Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(800));
  const auto completed = steady_clock::now();
  const auto answer = request.Complete();
  ASSERT_TRUE(answer);
  EXPECT_GE(answer->result_int(), 500U);
  EXPECT_LT(steady_clock::now() - completed, milliseconds(8000))
      << "2.8 s are left to it, 12 s to its client";
  end.Open();
  EXPECT_EQ(sidecar.Wait(), 0);
}

TEST(PlannedStop, ShedsWhatIsCompleteOnlyOnceItMayBeKilled) {
  Upstream upstream(Upstream::Echo("u"));
  SidecarProcess sidecar(
      With(List({Target("u1", upstream.address())}), SettingsWithDeadline(milliseconds(100))));
  ASSERT_TRUE(sidecar.Listening());
  LateRequest request(sidecar, milliseconds(200));
  sidecar.Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1000));  // past 0.1 s and 0.7 s
  const auto answer = request.Complete();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->result_int(), 503U);
  EXPECT_EQ(answer->count("Retry-After"), 1U);
  EXPECT_TRUE(upstream.requests().empty()) << "no time is left to wait for it";
  EXPECT_EQ(sidecar.Wait(), 0);
}

}  // namespace
}  // namespace lb::sidecar::testing
