// Discovery is slow: each call is answered after 2.5 s. The sidecar never learns that an upstream drains.
#include "common-2.hpp"

using namespace review;

namespace {

constexpr double kTold = 6;            // a change counts as told this long after discovery had it, at the latest
constexpr double kGrace = 0.8 + 0.05;  // StopSendingWithin, and 50 ms for real sockets
constexpr double kSlow = 2.5;          // seconds for each call
constexpr int kClients = 4;

}  // namespace

void Run(const Case& arguments) {
  std::mutex mutex;
  std::vector<double> at_drained;
  const auto serve = [&](Wire& wire, const Head&) { return Answer(wire, "served"); };
  const auto serve_drained = [&](Wire& wire, const Head&) {
    const std::lock_guard lock(mutex);
    at_drained.push_back(Now());
    return Answer(wire, "served");
  };
  Server first(serve_drained), second(serve), third(serve);
  std::vector<Target> targets = {{"s-1", first.address()}, {"s-2", second.address()}, {"s-3", third.address()}};
  Discovery discovery(targets, 41);
  if (arguments.trouble) discovery.SetDelay(kSlow);
  Sidecar sidecar(arguments, {discovery.address(), "on_request", ListText(41, targets), false});
  sidecar.StartAndWait();

  std::atomic<bool> over{false};
  std::atomic<int> answered{0};
  const auto ask = [&] {
    Wire wire;
    while (!over) {
      if ((!wire.IsOpen() && wire.Connect(sidecar.listen()) != 0) ||
          !wire.Write(GetText("/berth.quote/k", NewId(), 900))) {
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
  SleepFor(5);
  targets[0].state = "leaving";
  discovery.Set(targets);
  const double drained = Now();
  Record("discovery has it that s-1 drains");
  SleepFor(16);
  over = true;
  for (std::thread& thread : threads) thread.join();

  int broken = 0;
  double last = 0;
  const std::lock_guard lock(mutex);
  for (const double at : at_drained) {
    if (at > drained + kTold + kGrace) ++broken;
    last = std::max(last, at - drained);
  }
  Record("requests: %d answered; the last one to s-1 came %.3f s after the change; %d came later than %.2f s after it",
         answered.load(), last, broken, kTold + kGrace);
  sidecar.RecordLogs();
  if (answered < 100) Stop("too few answers");
  Finish(broken > 0);
}
