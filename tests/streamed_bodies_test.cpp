// Bodies over 64 KiB, which the sidecar streams between its connections. Runs the real program.
#include <algorithm>
#include <atomic>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <list>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "tests/peers.h"
#include "tests/sidecar_steps.h"

namespace lb::sidecar::testing {
namespace {

using std::chrono::milliseconds;

// In bytes; more than the buffers of all sockets hold.
constexpr std::size_t kLargeBody = std::size_t{32} * 1024 * 1024;

constexpr int kTimeoutMs = 15000;

std::string TextOfSize(std::size_t size) {
  std::string text(size, 'x');
  for (std::size_t i = 0; i < size; i += 97) text[i] = static_cast<char>('a' + i / 97 % 26);
  return text;
}

std::string ToChunks(const std::string& body, std::size_t size) {
  std::ostringstream chunks;
  for (std::size_t i = 0; i < body.size(); i += size) {
    const std::string piece = body.substr(i, size);
    chunks << std::hex << piece.size() << ";note=\"x\"\r\n" << piece << "\r\n";
  }
  chunks << "0\r\nX-Trailer: t\r\n\r\n";
  return chunks.str();
}

std::size_t PeakMemoryMb(const SidecarProcess& sidecar) { return sidecar.peak_memory_kib() / 1024; }

// Reads the response of one client, some bytes at a time.
class SlowReader {
 public:
  explicit SlowReader(Client& client) : socket_(client.wire.socket) { parser_.body_limit(2 * kLargeBody); }
  bool is_done() const { return parser_.is_done() || error_; }
  void ReadSome() { boost::beast::http::read_some(socket_, buffer_, parser_, error_); }
  // To be called once reading is done; nothing if it failed.
  std::optional<Response> Take() { return error_ ? std::nullopt : std::optional(parser_.release()); }

 private:
  tcp::socket& socket_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::response_parser<boost::beast::http::string_body> parser_;
  boost::system::error_code error_;
};

// Reads all responses in turn, so that no client stops reading for long however slow the machine is.
void ReadInTurn(std::list<SlowReader>& readers) {
  while (!std::ranges::all_of(readers, &SlowReader::is_done)) {
    for (SlowReader& reader : readers) {
      if (!reader.is_done()) reader.ReadSome();
    }
  }
}

#ifdef __SANITIZE_ADDRESS__
// In MB. The sanitizer retains freed memory to detect its use.
constexpr std::size_t kMaxGrowth = 1024;
#else
constexpr std::size_t kMaxGrowth = 16;  // in MB
#endif

TEST(StreamedResponse, ReachesSlowReadersWholeInBoundedMemory) {
  const std::string body = TextOfSize(kLargeBody);
  // Built before the requests, as on a busy machine that takes longer than a response may.
  const std::string chunked =
      "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n" + ToChunks(body, 100000);
  const std::string closed = "HTTP/1.0 200 OK\r\n\r\n" + body;
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    if (request.target() == "/page/chunked") {
      wire.Write(chunked);
    } else if (request.target() == "/page/closed") {
      wire.Write(closed);
      wire.socket.close();
    } else {
      wire.Answer(200, body);
    }
  });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client first(sidecar.port());
  ASSERT_TRUE(first.Get("/page/length", "m"));
  const std::size_t before = PeakMemoryMb(sidecar);
  std::vector<std::unique_ptr<Client>> clients;
  for (const char* form : {"length", "chunked", "closed", "length", "chunked"}) {
    clients.push_back(std::make_unique<Client>(sidecar.port()));
    ASSERT_TRUE(
        clients.back()->Send(GetText(std::string("/page/") + form, "m" + std::to_string(clients.size()))));
    EXPECT_TRUE(ReceivesFirstBytes(*clients.back()));
  }
  std::list<SlowReader> readers;
  for (const auto& client : clients) readers.emplace_back(*client);
  ReadInTurn(readers);
  for (SlowReader& reader : readers) {
    const auto response = reader.Take();
    ASSERT_TRUE(response) << sidecar.log();
    EXPECT_EQ(response->result_int(), 200U);
    EXPECT_TRUE(response->body() == body);
  }
  EXPECT_LT(PeakMemoryMb(sidecar), before + kMaxGrowth);
}

TEST(StreamedResponse, ReachesAnHttp10Client) {
  const std::string body = TextOfSize(300000);
  Upstream upstream([&](Wire& wire, const Request&, int) {
    wire.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + ToChunks(body, 7));
  });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  ASSERT_TRUE(client.Send("GET /page/k HTTP/1.0\r\nX-Request-ID: o\r\nX-Timeout-Ms: 5000\r\n\r\n"));
  const auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->count("Transfer-Encoding"), 0U);
  EXPECT_TRUE(response->body() == body);
}

