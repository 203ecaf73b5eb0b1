// Loads and validates the configuration of a sidecar: the LB_* environment variables and the JSON file
// (DEPLOY).
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

// The configuration is invalid. The text is one line and names the variable or field that is wrong.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The folder under $TMPDIR that all processes of a sidecar share. The name must not change: a later release
// reads the state that an earlier one stored there, and a hot restart reaches the process of an earlier
// release through it.
inline constexpr char kStateFolder[] = "mothrack";

// The file under $TMPDIR in which the processes of a sidecar share the request ids that were used lately. A
// file of another format needs another name.
inline constexpr char kRequestIdsFile[] = "lb-request-ids-1";

struct Config {
  std::string name;  // LB_NAME; the prefix of each log line
  Endpoint listen;
  Endpoint discovery;
  std::optional<Endpoint> admin;     // address of the admin interface; absent: disabled
  std::string state_folder;          // folder of the state kept across hot restarts; empty: none
  std::string request_ids_file;      // of the request ids shared with the other process; empty: none
  std::size_t request_id_slots = 0;  // how many request ids there is room for
  std::uint64_t seed = 0;            // of the sidecar's random number generators
  std::size_t sockets = 0;           // maximum number of open file descriptors
  std::size_t stream_capacity = 0;   // maximum bytes buffered of one streamed body
  std::size_t message_memory = 0;    // bytes of all messages in flight from which none is held whole
  nlohmann::json known;              // last known endpoint list, in discovery's JSON format; null: none
  Settings settings;
};

// Parses an IP address and port such as `10.0.0.4:9000`. Returns nothing if the text is invalid.
std::optional<Endpoint> ParseEndpoint(const std::string& text);

// The inverse of ParseEndpoint().
std::string ToText(const Endpoint& endpoint);

// Loads the configuration from the environment and from the file that LB_CONFIG names. `get_variable` works
// like std::getenv: it returns null for a variable that is not set. Throws ConfigError.
Config LoadConfig(const std::function<const char*(const char*)>& get_variable);

}  // namespace lb
