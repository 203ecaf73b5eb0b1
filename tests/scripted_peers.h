// Scripted peers for tests of the sidecar: clients, upstreams, and addresses where connects hang or are
// refused. All use loopback sockets on ports that the system selects.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <future>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lb::sidecar::testing {

using boost::asio::ip::tcp;
using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;

// Blocks the scripts that call Pass() until the test calls Open(), which is allowed only once. Most tests use
// it through GatedUpstream.
class Gate {
 public:
  void Open() { promise_.set_value(); }
  void Pass() const { opened_.wait(); }

 private:
  std::promise<void> promise_;
  std::shared_future<void> opened_ = promise_.get_future().share();
};

// Polls `condition` until it is true, for up to 20 s, which is far longer than any condition should take.
// Returns false on timeout.
bool Eventually(const std::function<bool()>& condition);

// The connection that a script reads from and writes to. Every call blocks, with the test runner's timeout as
// the only limit. After the connection has failed, reads return nothing and writes return false.
class Wire {
 public:
  explicit Wire(boost::asio::io_context& io) : socket(io) {}
  std::optional<Request> ReadRequest();
  std::optional<Response> ReadResponse();
  bool Write(const std::string& bytes);
  // Writes a response; `headers` are complete lines, each with its CRLF.
  bool Answer(unsigned status, const std::string& body, const std::string& headers = "");
  // Reads and discards data until the other side closes or resets the connection. Returns false on another
  // error.
  bool ReadUntilClosed();
  // Closes the connection with a TCP reset.
  void Reset();

  tcp::socket socket;

 private:
  boost::beast::flat_buffer buffer_;
};

// Sets small segments and a small receive buffer, to limit how much of a message the system accepts while the
// peer does not read.
void SetSmallBuffers(tcp::acceptor& acceptor);

// Listens on a free port and runs a script for each connection, each in its own thread, which is joined once
// its script has ended. `number` counts the connections from 0. With `small_buffers`, the listening socket is
// set up by SetSmallBuffers().
class Peer {
 public:
  using Script = std::function<void(Wire&, int number)>;
  explicit Peer(Script script, bool small_buffers = false);
  ~Peer();
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  int connections() const { return connections_; }

 private:
  struct Connection {
    explicit Connection(boost::asio::io_context& io) : wire(io) {}
    Wire wire;
    std::atomic<bool> has_ended{false};
    std::thread thread;
  };

  void AcceptConnections();
  void Run(Connection& connection, int number);
  void JoinEndedThreads();

  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  Script script_;
  std::uint16_t port_ = 0;
  std::atomic<int> connections_{0};
  std::atomic<bool> stopping_{false};
  std::mutex closing_;          // protects the sockets, which scripts and destructor close
  std::list<Connection> open_;  // used by the accepting thread alone while it runs
  std::thread accepting_;
};

// An upstream that calls `handler` for each request to write the response, and records the requests.
class Upstream {
 public:
  using Handler = std::function<void(Wire&, const Request&, int request_number)>;
  explicit Upstream(Handler handler);
  // Responds with status 200 and a body of `name`, a space and the request's target.
  static Handler Echo(const std::string& name);
  std::string address() const { return peer_.address(); }
  int connections() const { return peer_.connections(); }
  std::vector<Request> requests() const;

 private:
  mutable std::mutex mutex_;
  std::vector<Request> requests_;
  Handler handler_;
  Peer peer_;
};

// A listening address whose backlog is filled, at construction or by Fill(), so that further connects hang.
class BlackHole {
 public:
  explicit BlackHole(bool full = true);
  std::string address() const;
  void Fill();
  // True while a connect that this class did not start hangs at this address.
  bool HasHangingConnect() const;
  // Accepts connections until one was not opened by this class, and returns it. Accepting frees backlog
  // entries for hanging connects.
  std::unique_ptr<Wire> Accept();

 private:
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  std::vector<tcp::socket> waiting_;
};

// An address that refuses connections: its port is bound but not listening.
class RefusingAddress {
 public:
  RefusingAddress();
  std::string address() const;

 private:
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
};

// The IPv4 loopback address with this port.
tcp::endpoint Loopback(std::uint16_t port);

// The text of a GET or POST request to the sidecar, or of the head of a POST request, with X-Request-ID and
// X-Timeout-Ms. `headers` are complete lines, each with its CRLF.
std::string GetText(const std::string& target, const std::string& id, int timeout_ms = 5000);
std::string PostHead(const std::string& target, const std::string& id, int timeout_ms,
                     const std::string& headers);
std::string PostText(const std::string& target, const std::string& id, const std::string& body,
                     int timeout_ms = 5000, const std::string& headers = "");

// A client of the sidecar with one connection, which the constructor opens.
class Client {
 public:
  explicit Client(std::uint16_t port);
  bool Send(const std::string& bytes) { return wire.Write(bytes); }
  std::optional<Response> Read() { return wire.ReadResponse(); }
  std::optional<Response> Get(const std::string& target, const std::string& id, int timeout_ms = 5000);
  std::optional<Response> Post(const std::string& target, const std::string& id, const std::string& body,
                               int timeout_ms = 5000, const std::string& headers = "");

  boost::asio::io_context io;
  Wire wire{io};
};

}  // namespace lb::sidecar::testing