TEST(StreamedResponse, ForwardsItsFirstBytesAtOnce) {
  for (const char* framing : {"Content-Length: 1000000", "Transfer-Encoding: chunked"}) {
    Gate go;
    const std::string body = TextOfSize(1000000);
    const bool chunked = framing[0] == 'T';
    const std::string bytes = chunked ? ToChunks(body, 1000) : body;
    Upstream upstream([&](Wire& wire, const Request&, int) {
      wire.Write(std::string("HTTP/1.1 200 OK\r\n") + framing + "\r\n\r\n" + bytes.substr(0, 3000));
      go.Pass();
      wire.Write(bytes.substr(3000));
    });
    SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
    ASSERT_TRUE(sidecar.Listening());
    Client client(sidecar.port());
    ASSERT_TRUE(client.Send(GetText("/page/k", "f")));
    EXPECT_TRUE(ReceivesFirstBytes(client)) << framing;
    go.Open();
    const auto response = client.Read();
    ASSERT_TRUE(response);
    EXPECT_TRUE(response->body() == body);
  }
}

TEST(StreamedResponse, ResetsTheClientIfItBreaksOff) {
  for (const char* framing : {"Content-Length: 1000000\r\n", "Transfer-Encoding: chunked\r\n", ""}) {
    Upstream upstream([&](Wire& wire, const Request&, int) {
      wire.Write(std::string("HTTP/1.1 200 OK\r\n") + framing + "\r\n" +
                 (framing[0] == 'T' ? "20000\r\n" : "") + TextOfSize(0x20000));
      wire.Reset();
    });
    SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
    ASSERT_TRUE(sidecar.Listening());
    Client client(sidecar.port());
    ASSERT_TRUE(client.Send(GetText("/page/k", "b")));
    EXPECT_FALSE(client.Read()) << framing;
    EXPECT_EQ(upstream.requests().size(), 1U);
  }
}

// After the response to a hedged request has begun, the end of the first attempt must not end the request.
TEST(StreamedResponse, GoesOnWhenAnotherAttemptEnds) {
  const std::string body = TextOfSize(4000000);
  Gate first_cancelled;
  std::atomic<int> asked{0};
  const auto handler = [&](Wire& wire, const Request&, int) {
    if (asked++ == 0) {
      wire.ReadUntilClosed();
      first_cancelled.Open();
    } else {
      wire.Write("HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n" + body.substr(0, 1000));
      first_cancelled.Pass();
      wire.Write(body.substr(1000));
    }
  };
  Upstream u1(handler), u2(handler);
  json settings = Settings();
  settings["Limits"]["SecondCopies"] = true;
  SidecarProcess sidecar(With(List({Target("u1", u1.address()), Target("u2", u2.address())}), settings));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  const auto response = client.Get("/page/k", "c", 15000);
  ASSERT_TRUE(response) << sidecar.log();
  EXPECT_TRUE(response->body() == body);
}

TEST(StreamedRequest, ReachesTheUpstreamWholeInBoundedMemory) {
  const std::string body = TextOfSize(kLargeBody);
  std::atomic<int> complete_bodies{0};
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    complete_bodies += request.body() == body;
    wire.Answer(200, "done");
  });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  ASSERT_TRUE(client.Post("/submit/k", "s", "x"));
  const std::size_t before = PeakMemoryMb(sidecar);
  const std::string expect_headers =
      "Content-Length: " + std::to_string(kLargeBody) + "\r\nExpect: 100-continue\r\n";
  for (const std::string& text :
       {PostHead("/submit/k", "a", kTimeoutMs, expect_headers) + body,
        PostHead("/submit/k", "b", kTimeoutMs, "Transfer-Encoding: chunked\r\n") + ToChunks(body, 50000)}) {
    ASSERT_TRUE(client.Send(text));
    auto response = client.Read();
    if (response && response->result_int() == 100) response = client.Read();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200U);
  }
  EXPECT_EQ(complete_bodies, 2);
  EXPECT_LT(PeakMemoryMb(sidecar), before + kMaxGrowth);
}

