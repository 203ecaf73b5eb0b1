// Proper clients send all four classes to one sidecar. With the disruption, improper peers come one after another:
// each declares a chunked body, sends 64 KB that are no chunks, and goes.
#include "../common.hpp"

namespace {

using namespace review;

constexpr int kUpstreams = 9;
constexpr int kClients = 4;
constexpr int kPeers = 150;
constexpr double kPeerInterval = 0.1;   // seconds from one peer to the next
constexpr double kPeerStay = 0.2;       // how long a peer stays
constexpr double kWarmUp = 2;
constexpr double kAfterwards = 10;
constexpr double kAnswerGrace = 0.5;    // STANDING: "Up to half a second after its time it only earns nothing"
constexpr double kSlack = 0.05;         // PROTOCOL: "every time limit is 50 ms longer"

struct RequestClass {
  const char* name;
  const char* method;
  int timeout_ms;  // 0.6 of the class's give-up time
  bool keyed;
};
constexpr RequestClass kClasses[] = {{"week-view", "GET", 1800, false},
                                     {"room-check", "GET", 900, false},
                                     {"lesson-move", "POST", 1500, true},
                                     {"term-publish", "POST", 2400, false}};

struct Counts {
  std::atomic<int> sent{0}, served{0}, refused{0}, failed{0}, lost{0};
};

class Client {
 public:
  Client(int number, const Sidecar& sidecar, Record& record, Counts& counts)
      : number_(number), sidecar_(sidecar), record_(record), counts_(counts) {}

  void Run(double until) {
    for (int i = 0; Now() < until; ++i) {
      Send(kClasses[i % 4], "c" + std::to_string(number_) + "-" + std::to_string(i));
      SleepFor(0.1);
    }
    Leave();
  }

 private:
  enum class End { kAnswered, kUnanswered, kClosed, kRefused };

  void Send(const RequestClass& request_class, const std::string& id) {
    std::string text = std::string(request_class.method) + " /" + request_class.name + "/k1 HTTP/1.1\r\n" +
                       "Host: api.internal\r\nX-Request-ID: " + id +
                       "\r\nX-Timeout-Ms: " + std::to_string(request_class.timeout_ms) + "\r\n";
    if (request_class.keyed) text += "Idempotency-Key: key-" + id + "\r\n";
    if (std::string(request_class.method) == "POST") text += "Content-Length: 4\r\n";
    text += "\r\n";
    if (std::string(request_class.method) == "POST") text += "body";
    ++counts_.sent;
    int status = 0;
    End end = End::kClosed;
    // A close that crosses the request: the client sends it once more on a new connection (PROTOCOL).
    for (int attempt = 0; attempt < 2 && end == End::kClosed; ++attempt) {
      end = Try(text, request_class, id, status);
    }
    if (end == End::kUnanswered) {
      ++counts_.lost;
      record_.Line("LOST %s %s: written to an accepted connection, no answer %d ms + 550 ms later", id.c_str(),
                   request_class.name, request_class.timeout_ms);
    } else if (end == End::kAnswered) {
      ++(status == 200 ? counts_.served : status == 503 || status == 429 ? counts_.refused : counts_.failed);
      record_.Line("answer %d for %s %s", status, id.c_str(), request_class.name);
    } else {
      ++counts_.failed;
      record_.Line("%s %s: %s", id.c_str(), request_class.name,
                   end == End::kRefused ? "connection refused" : "closed twice unanswered");
    }
  }

  End Try(const std::string& text, const RequestClass& request_class, const std::string& id, int& status) {
    if (connection_ < 0) {
      connection_ = Connect(sidecar_.port());
      if (connection_ < 0) return End::kRefused;
      reader_.emplace(connection_);
    }
    if (!WriteAll(connection_, text)) {
      Leave();
      return End::kClosed;
    }
    record_.Line("sent %s %s", id.c_str(), request_class.name);
    Reader::Message answer;
    const double until = Now() + request_class.timeout_ms / 1000.0 + kAnswerGrace + kSlack;
    ReadStatus read = ReadStatus::kMessage;
    do {
      read = reader_->Read(answer, until);
    } while (read == ReadStatus::kMessage && answer.status() / 100 == 1);
    if (read == ReadStatus::kMessage) {
      status = answer.status();
      if (answer.Header("connection") == "close") Leave();
      return End::kAnswered;
    }
    Leave();
    return read == ReadStatus::kClosed ? End::kClosed : End::kUnanswered;
  }

  void Leave() {
    if (connection_ >= 0) ::close(connection_);
    connection_ = -1;
  }

  const int number_;
  const Sidecar& sidecar_;
  Record& record_;
  Counts& counts_;
  int connection_ = -1;
  std::optional<Reader> reader_;
};

// Declares a chunked body, sends 64 KB of plain text instead, waits a moment for the error that it is owed, and goes.
const char* ImproperPeer(int number, const Sidecar& sidecar) {
  const int connection = Connect(sidecar.port());
  if (connection < 0) return "refused";
  std::string text = "POST /lesson-move/k1 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: bad-" +
                     std::to_string(number) + "\r\nX-Timeout-Ms: 1500\r\nIdempotency-Key: bad-" +
                     std::to_string(number) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::size_t head = text.size();
  while (text.size() < head + 64000) text += "room=B214 lesson=7a teacher=kl ";
  const bool written = ::send(connection, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0;
  Reader reader(connection);
  Reader::Message answer;
  const auto read = written ? reader.ReadHead(answer, Now() + kPeerStay) : ReadStatus::kClosed;
  ::close(connection);
  return read == ReadStatus::kMessage ? "answered" : read == ReadStatus::kClosed ? "closed" : "neither answered nor closed";
}

int Run(const std::string& root, Record& record) {
  std::vector<std::unique_ptr<Upstream>> upstreams;
  std::string targets;
  for (int i = 0; i < kUpstreams; ++i) {
    upstreams.push_back(std::make_unique<Upstream>("s-" + std::to_string(i), record, Upstream::Options{}));
    targets += (i > 0 ? "," : "") + upstreams.back()->Entry();
  }
  const Discovery discovery(targets);
  Sidecar sidecar(root, discovery, {64, 256});
  sidecar.AwaitUp();
  Counts counts;
  const double peers_end = kWarmUp + kPeers * kPeerInterval;
  const double begin = Now();
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] { Client(i, sidecar, record, counts).Run(begin + peers_end + kAfterwards); });
  }
  std::vector<std::thread> peers;
  for (int i = 0; i < kPeers && Trouble(); ++i) {
    SleepFor(begin + kWarmUp + i * kPeerInterval - Now());
    peers.emplace_back([&, i] { record.Line("improper peer %d: %s", i, ImproperPeer(i, sidecar)); });
  }
  for (auto& peer : peers) peer.join();
  for (auto& client : clients) client.join();
  const int up = sidecar.Up(3);
  record.Line("at the end: GET /up answered %d (0: not within 3 s), process %s", up,
              sidecar.IsRunning() ? "runs" : "has ended");
  record.Line("sent %d, served %d, refused %d, failed %d, lost %d", counts.sent.load(), counts.served.load(),
              counts.refused.load(), counts.failed.load(), counts.lost.load());
  record.Line("the sidecar's log:\n%s", sidecar.Log().c_str());
  if (counts.served == 0) throw CannotRun("no request was served");
  return counts.lost > 0 || !sidecar.IsRunning() ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return Main(argc, argv, Run); }
