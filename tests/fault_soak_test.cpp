// Seeded soak of the real program: clients of many kinds that keep using their connections, upstreams with
// faults, signals in series, an upgrade under load that ends with SIGKILL at the earliest time the platform
// allows, and in some runs a crowd of idle and improper clients. LB_SOAK_SEEDS=FIRST-LAST plays other seeds.
#include <sys/wait.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "tests/operator_steps.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {
namespace {

using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

constexpr int kMemoryMb = 32;
constexpr int kClients = 16;
constexpr int kUpstreams = 4;
constexpr int kTimeoutMs = 1500;
constexpr int kObjectiveMs = 700;
// A final answer after its time and this is late: 0.5 s by the rules, the rest for a busy machine.
constexpr milliseconds kLateAfter{3500};
constexpr milliseconds kLoadTime{6000};
// SIGKILL comes this long after SIGTERM at the earliest: the longest deadline, 3 s at most, and 0.7 s.
constexpr milliseconds kKillAfter{kTimeoutMs + 700};
constexpr milliseconds kBodyDelay{900};  // longer than the objective
constexpr std::size_t kLongBody = 120000;
constexpr std::size_t kUpload = 100000;

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  int Below(int limit) { return static_cast<int>(engine_() % static_cast<std::uint64_t>(limit)); }

 private:
  std::mt19937_64 engine_;
};

// What the peers have seen; shared by all threads.
class Record {
 public:
  void CountRun(const std::string& id) {
    const std::lock_guard lock(mutex_);
    ++runs_[id];
  }
  void Violation(const std::string& text) {
    const std::lock_guard lock(mutex_);
    violations_.push_back(text);
  }
  // Adds a violation for each request that must run once and ran more often.
  void CheckRuns() {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, runs] : runs_) {
      if (runs > 1) violations_.push_back(id + " ran " + std::to_string(runs) + " times");
    }
  }
  std::vector<std::string> violations() const {
    const std::lock_guard lock(mutex_);
    return violations_;
  }
  std::atomic<int> answered{0};
  std::atomic<int> served{0};

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::vector<std::string> violations_;
};

// An upstream whose behaviour follows from the last part of the target.
class FaultyUpstream {
 public:
  explicit FaultyUpstream(Record& record)
      : upstream_([&record](Wire& wire, const Request& request, int) { Respond(record, wire, request); }) {}
  std::string address() const { return upstream_.address(); }

 private:
  static void Respond(Record& record, Wire& wire, const Request& request) {
    const std::string target(request.target());
    const std::string kind = target.substr(target.rfind('/') + 1);
    const bool runs = kind != "full";
    if (runs && target.starts_with("/submit/")) record.CountRun(std::string(request["X-Request-ID"]));
    if (kind == "reset") return wire.Reset();
    if (kind == "error") return static_cast<void>(wire.Answer(500, "error"));
    if (kind == "full") return static_cast<void>(wire.Answer(503, "full", "X-Not-Processed: 1\r\n"));
    if (kind == "slow") std::this_thread::sleep_for(milliseconds(300));
    if (kind == "late") return RespondLate(wire);
    wire.Answer(200, kind);
  }
  // Sends the head at once, and a long body only after the latency objective.
  static void RespondLate(Wire& wire) {
    wire.Write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(kBodyDelay);
    wire.Write(std::string(kLongBody, 'b'));
    wire.socket.close();
  }

  Upstream upstream_;
};

// One client, which keeps its connection as long as the sidecar does.
class SoakClient {
 public:
  SoakClient(std::uint16_t port, std::uint64_t seed, int number, Record& record)
      : port_(port),
        random_(seed * 1000 + static_cast<std::uint64_t>(number)),
        record_(record),
        prefix_("s" + std::to_string(number) + "-") {}

  void Run(Steady::time_point until) {
    while (Steady::now() < until) SendOne();
  }

 private:
  std::string NewId() { return prefix_ + std::to_string(++last_id_); }

  void SendOne() {
    const std::string id = NewId();
    switch (random_.Below(40)) {
      case 0:
        return Exchange(id, GetText("/page/late", id, kTimeoutMs), kLongBody);
      case 1:
        return Exchange(id, PostText("/keyed/late", id, "x", kTimeoutMs, "Idempotency-Key: " + id + "\r\n"),
                        kLongBody);
      case 2:
        return Exchange(id, PostText("/submit/late", id, "x", kTimeoutMs), kLongBody);
      case 3:
        return Exchange(id, PostText("/submit/quick", id, std::string(kUpload, 'u'), kTimeoutMs));
      case 4:
        return Exchange(id, WithShortFields(GetText("/page/quick", id, kTimeoutMs)));
      case 5:
        return Pipeline();
      case 6:
        return LeaveAndRepeat(id);
      case 7:
        return WriteSlowly(id);
      case 8:
        return Exchange(id, GetText(Faulty("/page/"), id, kTimeoutMs));
      case 9:
        return Exchange(id, PostText(Faulty("/submit/"), id, "x", kTimeoutMs));
      default:
        return Exchange(id, PostText("/submit/quick", id, "x", kTimeoutMs));
    }
  }

