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

// Declares a chunked body, sends 64 KB of plain text instead, waits a moment for the error that it is owed, and goes.
const char* ImproperPeer(int number, const Sidecar& sidecar) {
  const int connection = Connect(sidecar.port());
  if (connection < 0) return "refused";
  std::string text = "POST /lesson-move/k1 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: bad-" +
                     std::to_string(number) + "\r\nX-Timeout-Ms: 1500\r\nIdempotency-Key: bad-" +
                     std::to_string(number) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::size_t head = text.size();
  while (text.size() < head + 64000) text += "room=B214 lesson=7a teacher=kl ";
  const timeval patience{1, 0};
  ::setsockopt(connection, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
  const bool written = WriteAll(connection, text);
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
    clients.emplace_back([&, i] { Client(i, sidecar, record, counts).Run(begin + peers_end + kAfterwards, 0.1, kClasses); });
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
