// Configures and runs a real sidecar: its configuration file, its environment, its process and its readiness.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "balancer/balancer.h"
#include "lab/real/port_reservation.h"
#include "lab/real/process.h"
#include "lab/real/wall_clock.h"
#include "nlohmann/json.hpp"

namespace lb::lab {

// The settings under the names of the configuration format; lb::ParseSettings() is the inverse.
nlohmann::json ToJson(const lb::Settings& settings);

struct SidecarConfig {
  std::string name;
  std::string listen = "127.0.0.1:0";  // port 0: the kernel picks a free port
  std::string discovery;               // `address:port`
  std::uint64_t seed = 0;
  double cores = 1;
  int memory_mb = 64;
  std::size_t sockets = 1024;
  nlohmann::json known;  // initial endpoint list in discovery's format (`rev`, `all`, `targets`); null: none
  lb::Settings settings;
};

// The content of the configuration file.
nlohmann::json ToJson(const SidecarConfig& config);

// The environment variables LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_CONFIG.
std::map<std::string, std::string> Environment(const SidecarConfig& config, const std::string& config_path);

// Polls `GET /up` until it answers 200; false if it does not within `timeout`. Blocks.
bool IsReady(const boost::asio::ip::tcp::endpoint& listen, Duration timeout);

// The process of a real sidecar. Its name and address stay the same over restarts, as the port is reserved
// while the process does not run. Call it only on the thread that created it, which has to outlive it.
class SidecarProcess {
 public:
  // `program` is the path of the sidecar's executable. The configuration and log files are named after the
  // sidecar and written to `folder`, which has to exist. Throws std::invalid_argument if `config.listen` is
  // not an address and port, and std::system_error if the port cannot be reserved.
  SidecarProcess(std::string program, const std::string& folder, SidecarConfig config);

  // Starts or restarts the process and waits up to 10 s until it listens. Throws std::runtime_error with the
  // end of its log if it does not, and std::system_error if the program cannot be started.
  void Start();
  // Gives the sidecar a wall clock of its own, kept in `folder`, that StepClock() can change. Call it before
  // the first start.
  void UseOwnWallClock(const std::string& folder);
  // Steps the sidecar's own wall clock forward by `step`. Throws std::logic_error if the sidecar has none.
  void StepClock(Duration step);
  // Waits until the sidecar reports that it is ready; false if it does not within `timeout`. Blocks.
  bool AwaitReady(Duration timeout);
  // Set the initial endpoint list and the seed for the next start.
  void SetEndpointList(nlohmann::json list) { config_.known = std::move(list); }
  void SetSeed(std::uint64_t seed) { config_.seed = seed; }
  // Changes the discovery address and rewrites the configuration file, for a reload and for the next start.
  // Throws std::runtime_error if the file cannot be written.
  void ChangeDiscoveryAddress(std::string discovery);
  // Truncates the configuration file to half of its content, until the next rewrite or start.
  void WriteMalformedConfiguration() const;

  const SidecarConfig& config() const { return config_; }
  const boost::asio::ip::tcp::endpoint& listen() const { return port_.endpoint(); }
  // Throws std::logic_error before the first start.
  Process& process();

 private:
  void WriteConfig() const;
  void ReplaceConfig(const std::string& text) const;
  void AwaitListening();

  std::string program_;
  std::string config_path_;
  std::string log_path_;
  SidecarConfig config_;
  PortReservation port_;
  std::optional<WallClock> clock_;
  std::optional<Process> process_;
};

}  // namespace lb::lab