TEST(StreamedRequest, IsRetriedElsewhereIfNoneOfItWasWritten) {
  RefusingAddress refusing;
  Upstream good(Upstream::Echo("good"));
  SidecarProcess sidecar(With(List({Target("u1", refusing.address()), Target("u2", good.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  for (const char* id : {"a", "b", "c"}) {
    const auto response = client.Post("/submit/k", id, TextOfSize(1000000));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200U);
  }
}

TEST(StreamedRequest, IsNotRetriedOnceItsUpstreamBroke) {
  std::atomic<int> begun{0};
  const auto script = [&](Wire& wire, int) {
    ++begun;
    char bytes[1000];
    boost::system::error_code error;
    wire.socket.read_some(boost::asio::buffer(bytes), error);
    wire.Reset();
  };
  Peer u1(script), u2(script);
  SidecarProcess sidecar(With(List({Target("u1", u1.address()), Target("u2", u2.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());
  ASSERT_TRUE(client.Send(PostHead("/submit/k", "a", kTimeoutMs, "Content-Length: 1000000\r\n") +
                          TextOfSize(500000)));
  const auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 503U);
  EXPECT_EQ(response->count("Retry-After"), 1U);
  EXPECT_EQ(begun, 1);
}

// Reads at most 2,500 bytes in each `pause` until the connection ends: 500 kB a second.
void ReadSlowly(Wire& wire, milliseconds pause = milliseconds(5)) {
  constexpr std::size_t kBytesAtOnce = 2500;
  std::vector<char> bytes(kBytesAtOnce);
  boost::system::error_code error;
  while (!error) {
    wire.socket.read_some(boost::asio::buffer(bytes), error);
    std::this_thread::sleep_for(pause);
  }
}

// Guards against a deadline that does not run while the body waits for an upstream that takes it slowly
// (review/3). The time runs from the last byte that the client wrote, which is long before it is read.
TEST(StreamedRequest, IsRejectedInItsTimeIfItsUpstreamReadsTooSlowly) {
  constexpr int kShortTimeoutMs = 3000;
  constexpr milliseconds kLatest{kShortTimeoutMs +
                                 2000};  // after the last byte; leaves room for a busy machine
  constexpr std::size_t kBody =
      8000000;  // more than the upstream reads in that time, with all buffers on the way
  const std::string body = TextOfSize(kBody);
  for (const std::string& text :
       {PostText("/submit/k", "a", body, kShortTimeoutMs),
        PostHead("/submit/k", "b", kShortTimeoutMs, "Transfer-Encoding: chunked\r\n") +
            ToChunks(body, 50000)}) {
    Peer upstream([](Wire& wire, int) { ReadSlowly(wire); }, true);
    SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
    ASSERT_TRUE(sidecar.Listening());
    Client client(sidecar.port());

    ASSERT_TRUE(client.Send(text));
    const auto sent = std::chrono::steady_clock::now();
    const auto response = client.Read();

    EXPECT_LT(std::chrono::steady_clock::now() - sent, kLatest);
    ASSERT_TRUE(response) << sidecar.log();
    EXPECT_EQ(response->result_int(), 503U) << "nothing ran, as the last byte was not forwarded";
    EXPECT_EQ(response->count("Retry-After"), 1U);
  }
}

// Guards against 504 for requests that have not run, as a piece of their bodies is still being written at
// their time. The process is held up across it, so that timers of the decision module are due just then, too.
TEST(StreamedRequest, IsRejectedIfTheProcessIsHeldUpAtItsTime) {
  constexpr int kClients = 6;
  constexpr milliseconds kTimeout{1500};
  constexpr milliseconds kSpacing{50};   // between requests, so that some are due before other timers
  constexpr std::size_t kBody = 600000;  // more than the upstream reads in that time, with all buffers
  Peer upstream([](Wire& wire, int) { ReadSlowly(wire, milliseconds(25)); }, true);
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  std::list<Client> clients;
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(sidecar.port());
    ASSERT_TRUE(clients.back().Send(
        PostText("/submit/k", "h" + std::to_string(i), TextOfSize(kBody), kTimeout.count())));
    std::this_thread::sleep_for(kSpacing);
  }

  std::this_thread::sleep_until(began + kTimeout - kSpacing);
  sidecar.Pause();
  std::this_thread::sleep_for((kClients + 2) * kSpacing);
  sidecar.Signal(SIGCONT);

  for (Client& client : clients) {
    const auto response = client.Read();
    ASSERT_TRUE(response) << sidecar.log();
    EXPECT_EQ(response->result_int(), 503U) << "nothing ran, as the last byte was not forwarded";
    EXPECT_EQ(response->count("Retry-After"), 1U);
  }
}

TEST(StreamedRequest, EndsItsAttemptWhenTheClientDisconnects) {
  Gate ended;
  Peer upstream([&](Wire& wire, int) {
    EXPECT_FALSE(wire.ReadRequest());
    ended.Open();
  });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  {
    Client client(sidecar.port());
    ASSERT_TRUE(client.Send(PostHead("/submit/k", "a", kTimeoutMs, "Content-Length: 1000000\r\n") +
                            TextOfSize(500000)));
    ASSERT_TRUE(Eventually([&] { return upstream.connections() == 1; }));
  }
  ended.Pass();
}

TEST(StreamedRequest, IsServedIfItArrivesSlowlyAndNotIfItStops) {
  Upstream upstream([](Wire& wire, const Request& request, int) {
    wire.Answer(200, std::to_string(request.body().size()));
  });
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client stopping(sidecar.port());
  ASSERT_TRUE(stopping.Send(PostHead("/submit/k", "a", kTimeoutMs, "Content-Length: 1000000\r\n") +
                            TextOfSize(500000)));
  Client slow(sidecar.port());
  ASSERT_TRUE(slow.Send(PostHead("/submit/k", "b", kTimeoutMs, "Content-Length: 200000\r\n")));
  const std::string body = TextOfSize(200000);
  for (std::size_t i = 0; i < body.size(); i += 10000) {
    std::this_thread::sleep_for(
        milliseconds(150));  // 3 s in total: longer than the head of a request may take
    ASSERT_TRUE(slow.Send(body.substr(i, 10000)));
  }
  const auto response = slow.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "200000");
  const auto rejected = stopping.Read();
  ASSERT_TRUE(rejected);
  EXPECT_EQ(rejected->result_int(), 408U);
}

}  // namespace
}  // namespace lb::sidecar::testing
