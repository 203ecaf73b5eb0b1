// The time limits of a planned stop of lb-sidecar. SIGKILL may follow SIGTERM after the longest deadline
// among the request classes (at most 3 s) plus 0.7 s. Requests accepted in the meantime must have their
// responses by then.
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

// A request that is sent without its last byte until Complete() is called.
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

TEST(PlannedStop, RespondsBeforeItMayBeKilledThoughTheClientWaitsLonger) {
  Gate release;
  Upstream hangs([&](Wire&, const Request&, int) { release.Pass(); });
  SidecarProcess sidecar(
      With(List({Target("u1", hangs.address())}), SettingsWithDeadline(milliseconds(6000))));
  ASSERT_TRUE(sidecar.Listening());
  LateRequest request(sidecar, milliseconds(12000));
  sidecar.Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(800));
  const auto completed_at = steady_clock::now();
  const auto response = request.Complete();
  ASSERT_TRUE(response);
  EXPECT_GE(response->result_int(), 500U);
  EXPECT_LT(steady_clock::now() - completed_at, milliseconds(8000))
      << "the sidecar has 2.8 s left for its response, the client would wait 12 s";
  release.Open();
  EXPECT_EQ(sidecar.Wait(), 0);
}

TEST(PlannedStop, ShedsARequestThatIsCompleteOnlyWhenItMayBeKilled) {
  Upstream upstream(Upstream::Echo("u"));
  SidecarProcess sidecar(
      With(List({Target("u1", upstream.address())}), SettingsWithDeadline(milliseconds(100))));
  ASSERT_TRUE(sidecar.Listening());
  LateRequest request(sidecar, milliseconds(200));
  sidecar.Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1000));  // past the deadline of 0.1 s plus 0.7 s
  const auto response = request.Complete();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 503U);
  EXPECT_EQ(response->count("Retry-After"), 1U);
  EXPECT_TRUE(upstream.requests().empty()) << "forwarded though no time is left for a response";
  EXPECT_EQ(sidecar.Wait(), 0);
}

}  // namespace
}  // namespace lb::sidecar::testing
