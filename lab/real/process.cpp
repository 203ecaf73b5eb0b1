#include "lab/real/process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <system_error>
#include <thread>
#include <utility>

extern char** environ;

namespace lb::lab {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(2);
constexpr int kFailurePipe = 3;  // descriptor number in the child: the first after the standard ones
constexpr double kKilobytesPerMegabyte = 1024;

std::system_error SystemError(const std::string& what) {
  return std::system_error(errno, std::generic_category(), what);
}

class Descriptor {
 public:
  explicit Descriptor(int number) : number_(number) {}
  ~Descriptor() { Close(); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  int number() const { return number_; }
  void Close() {
    if (number_ >= 0) ::close(std::exchange(number_, -1));
  }

 private:
  int number_;
};

// The environment of the lab, in which `additions` replace variables of the same name.
std::vector<std::string> MergedEnvironment(const std::map<std::string, std::string>& additions) {
  std::vector<std::string> merged;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string text = *entry;
    if (!additions.contains(text.substr(0, text.find('=')))) merged.push_back(text);
  }
  for (const auto& [name, value] : additions) {
    std::string text = name;
    text += '=';
    text += value;
    merged.push_back(std::move(text));
  }
  return merged;
}

std::vector<char*> Pointers(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

// Everything that the child needs, prepared before fork(): the child must not allocate memory, as another
// thread may have held the allocator's lock at the fork.
struct ChildParameters {
  const char* program;
  char* const* arguments;
  char* const* environment;
  const char* folder;  // working directory; null: the lab's
  int output;
  int failure_pipe;
  pid_t parent;
};

// Runs in the child and replaces it with the program. Returns only on failure, with errno set.
void ExecuteProgram(const ChildParameters& parameters) {
  ::setpgid(0, 0);
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parameters.parent) ::_exit(1);  // the lab ended before PR_SET_PDEATHSIG was set
  if (parameters.folder != nullptr && ::chdir(parameters.folder) != 0) return;
  const int input = ::open("/dev/null", O_RDONLY);
  if (input < 0 || ::dup2(input, STDIN_FILENO) < 0) return;
  if (::dup2(parameters.output, STDOUT_FILENO) < 0 || ::dup2(parameters.output, STDERR_FILENO) < 0) return;
  // Sockets inherited from the lab would stay open in the child and keep their addresses in use.
  ::close_range(kFailurePipe + 1, ~0U, 0);
  ::signal(SIGPIPE, SIG_DFL);
  sigset_t none;
  ::sigemptyset(&none);
  ::sigprocmask(SIG_SETMASK, &none, nullptr);
  ::execve(parameters.program, parameters.arguments, parameters.environment);
}

// Runs the program in the child; on failure, writes errno to the failure pipe and exits with 127.
[[noreturn]] void RunChild(ChildParameters parameters) {
  // Moves the pipe to a fixed descriptor that does not collide with the standard ones.
  const int output = ::fcntl(parameters.output, F_DUPFD_CLOEXEC, kFailurePipe + 1);
  const int pipe = ::fcntl(parameters.failure_pipe, F_DUPFD_CLOEXEC, kFailurePipe + 1);
  if (output >= 0 && pipe >= 0 && ::dup3(pipe, kFailurePipe, O_CLOEXEC) == kFailurePipe) {
    parameters.output = output;
    ExecuteProgram(parameters);
    const int error = errno;
    [[maybe_unused]] const ssize_t written = ::write(kFailurePipe, &error, sizeof error);
  }
  ::_exit(127);
}

ExitStatus ToExitStatus(int status) {
  if (WIFEXITED(status)) return {WEXITSTATUS(status), 0};
  return {0, WTERMSIG(status)};
}

std::string ProcFile(pid_t pid, const char* name) { return "/proc/" + std::to_string(pid) + "/" + name; }

// Processor time of all threads, including those that ended; nullopt if the process does not exist.
std::optional<double> CpuSeconds(pid_t pid) {
  constexpr double kNanosecondsPerSecond = 1e9;
  clockid_t clock{};
  timespec spent{};
  if (::clock_getcpuclockid(pid, &clock) != 0 || ::clock_gettime(clock, &spent) != 0) return std::nullopt;
  return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) / kNanosecondsPerSecond;
}

// The value, in MB, of the line `wanted KILOBYTES kB` in a per-process file of proc(5); nullopt without such
// a line.
std::optional<double> MegabytesOf(pid_t pid, const char* file, std::string_view wanted) {
  std::ifstream stream(ProcFile(pid, file));
  std::string line;
  while (std::getline(stream, line)) {
    std::istringstream fields(line);
    std::string name;
    double kilobytes = 0;
    if (fields >> name >> kilobytes && name == wanted) return kilobytes / kKilobytesPerMegabyte;
  }
  return std::nullopt;
}

std::optional<double> ResidentMemoryOfMb(pid_t pid) {
  std::ifstream stream(ProcFile(pid, "statm"));
  std::uint64_t size = 0, resident = 0;
  if (!(stream >> size >> resident)) return std::nullopt;
  const auto page = static_cast<double>(::sysconf(_SC_PAGESIZE));
  return static_cast<double>(resident) * page / (kKilobytesPerMegabyte * kKilobytesPerMegabyte);
}

