// Shared by the cases 6 to 10: stand-ins (clients, upstreams, discovery) on loopback sockets, the sidecar as a
// separate process that is started by the deploy file's `run`, and the record. Blocking sockets, a thread for each
// connection.
//
// A case defines Run(), which ends with Finish(): code 1 if the rule was broken, 0 if it held. Stop() ends the case with
// code 2: it could not run.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

// Seconds since the start of the case.
inline double Now() {
  static const auto start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}
inline void SleepFor(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void SleepUntil(double at) { SleepFor(at - Now()); }

// ---- Record and processes ----

inline std::mutex& RecordMutex() {
  static std::mutex mutex;
  return mutex;
}
inline FILE*& RecordFile() {
  static FILE* file = nullptr;
  return file;
}
__attribute__((format(printf, 1, 2))) inline void Record(const char* format, ...) {
  const std::lock_guard lock(RecordMutex());
  std::fprintf(RecordFile(), "%9.3f ", Now());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(RecordFile(), format, arguments);
  va_end(arguments);
  std::fputc('\n', RecordFile());
  std::fflush(RecordFile());
}

inline std::vector<pid_t>& Children() {
  static std::vector<pid_t> children;
  return children;
}
[[noreturn]] inline void EndWith(int code) {
  for (const pid_t child : Children()) ::kill(child, SIGKILL);
  for (const pid_t child : Children()) ::waitpid(child, nullptr, 0);
  std::fflush(nullptr);
  ::_exit(code);
}
[[noreturn]] inline void Stop(const std::string& why) {
  Record("the case could not run: %s", why.c_str());
  std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
  EndWith(2);
}

// Called while all stand-ins are still there: their threads go on until the process ends.
[[noreturn]] inline void Finish(bool broken) {
  const char* const result = broken ? "the rule was broken" : "the rule held";
  Record("%s", result);
  std::printf("%s\n", result);
  EndWith(broken ? 1 : 0);
}

// ---- Sockets ----

inline sockaddr_in AddressOf(const std::string& text) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const auto colon = text.rfind(':');
  ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
  return address;
}
inline std::string TextOf(int socket) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}
inline int Listen() {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in any = AddressOf("127.0.0.1:0");
  if (::bind(socket, reinterpret_cast<const sockaddr*>(&any), sizeof any) != 0 || ::listen(socket, 512) != 0)
    Stop("no loopback port");
  return socket;
}
// A loopback address on which nobody listens at the moment.
inline std::string FreeAddress() {
  const int socket = Listen();
  std::string address = TextOf(socket);
  ::close(socket);
  return address;
}

// One connection, read through a buffer.
class Wire {
 public:
  explicit Wire(int socket = -1) : socket_(socket) { SetNoDelay(); }
  Wire(Wire&& other) noexcept : socket_(std::exchange(other.socket_, -1)), buffer_(std::move(other.buffer_)) {}
  Wire& operator=(Wire&& other) noexcept {
    Close();
    socket_ = std::exchange(other.socket_, -1);
    buffer_ = std::move(other.buffer_);
    return *this;
  }
  ~Wire() { Close(); }

