// An upgrade while discovery is down: the new process sends to an upstream of which the sidecar was told that it drains.
#include "common-2.hpp"

using namespace review;

namespace {

constexpr double kGrace = 0.3 + 0.05;     // StopSendingWithin, and 50 ms for real sockets
constexpr double kBindsAfterYes = 2;      // what discovery tells binds 2 s after the new process's yes
constexpr double kOutage = 8;             // seconds
constexpr int kClients = 4;

}  // namespace

void Run(const Case& arguments) {
  std::mutex mutex;
  std::vector<double> at_drained;  // when requests came to the upstream that drains
  const auto serve = [&](Wire& wire, const Head&) { return Answer(wire, "served"); };
  const auto serve_drained = [&](Wire& wire, const Head& head) {
    if (!head["x-request-id"].empty()) {
      const std::lock_guard lock(mutex);
      at_drained.push_back(Now());
    }
    return Answer(wire, "served");
  };
  Server first(serve_drained), second(serve), third(serve);
  std::vector<Target> targets = {{"s-1", first.address()}, {"s-2", second.address()}, {"s-3", third.address()}};
  Discovery discovery(targets, 41);
  Sidecar sidecar(arguments, {discovery.address(), "pushed", ListText(41, targets), true});
  const Sidecar::Process old_process = sidecar.StartAndWait();

  std::atomic<bool> over{false};
  std::atomic<int> answered{0};
  const auto ask = [&] {
    Wire wire;
    while (!over) {
      if ((!wire.IsOpen() && wire.Connect(sidecar.listen()) != 0) ||
          !wire.Write(GetText("/week-view/k", NewId(), 1000))) {
        wire.Close();
        SleepFor(0.02);
        continue;
      }
      const Outcome outcome = ReadAnswer(wire, Now() + 2);
      if (outcome.whole) ++answered;
      if (!outcome.keep_alive) wire.Close();
      SleepFor(0.03);
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) threads.emplace_back(ask);
  SleepFor(1);

  targets[0].state = "leaving";
  discovery.Set(targets);
  const double told = Now();
  Record("discovery tells that s-1 drains");
  SleepFor(2);
  const double outage = Now();
  if (arguments.trouble) {
    discovery.SetSilent(true);
    Record("discovery is silent from now on");
  }
  SleepFor(0.5);
  const Sidecar::Process new_process = sidecar.Start();
  const double started = Now();
  while (Sidecar::StatusOf(new_process.admin, "/ready", 0.5) != 200) {
    if (Now() > started + 6) Stop("the new process did not say yes within 6 s");
    SleepFor(0.02);
  }
  const double yes = Now();
  Record("the new process says yes %.3f s after its start; SIGTERM to the old one", yes - started);
  ::kill(old_process.pid, SIGTERM);
  SleepUntil(yes + 3.7);
  ::kill(old_process.pid, SIGKILL);
  SleepUntil(outage + kOutage);
  const double returned = Now();
  discovery.SetSilent(false);
  Record("discovery answers again");
  SleepFor(1.5);
  over = true;
  for (std::thread& thread : threads) thread.join();

  int after_told = 0, broken = 0, after_return = 0;
  const std::lock_guard lock(mutex);
  for (const double at : at_drained) {
    if (at > told + kGrace && at < started) ++after_told;
    const bool is_broken = (at > told + kGrace && at < started) || at > yes + kBindsAfterYes + kGrace;
    if (is_broken) ++broken;
    if (at > returned + kGrace) ++after_return;
    if (at > told + kGrace)
      Record("s-1 got a request at %.3f: %.3f s after the news, %.3f s after the yes%s", at, at - told, at - yes,
             is_broken ? "  BROKEN" : "");
  }
  Record("requests: %d answered; to s-1 after the news and %.2f s: %d by the old process, %d that break the rule, %d of "
         "them after the return of discovery",
         answered.load(), kGrace, after_told, broken, after_return);
  sidecar.RecordLogs();
  if (answered < 100) Stop("too few answers");
  Finish(broken > 0);
}
