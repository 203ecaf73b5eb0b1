// The exact bytes of each protocol of the sidecar, and the exact form of its stored state, as documented and
// used by earlier releases. The expectations were recorded with release 4fd1713. Changing one breaks
// compatibility with clients, upstreams, discovery, operators or a running older release.
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <regex>
#include <set>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {
namespace {

namespace fs = std::filesystem;
using boost::system::error_code;

// Reads until the end of the connection.
std::string ReadToEnd(tcp::socket& socket) {
  std::string bytes;
  error_code error;
  boost::asio::read(socket, boost::asio::dynamic_buffer(bytes), error);
  return bytes;
}

// Reads one message: its head, and a body of Content-Length bytes.
std::string ReadMessage(tcp::socket& socket) {
  std::string bytes;
  error_code error;
  const std::size_t head =
      boost::asio::read_until(socket, boost::asio::dynamic_buffer(bytes), "\r\n\r\n", error);
  if (error) return bytes;
  std::smatch length;
  if (!std::regex_search(bytes, length, std::regex("Content-Length: ([0-9]+)"))) return bytes;
  const std::size_t size = head + std::stoul(length[1]);
  if (bytes.size() < size) {
    boost::asio::read(socket, boost::asio::dynamic_buffer(bytes),
                      boost::asio::transfer_exactly(size - bytes.size()), error);
  }
  return bytes;
}

// Returns `text` with "#" in place of the value of X-Timeout-Ms, which depends on the elapsed time.
std::string WithoutTimeout(const std::string& text) {
  return std::regex_replace(text, std::regex("X-Timeout-Ms: [0-9]+"), "X-Timeout-Ms: #");
}

// The bytes of a response that the sidecar generates itself and after which it closes the connection.
std::string Plain(const std::string& status, const std::string& text, const std::string& headers = "") {
  return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\n" + headers +
         "Connection: close\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

// A server that records the bytes of each request and responds with the next of `answers`.
class RawServer {
 public:
  explicit RawServer(std::vector<std::string> answers)
      : answers_(std::move(answers)), peer_([this](Wire& wire, int) { Serve(wire); }) {}

  std::string address() const { return peer_.address(); }
  std::vector<std::string> requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  void Serve(Wire& wire) {
    for (std::string request = ReadMessage(wire.socket); !request.empty();
         request = ReadMessage(wire.socket)) {
      std::string answer;
      {
        const std::lock_guard lock(mutex_);
        const std::size_t number = requests_.size();
        requests_.push_back(std::move(request));
        if (number >= answers_.size()) return;
        answer = answers_[number];
      }
      if (!wire.Write(answer)) return;
    }
  }

  const std::vector<std::string> answers_;
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  Peer peer_;
};

TEST(WireFormat, RequestAndResponsePassThrough) {
  RawServer upstream(
      {"HTTP/1.1 200 Fine\r\nServer: u\r\nX-Load: 3\r\nContent-Type: text/x\r\n"
       "Connection: keep-alive\r\nContent-Length: 5\r\n\r\nhello"});
  SidecarProcess sidecar(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(sidecar.Listening());
  Client client(sidecar.port());

  client.Send(
      "POST /keyed/a%20b?x=1 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: r1\r\nX-Timeout-Ms: 5000\r\n"
      "Idempotency-Key: k1\r\nX-Other: One\r\nTE: trailers\r\nConnection: close\r\n"
      "Content-Length: 4\r\n\r\nbody");

  EXPECT_EQ(ReadToEnd(client.wire.socket),
            "HTTP/1.1 200 Fine\r\nServer: u\r\nX-Load: 3\r\nContent-Type: text/x\r\nConnection: close\r\n"
            "Content-Length: 5\r\n\r\nhello");
  ASSERT_EQ(upstream.requests().size(), 1U);
  EXPECT_EQ(
      WithoutTimeout(upstream.requests()[0]),
      "POST /keyed/a%20b?x=1 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: r1\r\nIdempotency-Key: k1\r\n"
      "X-Other: One\r\nX-Timeout-Ms: #\r\nContent-Length: 4\r\n\r\nbody");
}

TEST(WireFormat, AnswersOfTheSidecarsOwn) {
  SidecarProcess sidecar(With(List({})));
  ASSERT_TRUE(sidecar.Listening());
  const std::string head = " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Timeout-Ms: 500\r\n";
  const auto answer = [&](const std::string& request) {
    Client client(sidecar.port());
    client.Send(request);
    return ReadToEnd(client.wire.socket);
  };

  EXPECT_EQ(answer("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"),
            Plain("503 Service Unavailable", "no upstream is known\n"));
  EXPECT_EQ(answer("GET /nothing/k" + head + "X-Request-ID: r1\r\n\r\n"),
            Plain("400 Bad Request", "unknown class\n"));
  EXPECT_EQ(answer("GET /page/k" + head + "\r\n"), Plain("400 Bad Request", "missing or bad X-Request-ID\n"));
  const std::string refused = answer("GET /page/k" + head + "X-Request-ID: r2\r\n\r\n");
  EXPECT_EQ(std::regex_replace(refused, std::regex("Retry-After: [0-9.]+"), "Retry-After: #"),
            Plain("503 Service Unavailable", "refused: trying again is harmless\n", "Retry-After: #\r\n"));
}

TEST(WireFormat, DiscoveryIsAskedForTheListAndThenForChanges) {
  const std::string list = json{{"rev", 7}, {"all", true}, {"targets", json::array()}}.dump();
  const std::string answer =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
  RawServer discovery({answer, answer});
  SidecarProcess::Options options = With(nullptr);
  options.discovery = discovery.address();
  const SidecarProcess sidecar(options);

  ASSERT_TRUE(Eventually([&] { return discovery.requests().size() >= 2; }));

  EXPECT_EQ(discovery.requests()[0], "GET /discovery/hosts HTTP/1.1\r\nHost: discovery\r\n\r\n");
  EXPECT_EQ(discovery.requests()[1],
            "GET /discovery/hosts?index=7&wait=4500 HTTP/1.1\r\nHost: discovery\r\n\r\n");
}

// Fixture for a sidecar with an admin address, and a state folder that outlives the sidecar.
class StoredForms : public ::testing::Test {
 protected:
  SidecarProcess::Options Options() const {
    SidecarProcess::Options options =
        With(List({Target("u1", upstream_.address()), Target("u2", upstream_.address())}));
    options.discovery = discovery_.address();
    options.admin = "127.0.0.1:0";
    options.tmpdir = folder_.path();
    return options;
  }
  std::string Ask(SidecarProcess& sidecar, const std::string& method, const std::string& target) const {
    Client caller(sidecar.admin_port());
    caller.Send(method + " " + target + " HTTP/1.1\r\nHost: x\r\n\r\n");
    return ReadToEnd(caller.wire.socket);
  }
  // The message with which an upstream that serves is passed to the next process.
  std::string InheritedUpstream(const std::string& id) const {
    return R"(upstream {"az":"a","boot_ms":0,"capacity_hint":1.0,"endpoint":")" + upstream_.address() +
           R"(","model":"m","pod_group":0,"state":"active","uid":")" + id + "\"}\n";
  }
  // The names and contents of the stored files.
  std::set<std::pair<std::string, std::string>> Files() const {
    std::set<std::pair<std::string, std::string>> files;
    for (const auto& entry : fs::directory_iterator(state_)) {
      std::string contents;
      if (entry.is_regular_file()) {
        std::ifstream in(entry.path());
        contents.assign(std::istreambuf_iterator<char>(in), {});
      }
      files.emplace(entry.path().filename(), contents);
    }
    return files;
  }

  const Folder folder_;
  const std::string state_ = StateFolder(folder_);
  Upstream upstream_{Upstream::Echo("u")};
  Discovery discovery_{List({Target("u1", upstream_.address()), Target("u2", upstream_.address())})};
};

TEST_F(StoredForms, AdminReplies) {
  SidecarProcess sidecar(Options());
  ASSERT_TRUE(Eventually([&] { return sidecar.Status("GET", "/ready") == 200; }));

  EXPECT_EQ(Ask(sidecar, "GET", "/ready"), Plain("200 OK", "ready\n"));
  EXPECT_EQ(Ask(sidecar, "POST", "/upstreams/disable/u1"), Plain("200 OK", "u1 is out\n"));
  EXPECT_EQ(Ask(sidecar, "POST", "/upstreams/enable/u1"), Plain("200 OK", "u1 is back\n"));
  EXPECT_EQ(Ask(sidecar, "POST", "/upstreams/disable/u9"), Plain("404 Not Found", "no such upstream\n"));
  EXPECT_EQ(Ask(sidecar, "POST", "/drain"), Plain("200 OK", "clients are sent away\n"));
  EXPECT_EQ(Ask(sidecar, "GET", "/ready"), Plain("503 Service Unavailable", "not ready: drained\n"));
  EXPECT_EQ(Ask(sidecar, "POST", "/undrain"), Plain("200 OK", "clients are taken\n"));
  EXPECT_EQ(Ask(sidecar, "GET", "/drain"), Plain("405 Method Not Allowed", "POST only\n", "Allow: POST\r\n"));
  EXPECT_EQ(Ask(sidecar, "GET", "/nothing"), Plain("404 Not Found", "no such call\n"));
}

TEST_F(StoredForms, FolderOfOperatorState) {
  const std::string long_id(130, 'x');
  discovery_.Publish(List({Target("u1", upstream_.address()), Target(long_id, upstream_.address())}));
  SidecarProcess sidecar(Options());
  ASSERT_TRUE(Eventually([&] { return sidecar.Status("GET", "/ready") == 200; }));

  for (const std::string& id : {std::string("u1"), long_id}) {
    ASSERT_EQ(sidecar.Status("POST", "/upstreams/disable/" + id), 200U);
  }
  ASSERT_EQ(sidecar.Status("POST", "/drain"), 200U);

  std::string word = "out-";
  for (std::size_t i = 0; i < long_id.size(); ++i) word += "78";
  const std::set<std::pair<std::string, std::string>> expected = {
      {"drained", ""}, {"handover", ""}, {"out-7531", ""}, {"long-605460e8a4e57d9e313c2e0b40c7b1f0", word}};
  EXPECT_EQ(Files(), expected);
}

// The folder in tests/data was written by release 4fd1713, with u1 disabled and the sidecar drained.
TEST_F(StoredForms, StartsFromTheFolderOfAnEarlierRelease) {
  fs::copy(fs::path(TEST_DATA) / "operator-state-4fd1713", state_, fs::copy_options::recursive);
  SidecarProcess sidecar(Options());
  ASSERT_TRUE(sidecar.Listening());

  EXPECT_TRUE(Eventually([&] { return Ask(sidecar, "GET", "/ready").find("drain") != std::string::npos; }));
  EXPECT_EQ(sidecar.Status("POST", "/undrain"), 200U);
  ASSERT_TRUE(Eventually([&] { return sidecar.Status("GET", "/ready") == 200; }));
  EXPECT_EQ(sidecar.Status("POST", "/upstreams/enable/u1"), 200U);
  EXPECT_EQ(Files(), (std::set<std::pair<std::string, std::string>>{{"handover", ""}}));
}

// Plays the next process in a hot restart with the protocol of an earlier release: receives the clients'
// listening socket with one byte, sends `r` when it serves, and from then on receives the operators' changes.
TEST_F(StoredForms, HotRestartSocket) {
  SidecarProcess sidecar(Options());
  ASSERT_TRUE(Eventually([&] { return sidecar.Status("GET", "/ready") == 200; }));
  ASSERT_EQ(sidecar.Status("POST", "/upstreams/disable/u2"), 200U);
  boost::asio::io_context io;
  boost::asio::local::stream_protocol::socket next(io);
  next.connect(state_ + "/handover");

  char byte = 0;
  iovec bytes{&byte, 1};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr message{};
  message.msg_iov = &bytes;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  ASSERT_EQ(::recvmsg(next.native_handle(), &message, 0), 1);
  ASSERT_NE(CMSG_FIRSTHDR(&message), nullptr);
  EXPECT_EQ(CMSG_FIRSTHDR(&message)->cmsg_type, SCM_RIGHTS);
  boost::asio::write(next, boost::asio::buffer("r", 1));

  std::string received;
  const auto line = [&] {
    const std::size_t size = boost::asio::read_until(next, boost::asio::dynamic_buffer(received), '\n');
    std::string text = received.substr(0, size);
    received.erase(0, size);
    return text;
  };
  EXPECT_EQ(line(), "+out-7532\n");
  EXPECT_EQ(line(), "list 1 1 2\n");
  EXPECT_EQ(line(), InheritedUpstream("u1"));
  EXPECT_EQ(line(), InheritedUpstream("u2"));
  EXPECT_EQ(line(), "list-end\n");
  ASSERT_EQ(sidecar.Status("POST", "/upstreams/enable/u2"), 200U);
  EXPECT_EQ(line(), "-out-7532\n");
  ASSERT_EQ(sidecar.Status("POST", "/drain"), 200U);
  EXPECT_EQ(line(), "+drained\n");
}

}  // namespace
}  // namespace lb::sidecar::testing
