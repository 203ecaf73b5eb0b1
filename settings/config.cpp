#include "settings/config.h"

#include <sys/resource.h>

#include <algorithm>
#include <bit>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <fstream>
#include <limits>
#include <utility>

#include "settings/settings_reader.h"

namespace lb {
namespace {

using nlohmann::json;

// With a lower limit, too few descriptors remain beside the fixed ones (Descriptors::kReservedDescriptors)
// and those of the admin interface.
constexpr std::size_t kMinSockets = 64;
// Limits of the bytes buffered of one streamed body: the minimum is one memory page, the maximum is what a
// connection reads at once.
constexpr std::size_t kMinStreamCapacity = std::size_t{4} * 1024;
constexpr std::size_t kMaxStreamCapacity = std::size_t{32} * 1024;
constexpr double kBuffersPerStream = 3;
// In bytes: what a client's connection, its upstream's connection and its request take beside the bodies.
constexpr double kConnectionMemory = 20 * 1024;

std::string Variable(const std::function<const char*(const char*)>& get_variable, const char* name) {
  const char* value = get_variable(name);
  if (value == nullptr || *value == '\0') throw ConfigError(std::string(name) + " is not set");
  return value;
}

Endpoint Address(const std::string& name, const std::string& text) {
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) throw ConfigError(name + " is not an IP address and port: " + text);
  return *endpoint;
}

Endpoint AddressVariable(const std::function<const char*(const char*)>& get_variable, const char* name) {
  return Address(name, Variable(get_variable, name));
}

const json& Field(const json& object, const std::string& path, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) throw ConfigError("LB_CONFIG: " + path + name + " is missing");
  return *it;
}

std::uint64_t ReadSeed(const json& file) {
  const json& field = Field(file, "", "seed");
  if (field.is_number_unsigned()) return field.get<std::uint64_t>();
  std::uint64_t seed = 0;
  if (field.is_string()) {
    const auto& text = field.get_ref<const std::string&>();
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (error == std::errc() && end == text.data() + text.size()) return seed;
  }
  throw ConfigError("LB_CONFIG: seed is neither an unsigned integer nor a string of hexadecimal digits");
}

// The descriptor limit: the lower of the configured limit and the process limit of the operating system.
std::size_t SocketLimit(const json& file) {
  const json& limits = Field(file, "", "limits");
  if (!limits.is_object()) throw ConfigError("LB_CONFIG: limits is not an object");
  const json& field = Field(limits, "limits.", "sockets");
  if (!field.is_number_unsigned() || field.get<std::uint64_t>() < kMinSockets) {
    throw ConfigError("LB_CONFIG: limits.sockets is not an integer of at least " +
                      std::to_string(kMinSockets));
  }
  auto sockets = field.get<std::uint64_t>();
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    sockets = std::min<std::uint64_t>(sockets, limit.rlim_cur);
  }
  return sockets;
}

// The memory limit in bytes; none if the file gives none.
std::optional<double> MemoryLimit(const json& file) {
  const json& limits = file.at("limits");
  const auto field = limits.find("memory_mb");
  if (field == limits.end()) return std::nullopt;
  if (!field->is_number() || !(field->get<double>() > 0))
    throw ConfigError("LB_CONFIG: limits.memory_mb is not a positive number");
  return field->get<double>() * 1024 * 1024;
}

// Clients may hold half of the sockets.
double MaxClients(std::size_t sockets) { return static_cast<double>(sockets) / 2; }

// The bytes buffered of each streamed body. Up to kBuffersPerStream buffers hold as much: read ahead, waiting
// in the stream, and being written. All of them together use a quarter of the memory if every client has a
// streamed body.
std::size_t StreamCapacity(std::optional<double> memory, std::size_t sockets) {
  if (!memory) return kMaxStreamCapacity;
  const double share = *memory / 4 / kBuffersPerStream / MaxClients(sockets);
  return static_cast<std::size_t>(std::clamp<double>(share, kMinStreamCapacity, kMaxStreamCapacity));
}

