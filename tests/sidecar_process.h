// Starts and controls the lb-sidecar program under test as a child process, with its configuration file and
// its log.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "settings/config.h"
#include "tests/discovery_stand_in.h"
#include "tests/scripted_peers.h"

namespace lb::sidecar::testing {

// Settings with the request classes `page` (idempotent), `submit` (non-idempotent) and `keyed` (idempotency
// key).
json Settings();

// A running lb-sidecar process. The destructor kills the process if it still runs.
class SidecarProcess {
 public:
  struct Options {
    std::string discovery = "127.0.0.1:1";
    json known = nullptr;  // the entries of the known endpoint list; null: none
    json settings = Settings();
    int sockets = 256;
    int memory_mb = 192;
    std::string listen = "127.0.0.1:0";
    std::string admin;                               // address of the admin interface; empty: none
    std::string tmpdir;                              // $TMPDIR of the process; empty: inherited from the test
    std::vector<std::string> unset;                  // environment variables to remove
    std::map<std::string, std::string> environment;  // additional environment variables
    std::string config_text;                         // replaces the generated configuration file
  };
  explicit SidecarProcess(const Options& options);
  ~SidecarProcess();
  // Waits until the process listens for clients. On timeout, writes what the process does to the test's
  // output and returns false.
  bool Listening();
  std::uint16_t port() const { return port_; }
  // Calls the admin interface and returns the response.
  std::optional<Response> CallAdmin(const std::string& method, const std::string& target);
  // Calls the admin interface and returns the status of the response; 0 without a response.
  unsigned Status(const std::string& method, const std::string& target);
  // Waits for the port of the admin interface; 0 on timeout.
  std::uint16_t admin_port();
  void Signal(int number);
  // Sends SIGSTOP and waits until the process has stopped. SIGCONT resumes it.
  void Pause();
  // Replaces the configuration file and sends SIGHUP.
  void Reload(const std::string& config_text);
  // The generated configuration, whether or not it was replaced by `config_text`.
  json config() const { return config_; }
  // Waits for the process to end and returns its exit code, or 128 plus the signal number if a signal killed
  // it.
  int Wait();
  pid_t pid() const { return pid_; }
  // What the process has written to standard error so far.
  std::string log() const;
  // The number of file descriptors that the process has open.
  int descriptors() const;
  // The peak of the process's resident memory, in KiB.
  std::size_t peak_memory_kib() const;

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
  std::uint16_t port_ = 0;
  json config_;
  std::string config_path_;
  // What the kernel says of the process, and its log: tells a hang before or after exec() from a slow start.
  std::string Describe() const;
  // The port that follows `prefix` in the log; 0 if the log does not contain it yet.
  std::uint16_t LoggedPort(const std::string& prefix) const;
  mutable std::mutex mutex_;
  std::string log_;
  std::thread reading_;
};

// Options for a sidecar whose configuration file contains these entries as the known endpoint list.
inline SidecarProcess::Options With(const json& known, json settings = Settings()) {
  SidecarProcess::Options options;
  options.known = known;
  options.settings = std::move(settings);
  return options;
}

// A temporary folder. The destructor removes the folder and its contents.
class Folder {
 public:
  Folder();
  ~Folder();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// The folder in which a sidecar with this $TMPDIR stores the operator state.
inline std::string StateFolder(const Folder& tmpdir) { return tmpdir.path() + "/" + kStateFolder; }

}  // namespace lb::sidecar::testing
