#include "tests/sidecar_process.h"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace lb::sidecar::testing {

json Settings() {
  const auto cls = [](const char* name, const char* idempotency) {
    return json{{"Name", name}, {"Effect", idempotency}, {"Aim", 400000}, {"HardLimit", 20000000}};
  };
  json keyed = cls("keyed", "idempotency_key");
  keyed["KeyScope"] = "all";
  keyed["Window"] = 5000000;
  return {{"Classes", {cls("page", "read_like"), cls("submit", "non_idempotent"), keyed}},
          {"MembershipMode", "pushed"},
          {"Limits",
           {{"MaxAttempts", 3},
            {"SecondCopies", false},
            {"Cancelling", true},
            {"ConnectTimeout", 200000},
            {"IdleClose", 15000000}}}};
}

SidecarProcess::SidecarProcess(const Options& options) {
  static std::atomic<int> count{0};
  config_path_ = std::filesystem::temp_directory_path() /
                 ("lb-sidecar-test-" + std::to_string(::getpid()) + "-" + std::to_string(count++) + ".json");
  config_ = {{"name", "t1"},
             {"listen", options.listen},
             {"discovery", options.discovery},
             {"seed", "8c1f30d27a5be964"},
             {"limits", {{"cores", 1.0}, {"memory_mb", options.memory_mb}, {"sockets", options.sockets}}},
             {"settings", options.settings}};
  if (!options.known.is_null()) config_["known"] = {{"rev", 0}, {"all", true}, {"targets", options.known}};
  std::ofstream(config_path_) << (options.config_text.empty() ? config_.dump() : options.config_text);

  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("pipe");
  pid_ = ::fork();
  if (pid_ == 0) {
    ::dup2(ends[1], 2);
    ::setenv("LB_NAME", "t1", 1);
    ::setenv("LB_LISTEN", options.listen.c_str(), 1);
    ::setenv("LB_DISCOVERY", options.discovery.c_str(), 1);
    ::setenv("LB_CONFIG", config_path_.c_str(), 1);
    if (!options.admin.empty()) ::setenv("LB_ADMIN", options.admin.c_str(), 1);
    if (!options.tmpdir.empty()) ::setenv("TMPDIR", options.tmpdir.c_str(), 1);
    for (const auto& [name, value] : options.environment) ::setenv(name.c_str(), value.c_str(), 1);
    for (const auto& name : options.unset) ::unsetenv(name.c_str());
    // The program must not hold connections of the test open that the test closes.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execl(LB_SIDECAR_PROGRAM, LB_SIDECAR_PROGRAM, nullptr);
    ::_exit(127);
  }
  ::close(ends[1]);
  reading_ = std::thread([this, from = ends[0]] {
    char bytes[4096];
    ssize_t size = 0;
    while ((size = ::read(from, bytes, sizeof bytes)) > 0) {
      const std::lock_guard lock(mutex_);
      log_.append(bytes, static_cast<std::size_t>(size));
    }
    ::close(from);
  });
}

SidecarProcess::~SidecarProcess() {
  if (!status_) {
    ::kill(pid_, SIGKILL);
    Wait();
  }
  if (reading_.joinable()) reading_.join();
  std::filesystem::remove(config_path_);
}

bool SidecarProcess::Listening() {
  const bool listens =
      Eventually([this] { return (port_ = LoggedPort(": listening address=127.0.0.1:")) != 0; });
  if (!listens) std::cerr << Describe();
  return listens;
}

std::string SidecarProcess::Describe() const {
  const std::string folder = "/proc/" + std::to_string(pid_) + "/";
  std::string text;
  for (const char* name : {"cmdline", "wchan", "syscall", "stack", "status", "io"}) {
    std::ifstream file(folder + name);
    text.append(name).append(": ").append(std::istreambuf_iterator<char>(file), {}).append("\n");
  }
  return text + "log: " + log() + "\n";
}

std::uint16_t SidecarProcess::LoggedPort(const std::string& prefix) const {
  const std::string text = log();
  const auto at = text.find(prefix);
  if (at == std::string::npos || text.find('\n', at) == std::string::npos) return 0;
  return static_cast<std::uint16_t>(std::stoi(text.substr(at + prefix.size())));
}

std::uint16_t SidecarProcess::admin_port() {
  std::uint16_t port = 0;
  Eventually([&] { return (port = LoggedPort(": admin_listening address=127.0.0.1:")) != 0; });
  return port;
}

std::optional<Response> SidecarProcess::CallAdmin(const std::string& method, const std::string& target) {
  Client caller(admin_port());
  if (!caller.Send(method + " " + target + " HTTP/1.1\r\nHost: x\r\n\r\n")) return std::nullopt;
  return caller.Read();
}

unsigned SidecarProcess::Status(const std::string& method, const std::string& target) {
  const auto answer = CallAdmin(method, target);
  return answer ? answer->result_int() : 0;
}

void SidecarProcess::Signal(int number) { ::kill(pid_, number); }

void SidecarProcess::Pause() {
  Signal(SIGSTOP);
  ::waitpid(pid_, nullptr, WUNTRACED);
}

void SidecarProcess::Reload(const std::string& config_text) {
  std::ofstream(config_path_ + ".new") << config_text;
  std::filesystem::rename(config_path_ + ".new", config_path_);
  Signal(SIGHUP);
}

int SidecarProcess::Wait() {
  if (!status_) {
    int status = 0;
    ::waitpid(pid_, &status, 0);
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    reading_.join();
  }
  return *status_;
}

std::string SidecarProcess::log() const {
  const std::lock_guard lock(mutex_);
  return log_;
}

int SidecarProcess::descriptors() const {
  int count = 0;
  for ([[maybe_unused]] const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd")) {
    ++count;
  }
  return count;
}

std::size_t SidecarProcess::peak_memory_kib() const {
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  std::string word;
  while (status >> word && word != "VmHWM:") {
  }
  std::size_t kibibytes = 0;
  status >> kibibytes;
  return kibibytes;
}

Folder::Folder() {
  std::string name = std::filesystem::temp_directory_path() / "lb-sidecar-folder-XXXXXX";
  if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("mkdtemp");
  path_ = name;
}

Folder::~Folder() { std::filesystem::remove_all(path_); }

}  // namespace lb::sidecar::testing
