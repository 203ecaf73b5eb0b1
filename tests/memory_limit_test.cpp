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

// Lines of a head, each with one of the shortest fields, such as "a:x".
std::string ShortFields(std::size_t count) {
  std::string lines;
  for (std::size_t i = 0; i < count; ++i) lines += std::string(1, static_cast<char>('a' + i % 26)) + ":x\r\n";
  return lines;
}

std::string GetWithFields(const std::string& id, std::size_t fields) {
  const std::string request = GetText("/page/k", id, kTimeoutMs);
  return request.substr(0, request.size() - 2) + ShortFields(fields) + "\r\n";
}

// Requests of one client in a row, each with an id of its own.
std::string InARow(int count, std::size_t client, std::size_t fields) {
  std::string requests;
  for (int i = 0; i < count; ++i) {
    requests += GetWithFields("m" + std::to_string(client) + "-" + std::to_string(i), fields);
  }
  return requests;
}

std::string ResponseText(std::size_t body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body) + "\r\n\r\n" + std::string(body, '.');
}

void RespondAtOnce(Wire& wire, int /*number*/) {
  while (wire.ReadRequest()) wire.Write(ResponseText(1));
}

// Counts the requests that arrive, and answers them once the gate is open.
Peer::Script RespondAfter(Gate& gate, std::atomic<std::size_t>& arrived) {
  return [&](Wire& wire, int) {
    while (wire.ReadRequest()) {
      ++arrived;
      gate.Pass();
      wire.Write(ResponseText(1));
    }
  };
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
  for (const auto& client : clients_) EXPECT_TRUE(ReceivesFirstBytes(*client));

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

// Guards against heads that take many times their size in memory, because each field is an object of its own.
TEST_F(MemoryLimit, IsKeptWithHeadsOfManyShortFields) {
  constexpr std::size_t kFields = 1500;
  std::atomic<std::size_t> arrived{0};
  Gate gate;
  Start(RespondAfter(gate, arrived));
  Connect(kClients);

  for (std::size_t i = 0; i < kClients; ++i) {
    ASSERT_TRUE(clients_[i]->Send(GetWithFields("m" + std::to_string(i), kFields)));
  }
  EXPECT_TRUE(Eventually([&] { return arrived == kClients; })) << arrived;
  gate.Open();

  ExpectAllServed(1);
  ExpectWithinLimit();
}

// Guards against the same sum in several heads that a client sends in a row.
TEST_F(MemoryLimit, IsKeptWithSeveralSuchHeadsInARow) {
  constexpr std::size_t kFields = 500;
  constexpr int kInARow = 6;
  std::atomic<std::size_t> arrived{0};
  Gate gate;
  Start(RespondAfter(gate, arrived));
  Connect(kClients);

  for (std::size_t i = 0; i < kClients; ++i) ASSERT_TRUE(clients_[i]->Send(InARow(kInARow, i, kFields)));
  EXPECT_TRUE(Eventually([&] { return arrived >= kClients; })) << arrived;
  gate.Open();

  for (int j = 0; j < kInARow; ++j) ExpectAllServed(1);
  ExpectWithinLimit();
}

// Guards against the same in the heads of responses, which wait for the rest of the body.
TEST_F(MemoryLimit, IsKeptWithResponseHeadsOfManyShortFields) {
  constexpr std::size_t kFields = 2500;
  constexpr std::size_t kDownload = std::size_t{320} * 1024;  // more than the kernel buffers hold
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kDownload) + "\r\n" +
                               ShortFields(kFields) + "\r\n" + std::string(kDownload, '.');
  Start([&](Wire& wire, int) {
    while (wire.ReadRequest()) wire.Write(response);
  });
  Connect(kClients);

  SendRequests(0);
  for (const auto& client : clients_) EXPECT_TRUE(ReceivesFirstBytes(*client));

  ExpectAllServed(kDownload);
  ExpectWithinLimit();
}

// Guards against the sum of the heads that are held at once: all that clients and their upstreams may send of
// one before it is complete, and a request in flight on each connection.
TEST_F(MemoryLimit, IsKeptWithTheLargestHeadsOnBothSides) {
  constexpr std::size_t kUnfinishedHead = 15500;
  constexpr std::size_t kFields = 2000;
  std::atomic<std::size_t> arrived{0};
  Gate gate;
  Start([&](Wire& wire, int) {
    while (wire.ReadRequest()) {
      ++arrived;
      wire.Write("HTTP/1.1 200 OK\r\nX-Long: " + std::string(kUnfinishedHead, 'x'));
      gate.Pass();
      wire.Write("\r\nContent-Length: 1\r\n\r\n.");
    }
  });
  Connect(kSockets / 2 - 20);

  for (std::size_t i = 0; i < clients_.size(); ++i) {
    clients_[i]->Send(InARow(3, i, kFields));
  }
  EXPECT_TRUE(Eventually([&] { return arrived >= kClients / 2; })) << arrived;
  gate.Open();

  // Requests beyond the memory may be refused, at once and with Retry-After.
  for (const auto& client : clients_) {
    const auto response = client->Read();
    ASSERT_TRUE(response);
    EXPECT_TRUE(response->result_int() == 200U || response->count("Retry-After") == 1U) << *response;
  }
  ExpectUsualClientServed();
  ExpectWithinLimit();
  // Requests in a row may still run at the upstreams, whose script uses the gate.
  clients_.clear();
  sidecar_.reset();
  upstreams_.clear();
}

}  // namespace
}  // namespace lb::sidecar::testing