// The bytes of all messages in flight from which none is held whole any more. Beside them there has to be
// memory for the program, the endpoint list, and the connections with their streams.
std::size_t MessageMemory(std::optional<double> memory, std::size_t sockets) {
  if (!memory) return std::numeric_limits<std::size_t>::max();
  const double share = *memory / 2 - MaxClients(sockets) * kConnectionMemory;
  return static_cast<std::size_t>(std::max(share, *memory / 8));
}

// Request ids take at most a 32nd of the memory.
std::size_t RequestIdSlots(std::optional<double> memory) {
  constexpr double kBytesPerSlot = 8;
  constexpr std::size_t kMinSlots = 8192;
  constexpr std::size_t kMaxSlots = 524288;
  if (!memory) return kMaxSlots;
  const auto slots = static_cast<std::size_t>(*memory / 32 / kBytesPerSlot);
  return std::bit_floor(std::clamp(slots, kMinSlots, kMaxSlots));
}

// The environment takes precedence over the file: during a hot restart, each process gets its own admin
// address from its environment.
std::optional<Endpoint> AdminAddress(const std::function<const char*(const char*)>& get_variable,
                                     const json& file) {
  if (const char* text = get_variable("LB_ADMIN"); text != nullptr && *text != '\0') {
    return Address("LB_ADMIN", text);
  }
  const auto field = file.find("admin");
  if (field == file.end() || field->is_null()) return std::nullopt;
  if (!field->is_string()) throw ConfigError("LB_CONFIG: admin is not a string");
  return Address("LB_CONFIG: admin", field->get<std::string>());
}

Settings ReadSettings(const json& file) {
  try {
    auto settings = ParseSettings(Field(file, "", "settings"));
    settings.Validate();
    return settings;
  } catch (const ConfigError&) {
    throw;
  } catch (const std::exception& e) {
    throw ConfigError(std::string("LB_CONFIG: settings: ") + e.what());
  }
}

}  // namespace

std::optional<Endpoint> ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || stop != end) return std::nullopt;
  boost::system::error_code bad;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), bad);
  if (bad) return std::nullopt;
  return Endpoint(address, port);
}

std::string ToText(const Endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

Config LoadConfig(const std::function<const char*(const char*)>& get_variable) {
  Config config;
  config.name = Variable(get_variable, "LB_NAME");
  config.listen = AddressVariable(get_variable, "LB_LISTEN");
  config.discovery = AddressVariable(get_variable, "LB_DISCOVERY");
  const auto path = Variable(get_variable, "LB_CONFIG");
  std::ifstream stream(path);
  if (!stream) throw ConfigError("LB_CONFIG: cannot read " + path);
  const json file = json::parse(stream, nullptr, false);
  if (!file.is_object()) throw ConfigError("LB_CONFIG: " + path + " does not contain a JSON object");
  config.seed = ReadSeed(file);
  config.admin = AdminAddress(get_variable, file);
  if (const char* folder = get_variable("TMPDIR"); config.admin && folder != nullptr && *folder != '\0') {
    config.state_folder = std::string(folder) + "/" + kStateFolder;
    config.request_ids_file = std::string(folder) + "/" + kRequestIdsFile;
  }
  config.sockets = SocketLimit(file);
  const std::optional<double> memory = MemoryLimit(file);
  config.stream_capacity = StreamCapacity(memory, config.sockets);
  config.message_memory = MessageMemory(memory, config.sockets);
  config.request_id_slots = RequestIdSlots(memory);
  config.settings = ReadSettings(file);
  // The file takes precedence over LB_DISCOVERY: the file can be replaced while the process runs, the
  // environment cannot, so the file is more recent.
  if (const auto discovery = file.find("discovery"); discovery != file.end()) {
    if (!discovery->is_string()) throw ConfigError("LB_CONFIG: discovery is not a string");
    config.discovery = Address("LB_CONFIG: discovery", discovery->get<std::string>());
  }
  if (const auto known = file.find("known"); known != file.end()) config.known = *known;
  return config;
}

}  // namespace lb