  // Returns 0 or the error. `receive_buffer`: in bytes; 0 for the system's default.
  int Connect(const std::string& address, int receive_buffer = 0) {
    Close();
    buffer_.clear();
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const sockaddr_in to = AddressOf(address);
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
      const int error = errno;
      Close();
      return error;
    }
    SetNoDelay();
    return 0;
  }
  bool IsOpen() const { return socket_ >= 0; }
  void Close() {
    if (socket_ >= 0) ::close(socket_);
    socket_ = -1;
  }
  bool Write(const std::string& bytes) {
    for (std::size_t done = 0; done < bytes.size();) {
      const auto written = ::send(socket_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (written <= 0) return false;
      done += static_cast<std::size_t>(written);
    }
    return true;
  }
  enum class Got { kBytes, kEnd, kReset, kNothing };
  // Waits for bytes up to the time `until`, and appends them to the buffer.
  Got Read(double until, std::size_t most = 65536) {
    pollfd query{socket_, POLLIN, 0};
    const double left = until - Now();
    const int ready = ::poll(&query, 1, left > 0 ? static_cast<int>(left * 1000) + 1 : 0);
    if (ready <= 0) return Got::kNothing;
    std::string bytes(most, '\0');
    const auto size = ::recv(socket_, bytes.data(), most, 0);
    if (size < 0) return Got::kReset;
    if (size == 0) return Got::kEnd;
    buffer_.append(bytes, 0, static_cast<std::size_t>(size));
    return Got::kBytes;
  }
  std::string& buffer() { return buffer_; }

 private:
  void SetNoDelay() const {
    const int on = 1;
    if (socket_ >= 0) ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  int socket_;
  std::string buffer_;
};

struct Head {
  std::string start;
  std::map<std::string, std::string> fields;  // names in lower case
  std::string operator[](const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
};
// Takes a whole head from the buffer, if there is one.
inline std::optional<Head> TakeHead(std::string& buffer) {
  const auto end = buffer.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  std::istringstream lines(buffer.substr(0, end + 2));
  buffer.erase(0, end + 4);
  Head head;
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto colon = line.find(':');
    if (head.start.empty()) {
      head.start = line;
    } else if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      const auto value = line.find_first_not_of(' ', colon + 1);
      head.fields[name] = value == std::string::npos ? "" : line.substr(value);
    }
  }
  return head;
}

// ---- Servers ----

// Reads requests, whose body it drops, and calls the handler for each; the connection ends when it returns false.
class Server {
 public:
  using Handler = std::function<bool(Wire&, const Head&)>;
  explicit Server(Handler handler) : handler_(std::move(handler)), listening_(Listen()), address_(TextOf(listening_)) {
    std::thread([this] {
      while (true) {
        const int accepted = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) continue;
        std::thread([this, accepted] { Serve(accepted); }).detach();
      }
    }).detach();
  }
  const std::string& address() const { return address_; }

 private:
  void Serve(int accepted) {
    Wire wire(accepted);
    while (true) {
      const auto head = TakeHead(wire.buffer());
      if (!head) {
        if (wire.Read(Now() + 1000) != Wire::Got::kBytes) return;
        continue;
      }
      const std::size_t body = std::strtoul((*head)["content-length"].c_str(), nullptr, 10);
      while (wire.buffer().size() < body) {
        if (wire.Read(Now() + 1000) != Wire::Got::kBytes) return;
      }
      wire.buffer().erase(0, body);
      if (!handler_(wire, *head)) return;
    }
  }
  const Handler handler_;
  const int listening_;
  const std::string address_;
};