std::optional<std::size_t> OpenDescriptors(pid_t pid) {
  std::error_code error;
  std::filesystem::directory_iterator entries(ProcFile(pid, "fd"), error);
  if (error) return std::nullopt;
  std::size_t count = 0;
  for (const std::filesystem::directory_iterator end; entries != end && !error; entries.increment(error)) {
    ++count;
  }
  return count;
}

}  // namespace

Process::Process(const ProcessOptions& options) : log_file_(options.log_file) {
  // Relative paths refer to the working directory of the lab, not to that of the child.
  std::string program = std::filesystem::absolute(options.program).string();
  std::vector<std::string> argument_texts = {program};
  argument_texts.insert(argument_texts.end(), options.arguments.begin(), options.arguments.end());
  std::vector<std::string> environment_texts = MergedEnvironment(options.environment);
  const std::vector<char*> arguments = Pointers(argument_texts);
  const std::vector<char*> environment = Pointers(environment_texts);

  const std::string log = log_file_.empty() ? "/dev/null" : log_file_;
  const Descriptor output(::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644));
  if (output.number() < 0) throw SystemError("cannot open " + log);
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) throw SystemError("pipe2");
  const Descriptor read_end(ends[0]);
  Descriptor write_end(ends[1]);

  const ChildParameters parameters = {
      program.c_str(),    arguments.data(),
      environment.data(), options.folder.empty() ? nullptr : options.folder.c_str(),
      output.number(),    write_end.number(),
      ::getpid()};
  pid_ = ::fork();
  if (pid_ < 0) throw SystemError("fork");
  if (pid_ == 0) RunChild(parameters);
  write_end.Close();
  // The read returns without data once the program runs, as execve() closes the other end of the pipe.
  int error = 0;
  ssize_t size = 0;
  do {
    size = ::read(read_end.number(), &error, sizeof error);
  } while (size < 0 && errno == EINTR);
  if (size == sizeof error) {
    ::waitpid(pid_, nullptr, 0);
    throw std::system_error(error, std::generic_category(), "cannot start " + program);
  }
}

Process::~Process() {
  if (pid_ > 0 && !status_) KillGroupAndReap();
}

Process::Process(Process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      log_file_(std::move(other.log_file_)),
      status_(std::exchange(other.status_, std::nullopt)) {}

Process& Process::operator=(Process&& other) noexcept {
  if (this == &other) return *this;
  if (pid_ > 0 && !status_) KillGroupAndReap();
  pid_ = std::exchange(other.pid_, -1);
  log_file_ = std::move(other.log_file_);
  status_ = std::exchange(other.status_, std::nullopt);
  return *this;
}

std::optional<ExitStatus> Process::Poll() {
  if (status_ || pid_ <= 0) return status_;
  siginfo_t info{};
  // WNOWAIT keeps the process as a zombie, so that the kernel cannot reuse its process group id yet.
  if (::waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) != 0) return std::nullopt;
  if (info.si_pid == 0) return std::nullopt;
  EndGroup();
  return status_;
}

void Process::EndGroup() {
  if (pid_ <= 0) throw std::logic_error("the process was moved away");
  KillGroupAndReap();
}

void Process::KillGroupAndReap() noexcept {
  ::kill(-pid_, SIGKILL);
  int status = 0;
  while (::waitpid(pid_, &status, 0) < 0 && errno == EINTR) {
  }
  status_ = ToExitStatus(status);
}

void Process::Signal(int number) {
  if (pid_ > 0 && !Poll()) ::kill(pid_, number);
}

ExitStatus Process::Wait() {
  if (pid_ <= 0) throw std::logic_error("the process was moved away");
  while (!Poll()) std::this_thread::sleep_for(kPollInterval);
  return *status_;
}

std::optional<ExitStatus> Process::WaitFor(Duration timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!Poll() && std::chrono::steady_clock::now() < end) std::this_thread::sleep_for(kPollInterval);
  return status_;
}

ExitStatus Process::Stop(Duration timeout) {
  Signal(SIGTERM);
  if (WaitFor(timeout)) return *status_;
  return Kill();
}

ExitStatus Process::Kill() {
  if (!Poll()) EndGroup();
  return *status_;
}

std::optional<ProcessUsage> Process::Usage() {
  if (pid_ <= 0 || Poll()) return std::nullopt;
  const auto cpu_s = CpuSeconds(pid_);
  auto memory_mb = MegabytesOf(pid_, "smaps_rollup", "Pss:");
  if (!memory_mb) memory_mb = ResidentMemoryOfMb(pid_);
  const auto peak_memory_mb = MegabytesOf(pid_, "status", "VmHWM:");
  const auto descriptors = OpenDescriptors(pid_);
  if (!cpu_s || !memory_mb || !peak_memory_mb || !descriptors) return std::nullopt;
  return ProcessUsage{*cpu_s, *memory_mb, *peak_memory_mb, *descriptors};
}

std::string Process::Log() const {
  if (log_file_.empty()) return {};
  std::ifstream stream(log_file_);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace lb::lab
