// An answer with no length that never ends: its request gets no final answer.
#include "common-2.hpp"

using namespace review;

namespace {

constexpr int kClients = 4;
constexpr int kTimeoutMs = 2000;  // 40 to 80% of the class's 4 s
constexpr double kLateAfter = 0.5 + 0.05;
constexpr int kSpoiltOf = 20;       // one answer of so many is spoilt
constexpr double kWork = 0.1;       // seconds for each request

}  // namespace

void Run(const Case& arguments) {
  std::atomic<int> answers{0};
  const auto serve = [&](Wire& wire, const Head& head) {
    SleepFor(kWork);
    const bool spoilt = arguments.trouble && ++answers % kSpoiltOf == 0;
    Record("upstream: %s gets %s", head["x-request-id"].c_str(),
           spoilt ? "a head, the first 1,000 bytes and no more" : "a whole answer");
    const std::string chunk = "3e8\r\n" + std::string(1000, 'x') + "\r\n";
    if (!wire.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk)) return false;
    if (!spoilt) return wire.Write(chunk + "0\r\n\r\n");
    wire.Read(Now() + 100);  // stays until the sidecar closes the connection
    return false;
  };
  Server first(serve), second(serve), third(serve);
  const std::vector<Target> targets = {
      {"s-1", first.address()}, {"s-2", second.address()}, {"s-3", third.address()}};
  Discovery discovery(targets, 41);
  Sidecar sidecar(arguments, {discovery.address(), "pushed", ListText(41, targets), false});
  sidecar.StartAndWait();

  std::atomic<int> served{0}, failed{0}, lost{0};
  const double end = Now() + 8;
  const auto ask = [&] {
    Wire wire;
    while (Now() < end) {
      if (!wire.IsOpen() && wire.Connect(sidecar.listen()) != 0) Stop("no connection to the sidecar");
      const std::string id = NewId();
      const double sent = Now();
      if (!wire.Write(PostText("/term-publish/k", id, kTimeoutMs, "publish"))) {
        wire.Close();
        continue;
      }
      const double last = sent + kTimeoutMs / 1000.0 + kLateAfter;
      const Outcome outcome = ReadAnswer(wire, sent + 15);
      const bool final_in_time = (outcome.whole || outcome.cut) && outcome.ended <= last;
      if (!final_in_time) {
        ++lost;
      } else {
        ++(outcome.whole && outcome.status == 200 ? served : failed);
      }
      Record("request %s sent at %.3f with %d ms: status %d, %zu bytes, %s after %.3f s%s", id.c_str(), sent,
             kTimeoutMs, outcome.status, outcome.body,
             outcome.whole ? "whole" : outcome.cut ? "cut off" : "not ended", outcome.ended - sent,
             final_in_time ? "" : "  LOST");
      if (!outcome.keep_alive) wire.Close();
      SleepFor(0.05);
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) threads.emplace_back(ask);
  for (std::thread& thread : threads) thread.join();
  Record("requests: %d served, %d failed in time, %d without a final answer in time", served.load(), failed.load(),
         lost.load());
  sidecar.RecordLogs();
  Finish(lost > 0);
}
