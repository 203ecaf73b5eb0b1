// Tests of the discovery client while discovery is slow (review/10): each change must arrive within the
// notification limit, and the whole list must not be requested twice at a time.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include "gtest/gtest.h"
#include "sidecar/discovery_timing.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kFirstRevision = 0;  // as that of the list in the configuration

struct SlowForm {
  std::string name;
  bool is_polled = false;
  milliseconds head_delay{};  // from the end of the wait to the head of the response
  milliseconds body_delay{};  // from the head to the body
  bool is_random = false;     // each delay is between zero and the given one
  milliseconds outage{};      // before the change; a call that was made in it is never answered
};

void PrintTo(const SlowForm& form, std::ostream* out) { *out << form.name; }

// A discovery that answers each call late, with the list as it is when the response begins.
class SlowDiscovery {
 public:
  SlowDiscovery(const SlowForm& form, const json& targets)
      : form_(form), targets_(targets), peer_([this](Wire& wire, int number) { Serve(wire, number); }) {}
  ~SlowDiscovery() {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
    changed_.notify_all();
  }
  SlowDiscovery(const SlowDiscovery&) = delete;
  SlowDiscovery& operator=(const SlowDiscovery&) = delete;

  std::string address() const { return peer_.address(); }
  int calls() {
    const std::lock_guard lock(mutex_);
    return calls_;
  }
  int most_whole_lists_at_once() {
    const std::lock_guard lock(mutex_);
    return most_whole_lists_at_once_;
  }
  void Publish(const json& targets) {
    const std::lock_guard lock(mutex_);
    targets_ = targets;
    ++revision_;
    changed_.notify_all();
  }
  void SetDown(bool down) {
    const std::lock_guard lock(mutex_);
    is_down_ = down;
    if (down) ++outages_;
    changed_.notify_all();
  }

 private:
  using Lock = std::unique_lock<std::mutex>;

  void Serve(Wire& wire, int number) {
    std::minstd_rand random(static_cast<unsigned>(number) + 1);
    while (const auto request = wire.ReadRequest()) {
      Lock lock(mutex_);
      ++calls_;
      if (!AwaitTurn(lock, std::string(request->target()))) {
        lock.unlock();
        wire.ReadUntilClosed();
        return;
      }
      const std::string body = json{{"rev", revision_}, {"all", true}, {"targets", targets_}}.dump();
      lock.unlock();
      wire.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
      std::this_thread::sleep_for(DelayOf(form_.body_delay, random));
      if (!wire.Write(body)) return;
    }
  }

  // Returns false if discovery was down meanwhile: the call is never answered.
  bool AwaitTurn(Lock& lock, const std::string& target) {
    const int outages = outages_;
    const bool is_lost_already = is_down_;
    const auto is_lost = [&] { return is_stopping_ || is_lost_already || outages != outages_; };
    const auto index = target.find("index=");
    const bool is_for_whole_list = index == std::string::npos;
    if (is_for_whole_list) {
      most_whole_lists_at_once_ = std::max(most_whole_lists_at_once_, ++whole_lists_in_progress_);
    } else {
      const int known = std::stoi(target.substr(index + 6));
      const auto wait = milliseconds(std::stoi(target.substr(target.find("wait=") + 5)));
      changed_.wait_for(lock, wait, [&] { return is_lost() || revision_ > known; });
    }
    changed_.wait_for(lock, DelayOf(form_.head_delay, random_), is_lost);
    if (is_for_whole_list) --whole_lists_in_progress_;
    return !is_lost();
  }

  milliseconds DelayOf(milliseconds delay, std::minstd_rand& random) const {
    if (!form_.is_random) return delay;
    return milliseconds(std::uniform_int_distribution<std::int64_t>(0, delay.count())(random));
  }

  const SlowForm form_;
  std::mutex mutex_;
  std::condition_variable changed_;
  json targets_;
  int revision_ = kFirstRevision;
  int calls_ = 0;
  int whole_lists_in_progress_ = 0;
  int most_whole_lists_at_once_ = 0;
  int outages_ = 0;
  bool is_down_ = false;
  bool is_stopping_ = false;
  std::minstd_rand random_{1};
  Peer peer_;  // the last member: its scripts use the others
};

class SlowDiscoveryTest : public ::testing::TestWithParam<SlowForm> {};

// Guards against a sidecar that gives each call up before its answer, and so never hears of a drain.
TEST_P(SlowDiscoveryTest, EachChangeArrivesWithinTheNotificationLimit) {
  const SlowForm& form = GetParam();
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  const json both = List({Target("u1", a.address()), Target("u2", b.address(), "leaving")});
  SlowDiscovery discovery(form, both);
  json settings = Settings();
  if (form.is_polled) settings["MembershipMode"] = "on_request";
  SidecarProcess::Options options = With(both, settings);
  options.discovery = discovery.address();
  SidecarProcess sidecar(options);
  ASSERT_TRUE(sidecar.Listening());
  const int calls = discovery.calls();
  ASSERT_TRUE(Eventually([&] { return discovery.calls() > calls + 2; }));
  if (form.outage > milliseconds::zero()) {
    discovery.SetDown(true);
    std::this_thread::sleep_for(form.outage);
  }

  discovery.Publish(List({Target("u1", a.address(), "leaving"), Target("u2", b.address())}));
  if (form.outage > milliseconds::zero()) discovery.SetDown(false);
  const auto changed_at = Clock::now();
  const bool is_heard = BecomesServedBy(sidecar, "b /page/k");
  const auto heard_after = Clock::now() - changed_at;

  EXPECT_TRUE(is_heard);
  EXPECT_LT(heard_after, kNotificationLimit);
  EXPECT_LE(discovery.most_whole_lists_at_once(), 1);
}

INSTANTIATE_TEST_SUITE_P(
    Forms, SlowDiscoveryTest,
    ::testing::Values(
        SlowForm{.name = "PolledCalls", .is_polled = true, .head_delay = milliseconds(2500)},
        SlowForm{.name = "PolledCallsOfFourSeconds", .is_polled = true, .head_delay = seconds(4)},
        SlowForm{.name = "PolledBodies", .is_polled = true, .body_delay = milliseconds(2500)},
        SlowForm{
            .name = "PolledByChance", .is_polled = true, .head_delay = milliseconds(3200), .is_random = true},
        SlowForm{.name = "PolledAfterAnOutage",
                 .is_polled = true,
                 .head_delay = milliseconds(2500),
                 .outage = seconds(5)},
        SlowForm{.name = "WatchedCalls", .head_delay = milliseconds(2500)},
        SlowForm{.name = "WatchedCallsOfABitMoreThanASecond", .head_delay = milliseconds(1200)},
        SlowForm{.name = "WatchedBodies", .body_delay = milliseconds(2500)},
        SlowForm{.name = "WatchedAfterAnOutage", .head_delay = milliseconds(2500), .outage = seconds(5)}),
    [](const auto& form) { return form.param.name; });

}  // namespace
}  // namespace lb::sidecar::testing
