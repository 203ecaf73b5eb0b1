// Embeds the decision module: hands it events and carries out the actions that come back.
#include <cstdio>
#include <exception>
#include <variant>
#include <vector>

#include "balancer/balancer.h"

using namespace std::chrono_literals;

// Stands for the sockets and timers of a real host. The actions not named here are left out for brevity.
struct CarryOut {
  void operator()(const lb::SendAttempt& a) { std::printf("send to %s\n", a.upstream.value.c_str()); }
  void operator()(const lb::RejectRequest&) { std::printf("refuse\n"); }
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

  CarryOut carry_out;
  bool sent = false;
  for (const lb::Action& action : actions) {
    std::visit(carry_out, action);
    sent = sent || std::holds_alternative<lb::SendAttempt>(action);
  }
  return sent ? 0 : 1;
} catch (const std::exception& error) {
  std::printf("%s\n", error.what());
  return 1;
}