  std::string Faulty(const std::string& path) {
    const std::vector<std::string> kinds = {"reset", "error", "full", "slow"};
    return path + kinds[static_cast<std::size_t>(random_.Below(4))];
  }

  static std::string WithShortFields(const std::string& text) {
    std::string fields;
    for (int i = 0; i < 1500; ++i) fields += "a:x\r\n";
    return text.substr(0, text.size() - 2) + fields + "\r\n";
  }

  // Opens a connection if there is none. False if nobody accepts.
  bool Connect() {
    if (client_) return true;
    try {
      client_ = std::make_unique<Client>(port_);
      return true;
    } catch (const boost::system::system_error& e) {
      record_.Violation(std::string("connect: ") + e.what());
      return false;
    }
  }

  // Sends the request and reads its answer, once more on a new connection if the sidecar closed the old one
  // between requests. `body`: the least size of a body that must come whole; 0: any answer is allowed.
  void Exchange(const std::string& id, const std::string& text, std::size_t body = 0) {
    const auto began = Steady::now();
    for (int tries = 0; tries < 2; ++tries) {
      if (!Connect()) return;
      const auto response = client_->Send(text) ? ReadFinal() : std::nullopt;
      if (response) return CheckAnswer(id, *response, body, began);
      client_.reset();
    }
    record_.Violation(id + " lost");
  }

  std::optional<Response> ReadFinal() {
    auto response = client_->Read();
    while (response && response->result_int() / 100 == 1) response = client_->Read();
    return response;
  }

  void CheckAnswer(const std::string& id, const Response& response, std::size_t body,
                   Steady::time_point began) {
    const unsigned status = response.result_int();
    ++record_.answered;
    if (status == 200) ++record_.served;
    if (Steady::now() - began > milliseconds(kTimeoutMs) + kLateAfter) record_.Violation(id + " late");
    if (status == 400 || status == 408) record_.Violation(id + " got " + std::to_string(status));
    if (status == 200 && response.body().size() < body) record_.Violation(id + " cut");
    // A late body is not a fault of its upstream; only load shedding may refuse the request.
    if (body > 0 && (status == 502 || status == 504)) {
      record_.Violation(id + " got " + std::to_string(status) + " instead of a late body");
    }
    if (!response.keep_alive()) client_.reset();
  }

  void Pipeline() {
    constexpr int kRequests = 6;
    if (!Connect()) return;
    std::string requests;
    for (int i = 0; i < kRequests; ++i) requests += GetText("/page/quick", NewId(), kTimeoutMs);
    bool open = client_->Send(requests);
    for (int i = 0; i < kRequests && open; ++i) {
      const auto response = ReadFinal();
      open = response && response->keep_alive();
      if (response) ++record_.answered;
    }
    if (!open) client_.reset();
  }

  // Leaves while the request runs, with bytes unread, and sends its id again elsewhere.
  void LeaveAndRepeat(const std::string& id) {
    const std::string text = PostText("/submit/slow", id, "x", kTimeoutMs);
    if (!Connect()) return;
    client_->Send(text + GetText("/page/quick", NewId(), kTimeoutMs));
    std::this_thread::sleep_for(milliseconds(20 + random_.Below(100)));
    client_.reset();
    if (!Connect()) return;
    if (client_->Send(text)) ReadFinal();
    client_.reset();
  }

  void WriteSlowly(const std::string& id) {
    const std::string text = PostText("/submit/quick", id, std::string(5000, 'w'), kTimeoutMs);
    if (!Connect()) return;
    bool open = true;
    for (std::size_t i = 0; i < text.size() && open; i += 1200) {
      open = client_->Send(text.substr(i, 1200));
      std::this_thread::sleep_for(milliseconds(10));
    }
    const auto response = open ? ReadFinal() : std::nullopt;
    if (response) ++record_.answered;
    if (!response || !response->keep_alive()) client_.reset();
  }

  const std::uint16_t port_;
  Random random_;
  Record& record_;
  const std::string prefix_;
  int last_id_ = 0;
  std::unique_ptr<Client> client_;
};

