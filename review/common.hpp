// Helpers that the cases share: a record, the sidecar as a process of its own, and stand-ins for discovery and
// upstreams. Blocking sockets, one thread for each connection; loopback only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline double Now() {
  static const auto start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}
inline void SleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Thrown if the case can't run (exit code 2).
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// ---- The record ----

class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
    if (file_ == nullptr) throw CannotRun("cannot write " + path);
  }
  void Line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f ", Now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

// ---- Sockets ----

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Listens on a free loopback port. `receive_buffer`: of the accepted connections, 0 for the default.
inline int Listen(int& port, int receive_buffer = 0) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    ::setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  }
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof address;
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(listener, 512) != 0 ||
      ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw CannotRun("no free port");
  }
  port = ntohs(address.sin_port);
  return listener;
}

inline int FreePort() {
  int port = 0;
  ::close(Listen(port));
  return port;
}

// Returns -1 if the connection is refused.
inline int Connect(int port) {
  const int connected = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (::connect(connected, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(connected);
    return -1;
  }
  const int on = 1;
  ::setsockopt(connected, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return connected;
}

inline bool WriteAll(int to, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n = ::send(to, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

enum class ReadStatus { kMessage, kClosed, kTimeout };

// Reads HTTP messages from one connection.
class Reader {
 public:
  explicit Reader(int from) : from_(from) {}

  struct Message {
    std::string start_line;
    std::map<std::string, std::string> headers;  // names in lower case
    std::string body;
    int status() const { return start_line.size() > 11 ? std::atoi(start_line.c_str() + 9) : 0; }
    std::string Header(const std::string& name) const {
      const auto at = headers.find(name);
      return at == headers.end() ? "" : at->second;
    }
  };

  // Waits for bytes until `until`; appends at most `limit` of them to the buffer.
  ReadStatus Fill(double until, std::size_t limit = 65536) {
    pollfd ready{from_, POLLIN, 0};
    const double left = std::max(0.0, until - Now());
    if (::poll(&ready, 1, static_cast<int>(std::min(left, 1e6) * 1000 + 0.999)) <= 0) {
      return ReadStatus::kTimeout;
    }
    std::string piece(limit, '\0');
    const ssize_t n = ::recv(from_, piece.data(), piece.size(), 0);
    if (n <= 0) return ReadStatus::kClosed;
    buffer_.append(piece, 0, static_cast<std::size_t>(n));
    return ReadStatus::kMessage;
  }

  // `pace`: called after each piece of a body, with its size.
  ReadStatus Read(Message& message, double until, const std::function<void(std::size_t)>& pace = nullptr) {
    ReadStatus status = ReadHead(message, until);
    if (status != ReadStatus::kMessage) return status;
    const bool chunked = message.Header("transfer-encoding") == "chunked";
    if (chunked) return ReadChunks(message, until, pace);
    const std::size_t length = std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
    return TakeBytes(length, message.body, until, pace);
  }

  ReadStatus ReadHead(Message& message, double until) {
    message = {};
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      const auto status = Fill(until);
      if (status != ReadStatus::kMessage) return status;
    }
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::getline(head, message.start_line);
    if (!message.start_line.empty() && message.start_line.back() == '\r') message.start_line.pop_back();
    for (std::string line; std::getline(head, line);) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    return ReadStatus::kMessage;
  }

 private:
  ReadStatus TakeBytes(std::size_t size, std::string& to, double until,
                       const std::function<void(std::size_t)>& pace) {
    while (size > 0) {
      if (buffer_.empty()) {
        const auto status = Fill(until);
        if (status != ReadStatus::kMessage) return status;
      }
      const std::size_t part = std::min(size, buffer_.size());
      to.append(buffer_, 0, part);
      buffer_.erase(0, part);
      size -= part;
      if (pace) pace(part);
    }
    return ReadStatus::kMessage;
  }
  ReadStatus TakeLine(std::string& line, double until) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      const auto status = Fill(until);
      if (status != ReadStatus::kMessage) return status;
    }
    line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return ReadStatus::kMessage;
  }
  ReadStatus ReadChunks(Message& message, double until, const std::function<void(std::size_t)>& pace) {
    while (true) {
      std::string line;
      auto status = TakeLine(line, until);
      if (status != ReadStatus::kMessage) return status;
      const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
      if (size == 0) {
        while (status == ReadStatus::kMessage && !line.empty()) status = TakeLine(line, until);
        return status;
      }
      status = TakeBytes(size, message.body, until, pace);
      if (status == ReadStatus::kMessage) status = TakeLine(line, until);
      if (status != ReadStatus::kMessage) return status;
    }
  }

  const int from_;
  std::string buffer_;
};

inline std::string Response(int status, const std::string& reason, const std::string& body,
                            const std::string& extra = "") {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- Stand-ins ----

// Accepts connections; each is handled by a thread of its own until the program exits.
inline void Serve(int listener, std::function<void(int)> handle) {
  std::thread([listener, handle = std::move(handle)] {
    while (true) {
      const int accepted = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) continue;
      const int on = 1;
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([accepted, handle] {
        handle(accepted);
        ::close(accepted);
      }).detach();
    }
  }).detach();
}

constexpr double kForever = 1e9;

// An upstream by the protocol page: begins a request once its last byte has arrived, and answers 200.
class Upstream {
 public:
  using Message = Reader::Message;
  struct Options {
    double work = 0.02;                             // seconds from the last byte to the answer
    int receive_buffer = 0;                         // 0: the default
    std::function<void(std::size_t)> body_pace{};  // called after each piece of a body that was read
    std::size_t answer_bytes = 0;                   // 0: a short answer
    double answer_pause = 0;                        // seconds before the answer's last byte
  };

  Upstream(std::string id, Record& record, Options options)
      : id_(std::move(id)), record_(record), options_(std::move(options)) {
    const int listener = Listen(port_, options_.receive_buffer);
    Serve(listener, [this](int connection) { Handle(connection); });
  }

  std::string Entry() const {
    return R"({"uid":")" + id_ + R"(","endpoint":"127.0.0.1:)" + std::to_string(port_) +
           R"(","az":"sto-2","model":"mellan","pod_group":1,"state":"active","capacity_hint":1.0,"boot_ms":0})";
  }

 private:
  void Handle(int connection) {
    Reader reader(connection);
    Message request;
    while (reader.Read(request, kForever, options_.body_pace) == ReadStatus::kMessage) {
      const bool is_probe = request.start_line.find(" /metrics/load ") != std::string::npos ||
                            request.start_line.find(" /alive ") != std::string::npos;
      if (is_probe) {
        if (!WriteAll(connection, Response(200, "OK", "eps=0,inflight=1"))) return;
        continue;
      }
      const std::string id = request.Header("x-request-id");
      record_.Line("upstream %s ran %s (%zu bytes of body)", id_.c_str(), id.c_str(), request.body.size());
      SleepFor(options_.work);
      std::string body = "done " + id;
      if (options_.answer_bytes > body.size()) body.resize(options_.answer_bytes, '.');
      const std::string answer = Response(200, "OK", body);
      if (!WriteAll(connection, answer.substr(0, answer.size() - 1))) return;
      SleepFor(options_.answer_pause);
      if (!WriteAll(connection, answer.substr(answer.size() - 1))) return;
    }
  }

  const std::string id_;
  Record& record_;
  const Options options_;
  int port_ = 0;
};

