// The inputs of a real sidecar: its configuration file, its environment, and whether it is ready.
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

// The settings under the wire's names: lb::adapter::ParseSettings() makes the same ones of it.
nlohmann::json ToJson(const lb::Settings& settings);

struct SidecarConfig {
  std::string name;
  std::string listen = "127.0.0.1:0";  // port 0: the system picks one
  std::string discovery;               // `address:port`
  std::uint64_t seed = 0;
  double cores = 1;
  int memory_mb = 64;
  std::size_t sockets = 1024;
  nlohmann::json known;  // in discovery's form (`rev`, `all`, `targets`); null: nothing is known
  lb::Settings settings;
};

// The configuration file.
nlohmann::json ToJson(const SidecarConfig& config);

// LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_CONFIG.
std::map<std::string, std::string> Environment(const SidecarConfig& config, const std::string& config_path);

// Whether `GET /up` at that address answers 200 within that time. Blocks.
bool IsReady(const boost::asio::ip::tcp::endpoint& listen, Duration patience);

// A real sidecar, which keeps its name and address over restarts: the port is reserved while it does not run.
// For one thread, which has to outlive it.
class SidecarProcess {
 public:
  // `program` is the sidecar's; its configuration and log are kept in `folder`, which has to exist, under its
  // name. Throws std::invalid_argument where `config.listen` is no address and port, and std::system_error
  // where that can't be had.
  SidecarProcess(std::string program, const std::string& folder, SidecarConfig config);

  // Restarts it and waits until it listens, for a few seconds at most. Throws std::runtime_error with its
  // log's end where it does not, and std::system_error where the program can't be started.
  void Start();
  // Before the first start: its machine's wall clock is its own, kept in `folder`, and can be stepped.
  void HaveOwnClock(const std::string& folder);
  // Throws std::logic_error where it has none.
  void StepClock(Duration by);
  // Whether it answers that it is ready, within that time. Blocks.
  bool AwaitReady(Duration patience);
  // What is known is what a restarted sidecar begins with.
  void SetKnown(nlohmann::json known) { config_.known = std::move(known); }
  void SetSeed(std::uint64_t seed) { config_.seed = seed; }
  // Replaces the configuration file, for a process that reads it again and for the next start.
  // Throws std::runtime_error where it can't be written.
  void MoveDiscovery(std::string discovery);
  // Replaces the file by half of one, until the next replacement or start.
  void SpoilConfiguration() const;

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