class FaultSoak : public ::testing::TestWithParam<int> {
 protected:
  std::unique_ptr<SidecarProcess> Start(const json& targets, const Discovery& discovery,
                                        const std::string& listen) {
    json settings = Settings();
    for (json& request_class : settings["Classes"]) {
      request_class["Aim"] = kObjectiveMs * 1000;
      request_class["HardLimit"] = kTimeoutMs * 1000;
    }
    SidecarProcess::Options options = WithAdmin(targets, folder_.path());
    options.settings = settings;
    options.memory_mb = kMemoryMb;
    options.discovery = discovery.address();
    options.listen = listen;
    auto sidecar = std::make_unique<SidecarProcess>(options);
    EXPECT_TRUE(sidecar->Listening());
    EXPECT_TRUE(Eventually([&] { return sidecar->Status("GET", "/ready") == 200; }));
    return sidecar;
  }

  static void ExpectWithinMemory([[maybe_unused]] const SidecarProcess& sidecar) {
#ifndef __SANITIZE_ADDRESS__  // the sanitizer's own memory is not limited
    EXPECT_LE(sidecar.peak_memory_kib(), std::size_t{kMemoryMb} * 1024);
#endif
  }

  // Replaces the sidecar under load; the old process gets SIGKILL at the earliest time.
  void Upgrade(std::unique_ptr<SidecarProcess>& sidecar, const json& targets, const Discovery& discovery) {
    auto next = Start(targets, discovery, "127.0.0.1:" + std::to_string(sidecar->port()));
    sidecar->Signal(SIGTERM);
    const auto kill_at = Steady::now() + kKillAfter;
    ExpectWithinMemory(*sidecar);
    std::this_thread::sleep_until(kill_at);
    sidecar->Signal(SIGKILL);
    const int code = sidecar->Wait();
    EXPECT_TRUE(code == 0 || code == 128 + SIGKILL) << code << sidecar->log();
    old_logs_ += sidecar->log();
    sidecar = std::move(next);
  }

  void Signals(SidecarProcess& sidecar, Random& random) {
    for (int i = 0; i < 3; ++i) {
      sidecar.Signal(SIGHUP);
      sidecar.Pause();
      std::this_thread::sleep_for(milliseconds(random.Below(140)));
      sidecar.Signal(SIGCONT);
      std::this_thread::sleep_for(milliseconds(50 + random.Below(200)));
    }
  }

  Folder folder_;
  std::string old_logs_;
};

TEST_P(FaultSoak, BreaksNoRule) {
  const auto seed = static_cast<std::uint64_t>(GetParam());
  Random random(seed);
  Record record;
  std::vector<std::unique_ptr<FaultyUpstream>> upstreams;
  json targets = json::array();
  for (int i = 0; i < kUpstreams; ++i) {
    upstreams.push_back(std::make_unique<FaultyUpstream>(record));
    targets.push_back(Target("u" + std::to_string(i), upstreams.back()->address()));
  }
  Discovery discovery(targets);
  auto sidecar = Start(targets, discovery, "127.0.0.1:0");
  const std::uint16_t port = sidecar->port();
  std::vector<std::unique_ptr<Client>> crowd;
  if (random.Below(3) == 0) {
    for (int i = 0; i < 60; ++i) {
      crowd.push_back(std::make_unique<Client>(port));
      if (i % 2 == 0) crowd.back()->Send("GET /page/k HTTP/1.1\r\nX-Half: ");
    }
  }

  const auto until = Steady::now() + kLoadTime;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&record, port, seed, i, until] { SoakClient(port, seed, i, record).Run(until); });
  }
  Signals(*sidecar, random);
  if (random.Below(2) == 0) Upgrade(sidecar, targets, discovery);
  Signals(*sidecar, random);
  for (std::thread& client : clients) client.join();
  record.CheckRuns();

  RecordProperty("answered", std::to_string(record.answered));
  RecordProperty("served", std::to_string(record.served));
  EXPECT_GT(record.served, 0);
  for (const std::string& violation : record.violations()) {
    ADD_FAILURE() << "seed " << seed << ": " << violation;
  }
  ExpectWithinMemory(*sidecar);
  EXPECT_TRUE(HealthCheckBecomes(*sidecar, 200));
  if (HasFailure()) std::cerr << old_logs_ << sidecar->log();
}

// The seeds to play: a few in each run of all tests, others by hand.
std::pair<int, int> Seeds() {
  constexpr std::pair kDefault(1, 6);
  const char* const text = std::getenv("LB_SOAK_SEEDS");
  if (text == nullptr) return kDefault;
  const std::string range = text;
  const auto dash = range.find('-');
  return {std::stoi(range), std::stoi(range.substr(dash + 1))};
}

INSTANTIATE_TEST_SUITE_P(Seeds, FaultSoak, ::testing::Range(Seeds().first, Seeds().second + 1));

}  // namespace
}  // namespace lb::sidecar::testing