// Discovery by the protocol page: the agent on the sidecar's machine. Its list does not change.
class Discovery {
 public:
  explicit Discovery(std::string targets) : targets_(std::move(targets)) {
    const int listener = Listen(port_);
    Serve(listener, [this](int connection) { Handle(connection); });
  }
  int port() const { return port_; }
  std::string WholeList() const { return R"({"rev":41,"all":true,"targets":[)" + targets_ + "]}"; }

 private:
  void Handle(int connection) {
    Reader reader(connection);
    Reader::Message call;
    while (reader.Read(call, kForever) == ReadStatus::kMessage) {
      std::string list = WholeList();
      const auto wait = call.start_line.find("wait=");
      if (call.start_line.find("index=41") != std::string::npos && wait != std::string::npos) {
        // Nothing newer comes: the watch lasts as long as the call asks for, or until the sidecar leaves.
        const double until = Now() + std::atof(call.start_line.c_str() + wait + 5) / 1000;
        pollfd gone{connection, POLLIN, 0};
        ::poll(&gone, 1, static_cast<int>((until - Now()) * 1000));
        list = R"({"rev":41,"all":false,"targets":[]})";
      }
      if (!WriteAll(connection, Response(200, "OK", list))) return;
    }
  }

  const std::string targets_;
  int port_ = 0;
};

