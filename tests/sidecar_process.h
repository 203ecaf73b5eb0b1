// The program under test as a process of its own, with its configuration file and its log.
#pragma once

#include <sys/types.h>

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

json Settings();

// The program under test, lb-sidecar, as a process of its own; killed at the end of the test.
class SidecarProcess {
 public:
  struct Options {
    std::string discovery = "127.0.0.1:1";
    json known = nullptr;
    json settings = Settings();
    int sockets = 256;
    std::string listen = "127.0.0.1:0";
    std::string admin;   // the admin interface's address; empty: none
    std::string tmpdir;  // empty: the test's own $TMPDIR
    std::vector<std::string> unset;
    std::map<std::string, std::string> environment;  // set in addition
    std::string config_text;                         // in place of the JSON made from the rest
  };
  explicit SidecarProcess(const Options& options);
  ~SidecarProcess();
  bool Listening();  // waits until it listens; false where it never does
  std::uint16_t port() const { return port_; }
  // The admin interface's response to one call.
  std::optional<Response> Operate(const std::string& method, const std::string& target);
  unsigned Status(const std::string& method, const std::string& target);  // its status; 0 without a response
  std::uint16_t admin_port();
  void Signal(int number);
  void Pause();                                 // SIGSTOP, and waits until it has stopped; SIGCONT resumes it
  void Reload(const std::string& config_text);  // replaces the configuration file and sends SIGHUP
  json config() const { return config_; }
  int Wait();  // its exit code; 128 plus the signal where it was killed
  pid_t pid() const { return pid_; }
  std::string log() const;
  int descriptors() const;

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
  std::uint16_t port_ = 0;
  json config_;
  std::string config_path_;
  std::uint16_t PortBehind(const std::string& mark) const;  // in the log; 0 while it is not there
  mutable std::mutex mutex_;
  std::string log_;
  std::thread reading_;
};

// Options for a sidecar whose configuration file names these upstreams.
inline SidecarProcess::Options With(const json& known, json settings = Settings()) {
  SidecarProcess::Options options;
  options.known = known;
  options.settings = std::move(settings);
  return options;
}

// A temporary folder, removed with the object.
class Folder {
 public:
  Folder();
  ~Folder();
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Where a sidecar with this $TMPDIR stores the operator state.
inline std::string StateFolder(const Folder& tmpdir) { return tmpdir.path() + "/" + kStateFolder; }

}  // namespace lb::sidecar::testing
