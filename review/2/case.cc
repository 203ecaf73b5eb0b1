// A third of the descriptors are clients, each with one request. With the disruption, bodies and answers are 64 KiB
// long, and upstreams write slowly: a second passes before the last byte of an answer. The platform kills the sidecar if
// it is over its memory limit.
#include "../common.hpp"

namespace {

using namespace review;

constexpr int kUpstreams = 12;
constexpr Sidecar::Limits kLimits{32, 1024};  // the least memory and the most descriptors of TERMS
constexpr int kClients = kLimits.sockets / 3;
constexpr std::size_t kLarge = 65536;         // PROTOCOL: "A body holds 64 KiB at most"
constexpr std::size_t kSmall = 1024;
constexpr int kTimeoutMs = 3200;              // 80% of term-publish's give-up time
constexpr double kWork = 1;
constexpr double kPause = 1;
constexpr double kInterval = 0.003;           // from one client's request to the next one's

int Run(const std::string& root, Record& record) {
  const std::size_t size = Trouble() ? kLarge : kSmall;
  Upstream::Options options;
  options.work = kWork;
  options.answer_bytes = size;
  options.answer_pause = kPause;
  std::vector<std::unique_ptr<Upstream>> upstreams;
  std::string targets;
  for (int i = 0; i < kUpstreams; ++i) {
    upstreams.push_back(std::make_unique<Upstream>("s-" + std::to_string(i), record, options));
    targets += (i > 0 ? "," : "") + upstreams.back()->Entry();
  }
  const Discovery discovery(targets);
  Sidecar sidecar(root, discovery, kLimits);
  sidecar.AwaitUp();
  std::atomic<int> answered{0}, broken{0}, unanswered{0};
  std::atomic<bool> done{false}, killed{false};
  std::size_t most = 0;
  std::thread platform([&] {
    while (!done) {
      most = std::max(most, sidecar.Memory());
      if (!killed && most > static_cast<std::size_t>(kLimits.memory_mb) * 1024 * 1024) {
        killed = true;
        record.Line("the platform kills the sidecar: %.1f MiB of %d MB", static_cast<double>(most) / 1024 / 1024,
                    kLimits.memory_mb);
        sidecar.Signal(SIGKILL);
      }
      SleepFor(0.01);
    }
  });
  std::vector<std::thread> clients;
  const double begin = Now() + 1;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const std::string id = "c-" + std::to_string(i);
      const int connection = Connect(sidecar.port());
      SleepFor(begin + i * kInterval - Now());
      const bool sent = WriteAll(connection, "POST /term-publish/k1 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " +
                                                 id + "\r\nX-Timeout-Ms: " + std::to_string(kTimeoutMs) +
                                                 "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
                                                 std::string(size, 'b'));
      Reader reader(connection);
      Reader::Message answer;
      const auto read = reader.Read(answer, Now() + kTimeoutMs / 1000.0 + kAnswerGrace + kSlack);
      ::close(connection);
      const bool whole = read == ReadStatus::kMessage;
      ++(whole ? answered : read == ReadStatus::kClosed ? broken : unanswered);
      record.Line("%s: %s, %s %d", id.c_str(), sent ? "sent" : "not sent whole",
                  whole                              ? "answer"
                  : read == ReadStatus::kClosed ? "connection broken"
                                                     : "no answer",
                  answer.status());
    });
  }
  for (auto& client : clients) client.join();
  done = true;
  platform.join();
  record.Line("%d requests of %zu bytes: %d answered, %d broken off, %d without an answer", kClients, size,
              answered.load(), broken.load(), unanswered.load());
  record.Line("the sidecar's memory: %.1f MiB at the most, of %d MB; it %s", static_cast<double>(most) / 1024 / 1024,
              kLimits.memory_mb, killed ? "was killed for it" : sidecar.IsRunning() ? "runs" : "has ended");
  record.Line("the sidecar's log:\n%s", sidecar.Log().c_str());
  return killed || !sidecar.IsRunning() ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return Main(argc, argv, Run); }
