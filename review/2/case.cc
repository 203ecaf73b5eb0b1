// Proper clients send short requests, and others upload large bodies at 200 kB a second. With the disruption, the
// platform starts a new version meanwhile and ends the old one. All clients together hold 82 connections at most: a
// third of the sidecar's 256 descriptors.
#include "../common.hpp"

namespace {

using namespace review;

constexpr int kUpstreams = 9;
constexpr int kClients = 16;
constexpr double kClientInterval = 0.2;
constexpr int kEarlyUploads = 8;           // begun before the new version
constexpr int kUploads = 58;               // begun after it
constexpr int kPiece = 100'000;            // bytes of a body, each kPieceInterval
constexpr double kPieceInterval = 0.5;
constexpr std::size_t kBodyBytes = 2'000'000;
constexpr int kUploadTimeoutMs = 1500;     // 60% of lesson-move's give-up time
constexpr double kReadyWithin = 6;         // DAYS: "The new process has 6 s to say yes"
constexpr double kKillAfter = 3.7;         // DAYS: "SIGKILL after the longest deadline (3 s at most) and 0.7 s"
constexpr double kEnd = 14;

// Sends a body of kBodyBytes piece by piece. An answer before its end, or a close, ends the upload.
void Upload(int number, const Sidecar& sidecar, Record& record, Counts& counts) {
  const std::string id = "up-" + std::to_string(number);
  const int connection = Connect(sidecar.port());
  if (connection < 0) return record.Line("%s: connection refused", id.c_str());
  bool open = WriteAll(connection, "POST /lesson-move/k1 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id +
                                       "\r\nX-Timeout-Ms: " + std::to_string(kUploadTimeoutMs) +
                                       "\r\nIdempotency-Key: key-" + id +
                                       "\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n");
  Reader reader(connection);
  std::size_t sent = 0;
  pollfd answered{connection, POLLIN, 0};
  while (open && sent < kBodyBytes && ::poll(&answered, 1, 0) == 0) {
    const std::size_t piece = std::min<std::size_t>(kPiece, kBodyBytes - sent);
    open = WriteAll(connection, std::string(piece, 'b'));
    sent += piece;
    SleepFor(kPieceInterval);
  }
  const bool whole = open && sent == kBodyBytes;
  if (whole) ++counts.sent;
  Reader::Message answer;
  const auto read = reader.Read(answer, Now() + kUploadTimeoutMs / 1000.0 + kAnswerGrace + kSlack);
  ::close(connection);
  if (read == ReadStatus::kMessage) {
    if (whole) ++(answer.status() == 200 ? counts.served : answer.status() == 503 ? counts.refused : counts.failed);
    record.Line("answer %d for %s after %zu bytes of its body", answer.status(), id.c_str(), sent);
  } else if (!whole) {
    record.Line("%s: closed after %zu bytes of its body, so it was not taken", id.c_str(), sent);
  } else if (read == ReadStatus::kClosed) {
    ++counts.failed;
    record.Line("%s: closed unanswered", id.c_str());
  } else {
    ++counts.lost;
    record.Line("LOST %s: no answer", id.c_str());
  }
}

int Run(const std::string& root, Record& record) {
  std::vector<std::unique_ptr<Upstream>> upstreams;
  std::string targets;
  for (int i = 0; i < kUpstreams; ++i) {
    upstreams.push_back(std::make_unique<Upstream>("s-" + std::to_string(i), record, Upstream::Options{}));
    targets += (i > 0 ? "," : "") + upstreams.back()->Entry();
  }
  const Discovery discovery(targets);
  const Sidecar::Limits limits{64, 256};
  Sidecar old_version(root, discovery, limits, true);
  std::unique_ptr<Sidecar> new_version;
  old_version.AwaitUp();
  Counts counts;
  const double begin = Now();
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(
        [&, i] { Client(i, old_version, record, counts).Run(begin + kEnd, kClientInterval, kClasses); });
  }
  SleepFor(1);
  const auto upload = [&](int number) {
    clients.emplace_back([&, number] { Upload(number, old_version, record, counts); });
  };
  for (int i = 0; i < kEarlyUploads; ++i, SleepFor(0.05)) upload(i);
  SleepFor(1);
  std::thread upgrade;
  if (Trouble()) {
    new_version = std::make_unique<Sidecar>(root, discovery, limits, true, &old_version);
    const double started = Now();
    while (!new_version->IsReady()) {
      if (Now() > started + kReadyWithin) throw CannotRun("the new process is not ready after 6 s");
      SleepFor(0.05);
    }
    record.Line("the new process is ready after %.3f s; SIGTERM to the old one", Now() - started);
    old_version.Signal(SIGTERM);
    upgrade = std::thread([&, terminated = Now()] {
      while (Now() < terminated + kKillAfter && old_version.IsRunning()) {
        record.Line("descriptors of 256: old process %d, new process %d", old_version.Descriptors(),
                    new_version->Descriptors());
        SleepFor(0.25);
      }
      record.Line("the old process %s", old_version.IsRunning() ? "gets SIGKILL" : "has ended");
      old_version.Signal(SIGKILL);
    });
  }
  for (int i = 0; i < kUploads; ++i, SleepFor(0.02)) upload(kEarlyUploads + i);
  if (upgrade.joinable()) upgrade.join();
  for (auto& client : clients) client.join();
  Sidecar& serving = new_version ? *new_version : old_version;
  record.Line("at the end: GET /up answered %d, process %s", serving.Up(1), serving.IsRunning() ? "runs" : "has ended");
  record.Line("sent %d, served %d, refused %d, failed %d, lost %d", counts.sent.load(), counts.served.load(),
              counts.refused.load(), counts.failed.load(), counts.lost.load());
  record.Line("the log of the old process:\n%s", old_version.Log().c_str());
  if (new_version) record.Line("the log of the new process:\n%s", new_version->Log().c_str());
  if (counts.served == 0) throw CannotRun("no request was served");
  return counts.lost > 0 || !serving.IsRunning() ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return Main(argc, argv, Run); }