inline bool Answer(Wire& wire, const std::string& body, const std::string& status = "200 OK") {
  return wire.Write("HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

struct Target {
  std::string uid;
  std::string endpoint;
  std::string state = "active";
};
inline std::string ListText(long revision, const std::vector<Target>& targets) {
  std::string text = "{\"rev\":" + std::to_string(revision) + ",\"all\":true,\"targets\":[";
  for (const Target& target : targets) {
    if (text.back() != '[') text += ",";
    text += "{\"uid\":\"" + target.uid + "\",\"endpoint\":\"" + target.endpoint +
            "\",\"az\":\"a\",\"model\":\"m2\",\"pod_group\":3,\"state\":\"" + target.state +
            "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
  }
  return text + "]}";
}

// Discovery, as an agent or as the one service: long polls wait for a newer version, all answers are whole lists.
class Discovery {
 public:
  Discovery(std::vector<Target> targets, long revision)
      : targets_(std::move(targets)),
        revision_(revision),
        server_([this](Wire& wire, const Head& head) { return Handle(wire, head); }) {}
  const std::string& address() const { return server_.address(); }
  void Set(std::vector<Target> targets) {
    const std::lock_guard lock(mutex_);
    targets_ = std::move(targets);
    ++revision_;
    changed_.notify_all();
  }
  // While it is silent, calls get no answer, also not after its return.
  void SetSilent(bool silent) {
    const std::lock_guard lock(mutex_);
    silent_ = silent;
    changed_.notify_all();
  }
  // Each call waits this long in turn, in seconds, before its answer.
  void SetDelay(double delay) { delay_ = delay; }

 private:
  bool Handle(Wire& wire, const Head& head) {
    const double began = Now();
    long index = -1;
    long wait_ms = 0;
    const auto query = head.start.find("index=");
    if (query != std::string::npos) std::sscanf(head.start.c_str() + query, "index=%ld&wait=%ld", &index, &wait_ms);
    std::unique_lock lock(mutex_);
    if (silent_) return WaitWhileSilent(lock);
    if (index >= 0) {
      changed_.wait_for(lock, std::chrono::milliseconds(std::min(wait_ms, 60000L)),
                        [&] { return revision_ > index || silent_; });
      if (silent_) return WaitWhileSilent(lock);
    }
    lock.unlock();
    SleepFor(delay_);
    lock.lock();
    const std::string text = ListText(revision_, targets_);
    const long revision = revision_;
    lock.unlock();
    const bool written = Answer(wire, text);
    Record("discovery: call at %.3f '%s' answered with version %ld%s", began, head.start.c_str(), revision,
           written ? "" : "; its connection was closed");
    return written;
  }
  bool WaitWhileSilent(std::unique_lock<std::mutex>& lock) {
    changed_.wait(lock, [this] { return !silent_; });
    return false;
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Target> targets_;
  long revision_;
  bool silent_ = false;
  std::atomic<double> delay_{0};
  Server server_;
};

// ---- The sidecar ----

// The settings of a small deployment: classes, limits and rules of schema-nord, whose lists are pushed, without probes;
// or of harbour-tolls (deploy/sites/), whose lists are asked for.
inline std::string SettingsText(const std::string& mode) {
  const bool pushed = mode == "pushed";
  const auto request_class = [](const char* name, const char* effect, const char* scope, int aim_ms, int limit_ms,
                                int window_ms, double worth) {
    return std::string("{\"Name\":\"") + name + "\",\"Effect\":\"" + effect + "\",\"Aim\":" + std::to_string(aim_ms) +
           "000,\"HardLimit\":" + std::to_string(limit_ms) + "000,\"KeyScope\":\"" + scope +
           "\",\"Window\":" + std::to_string(window_ms) + "000,\"Worth\":" + std::to_string(worth) +
           ",\"LateWorth\":0.0,\"Stream\":false}";
  };
  const std::string classes = pushed ? request_class("week-view", "read_like", "all", 1000, 3000, 5000, 5) + "," +
                                           request_class("room-check", "read_like", "all", 500, 1500, 5000, 2) + "," +
                                           request_class("lesson-move", "idempotency_key", "all", 500, 2500, 5000, 5) +
                                           "," + request_class("term-publish", "non_idempotent", "all", 800, 4000, 5000, 5)
                                     : request_class("berth.quote", "read_like", "all", 400, 1200, 700, 1) + "," +
                                           request_class("levy_2", "idempotency_key", "cell", 900, 2500, 700, 4) + "," +
                                           request_class("seal", "non_idempotent", "all", 1500, 3000, 700, 8);
  const std::string limits = pushed ? "\"ConnectTimeout\":120000,\"IdleClose\":15000000,\"MaxAttempts\":3,"
                                      "\"MaxRetryAfter\":2000000,\"SecondCopies\":true"
                                    : "\"ConnectTimeout\":200000,\"IdleClose\":8000000,\"MaxAttempts\":2,"
                                      "\"MaxRetryAfter\":1000000,\"SecondCopies\":false";
  const std::string rules = pushed ? "\"Cold\":7400000,\"ColdFrom\":0.31,\"Fall\":1000000,\"FallMultiple\":2.5,"
                                     "\"StopSendingWithin\":300000"
                                   : "\"Cold\":9000000,\"ColdFrom\":0.2,\"Fall\":1500000,\"FallMultiple\":3,"
                                     "\"StopSendingWithin\":800000";
  return "{\"Azs\":[\"a\"],\"Classes\":[" + classes + "],\"Clients\":{\"MarksRetry\":" + (pushed ? "true" : "false") +
         "},\"Kinds\":[\"m2\"],\"Layers\":[\"api\"],\"Limits\":{\"Cancelling\":true,\"MayProbe\":false,\"Multiplex\":1,"
         "\"OpenCap\":20000,\"Peers\":false,\"RetryAfter\":true," +
         limits + "},\"Me\":0,\"MembershipMode\":\"" + mode +
         "\",\"PeersTotal\":1,\"Report\":{\"Fields\":[],\"How\":\"none\"},\"Rules\":{\"GraceToAnswer\":20000,"
         "\"MustAskIn\":10000000," +
         rules + "},\"Tenants\":[],\"Tick\":5000,\"Tier\":0,\"Weights\":\"none\",\"WorthBy\":\"request\",\"Zone\":\"a\"}";
}

// The arguments of a case.
struct Case {
  std::string root;    // of the repository
  std::string folder;  // temporary, removed by the script
  bool trouble = true;
  std::string run;  // of the deploy file
};

struct SidecarOptions {
  std::string discovery;
  std::string mode = "pushed";
  std::string known;  // a list's text; empty: none
  bool admin = false;
};

// One deployment of a sidecar: its addresses, configuration and $TMPDIR. Each Start() is a process of it.
class Sidecar {
 public:
  Sidecar(const Case& arguments, SidecarOptions options)
      : case_(arguments), options_(std::move(options)), listen_(FreeAddress()) {
    if (::mkdir((case_.folder + "/tmpdir").c_str(), 0700) != 0) Stop("no folder for TMPDIR");
    std::ofstream(case_.folder + "/config.json")
        << "{\"name\":\"n1\",\"listen\":\"" << listen_ << "\",\"discovery\":\"" << options_.discovery
        << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":64,\"sockets\":256},"
        << (options_.known.empty() ? "" : "\"known\":" + options_.known + ",")
        << "\"settings\":" << SettingsText(options_.mode) << "}";
  }
  const std::string& listen() const { return listen_; }

  struct Process {
    pid_t pid = -1;
    std::string admin;
  };
  // Starts `run` by /bin/sh from the repository's root.
  Process Start() {
    Process process;
    if (options_.admin) process.admin = FreeAddress();
    const std::string log = case_.folder + "/sidecar-" + std::to_string(++started_) + ".log";
    const std::map<std::string, std::string> variables = {
        {"LB_NAME", "n1"},           {"LB_LISTEN", listen_},
        {"LB_CONFIG", case_.folder + "/config.json"}, {"LB_DISCOVERY", options_.discovery},
        {"LB_ADMIN", process.admin}, {"TMPDIR", case_.folder + "/tmpdir"}};
    process.pid = ::fork();
    if (process.pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::chdir(case_.root.c_str()) != 0) ::_exit(127);
      for (const auto& [name, value] : variables) {
        if (value.empty()) {
          ::unsetenv(name.c_str());
        } else {
          ::setenv(name.c_str(), value.c_str(), 1);
        }
      }
      const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(output, 1);
      ::dup2(output, 2);
      ::execl("/bin/sh", "sh", "-c", case_.run.c_str(), nullptr);
      ::_exit(127);
    }
    Children().push_back(process.pid);
    Record("sidecar: process %d starts: %s", started_, case_.run.c_str());
    return process;
  }
  // Starts a process and waits until clients may come.
  Process StartAndWait() {
    Process process = Start();
    for (const double until = Now() + 10; Now() < until; SleepFor(0.02)) {
      if (StatusOf(listen_, "/up", 0.5) == 200) return process;
    }
    Stop("the sidecar did not get ready");
  }
  // The status of a call without a body on a connection of its own; 0 if there is none in time.
  static int StatusOf(const std::string& address, const std::string& path, double timeout) {
    Wire wire;
    if (wire.Connect(address) != 0 || !wire.Write("GET " + path + " HTTP/1.1\r\nHost: api.internal\r\n\r\n")) return 0;
    for (const double until = Now() + timeout; Now() < until;) {
      if (const auto head = TakeHead(wire.buffer())) return std::atoi(head->start.c_str() + 9);
      if (wire.Read(until) != Wire::Got::kBytes) return 0;
    }
    return 0;
  }
  // Writes the processes' logs into the record.
  void RecordLogs() const {
    for (int i = 1; i <= started_; ++i) {
      std::ifstream log(case_.folder + "/sidecar-" + std::to_string(i) + ".log");
      int lines = 0;
      for (std::string line; std::getline(log, line) && lines < 40; ++lines) {
        Record("log of process %d: %s", i, line.c_str());
      }
    }
  }

 private:
  const Case& case_;
  const SidecarOptions options_;
  const std::string listen_;
  int started_ = 0;
};

// ---- Clients ----

inline std::string NewId() {
  static std::atomic<unsigned> count{0};
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(::getpid()), ++count);
  return text;
}
inline std::string GetText(const std::string& path, const std::string& id, int timeout_ms) {
  return "GET " + path + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id +
         "\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n\r\n";
}

inline std::string PostText(const std::string& path, const std::string& id, int timeout_ms, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id +
         "\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

struct Outcome {
  int status = 0;           // 0: no head came
  bool whole = false;       // the whole answer came
  bool cut = false;         // the sidecar closed or reset the connection before that
  double ended = 0;         // when it was whole or cut, or when the client gave up waiting
  std::size_t body = 0;     // bytes of the body
  std::string text;         // the body, as it came (chunks are not taken apart)
  bool keep_alive = false;  // the connection may carry another request
};
// Reads one answer up to the time `until`. Answers have a length or are chunked.
inline Outcome ReadAnswer(Wire& wire, double until) {
  Outcome outcome;
  std::optional<Head> head;
  while (true) {
    if (!head) {
      head = TakeHead(wire.buffer());
      if (head) outcome.status = std::atoi(head->start.c_str() + 9);
      if (head && outcome.status / 100 == 1) head.reset();
    }
    if (head) {
      const bool chunked = (*head)["transfer-encoding"] == "chunked";
      outcome.body = wire.buffer().size();
      const std::string last = "0\r\n\r\n";
      outcome.whole = chunked ? wire.buffer().size() >= last.size() &&
                                    wire.buffer().compare(wire.buffer().size() - last.size(), last.size(), last) == 0
                              : outcome.body >= std::strtoul((*head)["content-length"].c_str(), nullptr, 10);
      outcome.keep_alive = outcome.whole && (*head)["connection"] != "close";
    }
    if (outcome.whole) break;
    const auto got = wire.Read(until);
    if (got == Wire::Got::kNothing) break;
    if (got != Wire::Got::kBytes) {
      outcome.cut = true;
      break;
    }
  }
  outcome.ended = Now();
  outcome.text = std::exchange(wire.buffer(), {});
  return outcome;
}

inline std::string RunCommand(const std::string& root) {
  std::ifstream file(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.rfind('"') - 7);
  }
  Stop("deploy/balancer.toml has no run");
}

}  // namespace review

[[noreturn]] void Run(const review::Case& arguments);

// Arguments: the repository's root, the temporary folder, the record, and 0 for a run without the trouble.
int main(int argc, char** argv) {
  if (argc != 5) return 2;
  review::RecordFile() = std::fopen(argv[3], "w");
  if (review::RecordFile() == nullptr) return 2;
  std::signal(SIGPIPE, SIG_IGN);
  review::Now();
  review::Case arguments{argv[1], argv[2], std::string(argv[4]) != "0", ""};
  arguments.run = review::RunCommand(arguments.root);
  std::thread([] {
    review::SleepFor(110);
    review::Stop("it took over 110 s");
  }).detach();
  review::Record("trouble: %s", arguments.trouble ? "yes" : "no");
  Run(arguments);
}
