// The memory of the sidecar program while many messages are in flight at once, with the least memory and the
// most descriptors that the deployment allows (TERMS, DEPLOY).
#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

constexpr int kMemoryMb = 32;
constexpr int kSockets = 1024;
#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t kClients = 100;  // the program is many times slower, and its memory is not checked
#else
constexpr std::size_t kClients = kSockets / 3;  // clients may hold a third of the descriptors
#endif
constexpr std::size_t kUpstreams = 12;
constexpr std::size_t kBufferedBody = std::size_t{64} * 1024;  // the largest body that is held in memory
constexpr std::size_t kStreamedBody = std::size_t{150} * 1024;
constexpr std::size_t kUnfinishedLine = 31000;  // fits into what a connection reads ahead
constexpr int kTimeoutMs = 60000;               // far longer than a busy machine takes

std::string ResponseText(std::size_t body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body) + "\r\n\r\n" + std::string(body, '.');
}

void RespondAtOnce(Wire& wire, int /*number*/) {
  while (wire.ReadRequest()) wire.Write(ResponseText(1));
}

class MemoryLimit : public ::testing::Test {
 protected:
  // Starts the sidecar and its upstreams, each of which runs `script` for each connection.
  void Start(const Peer::Script& script, bool small_buffers = false) {
    ASSERT_TRUE(RaiseDescriptorLimit());
    json targets = json::array();
    for (std::size_t i = 0; i < kUpstreams; ++i) {
      upstreams_.push_back(std::make_unique<Peer>(script, small_buffers));
      targets.push_back(Target("u" + std::to_string(i), upstreams_.back()->address()));
    }
    json settings = Settings();
    for (json& request_class : settings["Classes"]) {
      request_class["Aim"] = kTimeoutMs * 1000;
      request_class["HardLimit"] = kTimeoutMs * 1000;
    }
    SidecarProcess::Options options = With(targets, settings);
    options.memory_mb = kMemoryMb;
    options.sockets = kSockets;
    sidecar_.emplace(options);
    ASSERT_TRUE(sidecar_->Listening());
  }

  void Connect(std::size_t clients) {
    for (std::size_t i = 0; i < clients; ++i) clients_.push_back(std::make_unique<Client>(sidecar_->port()));
  }

  // Sends one request with a body of this size from each client; a GET request for an empty body.
  void SendRequests(std::size_t body) {
    for (std::size_t i = 0; i < clients_.size(); ++i) {
      const std::string id = "m" + std::to_string(i);
      const std::string text = body > 0 ? PostText("/submit/k", id, std::string(body, 'b'), kTimeoutMs)
                                        : GetText("/page/k", id, kTimeoutMs);
      ASSERT_TRUE(clients_[i]->Send(text));
    }
  }

  void ExpectAllServed(std::size_t body) {
    for (const auto& client : clients_) {
      const auto response = client->Read();
      ASSERT_TRUE(response);
      ASSERT_EQ(response->result_int(), 200U) << response->body() << sidecar_->log();
      ASSERT_EQ(response->body().size(), body);
    }
  }

  void ExpectUsualClientServed() {
    Client usual_client(sidecar_->port());
    const auto response = usual_client.Get("/page/k", "usual");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200U);
  }

  void ExpectWithinLimit() {
    const std::size_t peak = sidecar_->peak_memory_kib();
    RecordProperty("peak_memory_kib", std::to_string(peak));
#ifndef __SANITIZE_ADDRESS__  // the sanitizer's own memory is not limited
    EXPECT_LE(peak, std::size_t{kMemoryMb} * 1024);
#endif
  }

  std::vector<std::unique_ptr<Peer>> upstreams_;
  std::optional<SidecarProcess> sidecar_;
  std::vector<std::unique_ptr<Client>> clients_;
};

// Guards against holding every body and response that is small enough for it, whatever they are together.
TEST_F(MemoryLimit, IsKeptWithBodiesAndResponsesOfTheBufferedSize) {
  std::atomic<std::size_t> arrived{0};
  Gate gate;
  Start([&](Wire& wire, int) {
    while (wire.ReadRequest()) {
      const std::string response = ResponseText(kBufferedBody);
      wire.Write(response.substr(0, response.size() - 1));
      ++arrived;
      gate.Pass();
      wire.Write(response.substr(response.size() - 1));
    }
  });
  Connect(kClients);

  SendRequests(kBufferedBody);
  EXPECT_TRUE(Eventually([&] { return arrived == kClients; })) << arrived;
  gate.Open();

  ExpectAllServed(kBufferedBody);
  ExpectWithinLimit();
}

TEST_F(MemoryLimit, IsKeptWithUploadsToUpstreamsThatDoNotRead) {
  Gate gate;
  Start(
      [&](Wire& wire, int) {
        gate.Pass();
        RespondAtOnce(wire, 0);
      },
      true);
  Connect(kClients);

  SendRequests(kStreamedBody);
  EXPECT_TRUE(Eventually([&] {
    int connections = 0;
    for (const auto& upstream : upstreams_) connections += upstream->connections();
    return connections >= static_cast<int>(kClients);
  }));
  gate.Open();

  ExpectAllServed(1);
  ExpectWithinLimit();
}

TEST_F(MemoryLimit, IsKeptWithDownloadsToClientsThatDoNotRead) {
  constexpr std::size_t kDownload = std::size_t{320} * 1024;  // more than the kernel buffers hold
  Start([&](Wire& wire, int) {
    while (wire.ReadRequest()) wire.Write(ResponseText(kDownload));
  });
  Connect(kClients);

  SendRequests(0);
  for (const auto& client : clients_) {
    EXPECT_TRUE(Eventually([&] { return client->wire.socket.available() > 0; }));
  }

  ExpectAllServed(kDownload);
  ExpectWithinLimit();
}

// Improper peers may take all descriptors that are meant for clients.
TEST_F(MemoryLimit, IsKeptWithPeersThatStopWithinABody) {
  Start(RespondAtOnce);
  Connect(kSockets / 2);

  const std::string request = PostText("/submit/k", "p", std::string(kBufferedBody, 'b'));
  for (const auto& peer : clients_) peer->Send(request.substr(0, request.size() - 1));
  for (const auto& peer : clients_) EXPECT_TRUE(peer->wire.ReadUntilClosed());

  ExpectUsualClientServed();
  ExpectWithinLimit();
}

TEST_F(MemoryLimit, IsKeptWithPeersThatStopWithinAChunkLine) {
  Start(RespondAtOnce);
  Connect(kSockets / 2);

  const std::string request = PostHead("/submit/k", "p", kTimeoutMs, "Transfer-Encoding: chunked\r\n") +
                              std::string(kUnfinishedLine, 'x');
  for (const auto& peer : clients_) peer->Send(request);
  for (const auto& peer : clients_) EXPECT_TRUE(peer->wire.ReadUntilClosed());

  ExpectUsualClientServed();
  ExpectWithinLimit();
}

}  // namespace
}  // namespace lb::sidecar::testing
