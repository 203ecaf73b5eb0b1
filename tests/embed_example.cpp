// Example of embedding the decision module: passes events to it and executes the actions that it returns.
#include <cstdio>
#include <exception>
#include <variant>
#include <vector>

#include "balancer/balancer.h"

using namespace std::chrono_literals;

// Prints the actions that a real host would execute with sockets and timers. Other actions are ignored for
// brevity.
struct ActionPrinter {
  void operator()(const lb::SendAttempt& a) { std::printf("send to %s\n", a.upstream.value.c_str()); }
  void operator()(const lb::RejectRequest&) { std::printf("reject\n"); }
  void operator()(const lb::FailRequest&) { std::printf("fail\n"); }
  void operator()(const lb::LogLine& a) { std::printf("log: %s\n", a.text.c_str()); }
  template <typename Other>
  void operator()(const Other&) {}
};

int main() try {
  lb::Settings settings;
  settings.classes.push_back({.name = "lookup",
                              .latency_objective = 200ms,
                              .deadline = 1s,
                              .idempotency = lb::Idempotency::kIdempotent});
  lb::Balancer balancer(settings, /*seed=*/42);

  std::vector<lb::Action> actions;
  lb::TimePoint now{1s};  // from the sidecar's own monotonic clock
  lb::MembershipUpdate list;
  list.kind = lb::MembershipUpdate::Kind::kRestored;
  list.upstreams.push_back({.id = {"10.0.0.1:80"}});
  list.upstreams.push_back({.id = {"10.0.0.2:80"}});
  balancer.Handle(now, list, actions);
  balancer.Handle(now, lb::RequestArrived{.request = lb::RequestId{1}, .deadline = now + 1s}, actions);

  ActionPrinter print_action;
  bool sent = false;
  for (const lb::Action& action : actions) {
    std::visit(print_action, action);
    sent = sent || std::holds_alternative<lb::SendAttempt>(action);
  }
  return sent ? 0 : 1;
} catch (const std::exception& error) {
  std::printf("%s\n", error.what());
  return 1;
}
