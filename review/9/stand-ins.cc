// An upstream hangs for 12 s in the middle of a long answer: the sidecar cuts the answer off.
#include "common-2.hpp"

using namespace review;

namespace {

constexpr std::size_t kBody = 200000;  // over 64 KiB: only its first bytes are timed
constexpr double kHang = 12;           // seconds; 6.2 to 20 are allowed

}  // namespace

void Run(const Case& arguments) {
  std::atomic<bool> gave_all{false}, hung{false};
  std::atomic<double> continued{0};
  const auto serve = [&](Wire& wire, const Head& head) {
    const std::string half(kBody / 2, 'x');
    if (!wire.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n" + half)) return false;
    if (arguments.trouble && !hung.exchange(true)) {
      Record("upstream: hangs after the first half of %s", head["x-request-id"].c_str());
      SleepFor(kHang);
    }
    continued = Now();
    gave_all = wire.Write(half);
    Record("upstream: the second half of %s %s", head["x-request-id"].c_str(),
           gave_all ? "is written" : "can't be written: the connection is closed");
    return gave_all.load();
  };
  Server first(serve), second(serve), third(serve);
  const std::vector<Target> targets = {
      {"s-1", first.address()}, {"s-2", second.address()}, {"s-3", third.address()}};
  Discovery discovery(targets, 41);
  Sidecar sidecar(arguments, {discovery.address(), "pushed", ListText(41, targets), false});
  sidecar.StartAndWait();

  int broken = 0;
  for (int i = 0; i < 2; ++i) {  // the first answer meets the hang
    Wire wire;
    if (wire.Connect(sidecar.listen()) != 0) Stop("no connection to the sidecar");
    const std::string id = NewId();
    const double sent = Now();
    if (!wire.Write(GetText("/week-view/k", id, 3000))) Stop("the request could not be written");
    const Outcome outcome = ReadAnswer(wire, sent + 30);
    if (outcome.status != 200) Stop("the request was not served");
    if (!outcome.whole) ++broken;
    Record("request %s: status %d, %zu of %zu bytes, %s after %.3f s%s", id.c_str(), outcome.status, outcome.body,
           kBody, outcome.whole ? "whole" : outcome.cut ? "cut off" : "not ended", outcome.ended - sent,
           outcome.whole ? "" : "  LOST");
  }
  SleepFor(arguments.trouble ? 3 : 0);
  sidecar.RecordLogs();
  Finish(broken > 0);
}