// The settings of the wire page's example, which are those of a small deployment.
inline std::string Settings() {
  return R"({"Azs":["sto-1","sto-2","upp-1"],
 "Classes":[
 {"Aim":1000000,"Effect":"read_like","HardLimit":3000000,"KeyScope":"all","LateWorth":0.0,"Name":"week-view","Stream":false,"Window":5000000,"Worth":5.0},
 {"Aim":500000,"Effect":"read_like","HardLimit":1500000,"KeyScope":"all","LateWorth":0.0,"Name":"room-check","Stream":false,"Window":5000000,"Worth":2.0},
 {"Aim":500000,"Effect":"idempotency_key","HardLimit":2500000,"KeyScope":"all","LateWorth":0.0,"Name":"lesson-move","Stream":false,"Window":5000000,"Worth":5.0},
 {"Aim":800000,"Effect":"non_idempotent","HardLimit":4000000,"KeyScope":"all","LateWorth":0.0,"Name":"term-publish","Stream":false,"Window":5000000,"Worth":5.0}],
 "Clients":{"MarksRetry":true},"Family":"mesh","FamilyInfo":{"WarmKeys":true},
 "Goal":{"Whole":0.85,"WorstClass":0.1,"WorstTenant":0.0,"WorstWindow":0.05},
 "Kinds":["snabb","mellan","liten"],"Layers":["schema-api"],
 "Limits":{"Cancelling":true,"ConnectTimeout":120000,"CpuUsPerRequest":0.0,"CpuUsPerS":8000,"IdleClose":15000000,
  "MaxAttempts":3,"MaxRetryAfter":2000000,"MayProbe":true,"Multiplex":1,"OpenCap":20000,"Peers":false,"RetryAfter":true,"SecondCopies":true},
 "Me":0,"MembershipMode":"pushed","OverShareWorth":0.1,"PeersTotal":3,
 "Prices":{"Connection":0.0,"CrossZone":0.1,"Handshake":0.0,"LateFail":0.08,"MembershipMode":0.0,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.0029,"Waste":0.2},
 "Report":{"Fields":["fail_rate","rif"],"How":"probe"},
 "Rules":{"Cold":7400000,"ColdFrom":0.31,"Fall":1000000,"FallMultiple":2.5,"GraceToAnswer":20000,"MustAskIn":10000000,"StopSendingWithin":300000},
 "Tenants":[],"Tick":5000,"Tier":0,"Weights":"nominal","WorthBy":"request","Zone":"sto-2"})";
}

// ---- The sidecar ----

// The command `run` of the deploy file, in a process of its own, with a temporary folder that is removed at the end.
class Sidecar {
 public:
  struct Limits {
    int memory_mb;
    int sockets;
  };

