// The configuration of a sidecar: the LB_* variables and the JSON file (DEPLOY), read and checked as a whole.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

#include "balancer/balancer.h"
#include "nlohmann/json.hpp"

namespace lb {

using Endpoint = boost::asio::ip::tcp::endpoint;

// The configuration can't be used. The text is one line that names the variable or the field at fault.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The folder under $TMPDIR that all processes of a sidecar share. The spelling is of the first release: what
// any release stored there is read by a later one, and the process of any release is reached there for a hot
// restart.
inline constexpr char kStateFolder[] = "mothrack";

struct Config {
  std::string name;  // LB_NAME; begins each log line
  Endpoint listen;
  Endpoint discovery;
  std::optional<Endpoint> admin;    // of the admin interface; absent: there is none
  std::string state_folder;         // what survives a hot restart; empty: there is nowhere to store it
  std::uint64_t seed = 0;           // of all random decisions
  std::size_t sockets = 0;          // the most descriptors that may be open
  std::size_t stream_capacity = 0;  // the most bytes held of one streamed body
  nlohmann::json known;  // the endpoint list as last held, in discovery's form; null where there is none
  Settings settings;
};

// Reads `10.0.0.4:9000`. Nothing for a text that is no address and port.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

// Reads the environment by `variable` (as std::getenv: null for one that is not set) and the file that
// LB_CONFIG names. Throws ConfigError.
Config LoadConfig(const std::function<const char*(const char*)>& variable);

}  // namespace lb