  Sidecar(const std::string& root, const Discovery& discovery, Limits limits) : port_(FreePort()) {
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) throw CannotRun("no temporary folder");
    folder_ = pattern;
    std::filesystem::create_directory(folder_ + "/tmp");
    const std::string address = "127.0.0.1:" + std::to_string(port_);
    const std::string discovery_address = "127.0.0.1:" + std::to_string(discovery.port());
    std::ofstream(folder_ + "/config.json")
        << R"({"name":"n1","listen":")" << address << R"(","discovery":")" << discovery_address
        << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" << limits.memory_mb << R"(,"sockets":)"
        << limits.sockets << R"(},"known":)" << discovery.WholeList() << R"(,"settings":)" << Settings() << "}";
    const std::string command = RunCommand(root);
    process_ = ::fork();
    if (process_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the sidecar never outlives the case
      const int log = ::open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT, 0600);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("LB_NAME", "n1", 1);
      ::setenv("LB_LISTEN", address.c_str(), 1);
      ::setenv("LB_DISCOVERY", discovery_address.c_str(), 1);
      ::setenv("LB_CONFIG", (folder_ + "/config.json").c_str(), 1);
      ::setenv("TMPDIR", (folder_ + "/tmp").c_str(), 1);
      ::unsetenv("LB_ADMIN");
      if (::chdir(root.c_str()) == 0) ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      ::_exit(127);
    }
  }
  ~Sidecar() {
    Signal(SIGKILL);
    if (process_ > 0) ::waitpid(process_, nullptr, 0);
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }

  void Signal(int number) {
    if (IsRunning()) ::kill(process_, number);
  }
  int port() const { return port_; }

  // GET /up at the clients' address, as the application asks before it starts. Returns the status, 0 for none.
  int Up(double patience) const {
    const int connection = Connect(port_);
    if (connection < 0) return 0;
    int status = 0;
    Reader reader(connection);
    Reader::Message answer;
    if (WriteAll(connection, "GET /up HTTP/1.1\r\nHost: api.internal\r\n\r\n") &&
        reader.Read(answer, Now() + patience) == ReadStatus::kMessage) {
      status = answer.status();
    }
    ::close(connection);
    return status;
  }
  void AwaitUp() const {
    for (const double until = Now() + 30; Now() < until; SleepFor(0.05)) {
      if (Up(1) == 200) return;
    }
    throw CannotRun("the sidecar is not ready after 30 s");
  }
  // The memory of the process that no file backs, in bytes: less than what the platform counts.
  std::size_t Memory() {
    if (!IsRunning()) return 0;
    std::ifstream file("/proc/" + std::to_string(process_) + "/status");
    std::size_t sum = 0;
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("RssAnon:") || line.starts_with("RssShmem:")) {
        sum += std::strtoul(line.c_str() + line.find(':') + 1, nullptr, 10) * 1024;
      }
    }
    return sum;
  }
  bool IsRunning() {
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) process_ = -1;
    return process_ > 0;
  }
  std::string Log() const {
    std::ifstream file(folder_ + "/log");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }

 private:
  static std::string RunCommand(const std::string& root) {
    std::ifstream file(root + "/deploy/balancer.toml");
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with("run = \"")) return line.substr(7, line.find('"', 7) - 7);
    }
    throw CannotRun("no command `run` in deploy/balancer.toml");
  }

  const int port_;
  std::string folder_;
  std::atomic<pid_t> process_{-1};
};

// ---- Proper clients ----

constexpr double kAnswerGrace = 0.5;  // STANDING: "Up to half a second after its time it only earns nothing"
constexpr double kSlack = 0.05;       // PROTOCOL: "every time limit is 50 ms longer"

struct RequestClass {
  const char* name;
  const char* method;
  int timeout_ms;  // 0.6 of the class's give-up time
  bool keyed;
};
inline const std::vector<RequestClass> kClasses = {{"week-view", "GET", 1800, false},
                                     {"room-check", "GET", 900, false},
                                     {"lesson-move", "POST", 1500, true},
                                     {"term-publish", "POST", 2400, false}};

struct Counts {
  std::atomic<int> sent{0}, served{0}, refused{0}, failed{0}, lost{0};
};

// Sends one request at a time, keeps its connection, and judges each request: lost, if it was written whole and has no
// final answer half a second after its time.
class Client {
 public:
  Client(int number, const Sidecar& sidecar, Record& record, Counts& counts)
      : number_(number), sidecar_(sidecar), record_(record), counts_(counts) {}

  void Run(double until, double interval, const std::vector<RequestClass>& classes) {
    for (int i = 0; Now() < until; ++i) {
      Send(classes[static_cast<std::size_t>(i) % classes.size()], "c" + std::to_string(number_) + "-" + std::to_string(i));
      SleepFor(interval);
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

// Whether the disruption is on: TROUBLE=0 leaves it out.
inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Runs a case: `root` is the repository's root, `folder` that of the case. Returns the exit code.
inline int Main(int argc, char** argv, int (*run)(const std::string& root, Record& record)) {
  ::signal(SIGPIPE, SIG_IGN);
  Now();
  if (argc != 3) {
    std::fprintf(stderr, "usage: %s ROOT FOLDER\n", argv[0]);
    return 2;
  }
  try {
    static Record record(std::string(argv[2]) + "/record.txt");
    const int result = run(argv[1], record);
    record.Line("exit %d: the rule %s", result, result == 0 ? "held" : "was broken");
    std::printf("exit %d, see %s/record.txt\n", result, argv[2]);
    std::fflush(stdout);
    ::_exit(result);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "cannot run: %s\n", e.what());
    ::_exit(2);
  }
}

}  // namespace review
