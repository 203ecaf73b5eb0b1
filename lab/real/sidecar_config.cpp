#include "lab/real/sidecar_config.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "settings/config.h"

namespace lb::lab {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using nlohmann::json;

constexpr auto kPollInterval = std::chrono::milliseconds(5);
constexpr Duration kStartTimeout = std::chrono::seconds(10);
constexpr Duration kResponseTimeout = std::chrono::seconds(1);
constexpr std::size_t kLogTailBytes = 500;  // of the end of the log, shown in an error
constexpr char kListeningLogMarker[] = ": listening address=";

const char* Name(lb::Idempotency idempotency) {
  switch (idempotency) {
    case lb::Idempotency::kIdempotent:
      return "read_like";
    case lb::Idempotency::kIdempotencyKey:
      return "idempotency_key";
    case lb::Idempotency::kNotIdempotent:
      return "non_idempotent";
  }
  throw std::invalid_argument("unknown effect");
}

const char* Name(lb::KeyScope scope) {
  switch (scope) {
    case lb::KeyScope::kAll:
      return "all";
    case lb::KeyScope::kZone:
      return "zone";
    case lb::KeyScope::kCell:
      return "cell";
  }
  throw std::invalid_argument("unknown key scope");
}

json ToJson(const lb::RequestClass& request_class) {
  return {{"Name", request_class.name},
          {"Aim", request_class.latency_objective.count()},
          {"AimStretch", request_class.latency_objective_stretch},
          {"HardLimit", request_class.deadline.count()},
          {"Effect", Name(request_class.idempotency)},
          {"KeyScope", Name(request_class.key_scope)},
          {"Window", request_class.key_window.count()},
          {"Worth", request_class.priority_weight},
          {"LateWorth", request_class.late_priority_weight},
          {"Stream", request_class.stream}};
}

json ToJson(const lb::Tenant& tenant) {
  return {{"Name", tenant.name}, {"Share", tenant.share}, {"QuotaPerS", tenant.quota_per_s}};
}

json ToJson(const lb::Limits& limits) {
  return {{"MaxAttempts", limits.max_attempts},
          {"SecondCopies", limits.hedging_allowed},
          {"Cancelling", limits.cancellation_allowed},
          {"MayProbe", limits.load_probes_allowed},
          {"RetryAfter", limits.send_retry_after},
          {"MaxRetryAfter", limits.max_retry_after.count()},
          {"ConnectTimeout", limits.connect_timeout.count()},
          {"IdleClose", limits.idle_close.count()},
          {"Multiplex", limits.streams_per_connection}};
}

json ToJson(const lb::FleetLimits& rules) {
  return {{"GraceToAnswer", rules.answer_grace.count()},    {"MustAskIn", rules.poll_interval_limit.count()},
          {"StopSendingWithin", rules.drain_grace.count()}, {"ColdFrom", rules.slow_start_initial_share},
          {"Cold", rules.slow_start_duration.count()},      {"FallMultiple", rules.overload_multiple},
          {"Fall", rules.overload_window.count()}};
}

json ToJson(const lb::DecisionCosts& prices) {
  return {{"CrossZone", prices.cross_zone},
          {"Handshake", prices.handshake},
          {"Probe", prices.probe},
          {"Waste", prices.waste},
          {"LateFail", prices.late_fail}};
}

std::string Hexadecimal(std::uint64_t number) {
  std::ostringstream text;
  text << std::hex << std::setw(16) << std::setfill('0') << number;
  return text.str();
}

std::string ToText(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

tcp::endpoint ToEndpoint(const std::string& text) {
  const auto endpoint = lb::ParseEndpoint(text);
  if (!endpoint) throw std::invalid_argument("not an address and port: " + text);
  return *endpoint;
}

// The status of one `GET /up`; 0 without a response.
unsigned RequestUpStatus(const tcp::endpoint& listen) {
  boost::asio::io_context io;
  boost::beast::tcp_stream stream(io);
  http::request<http::empty_body> request(http::verb::get, "/up", 11);
  request.set(http::field::host, ToText(listen));
  request.keep_alive(false);
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  unsigned status = 0;
  stream.expires_after(kResponseTimeout);
  stream.async_connect(listen, [&](boost::system::error_code connect_error) {
    if (connect_error) return;
    http::async_write(stream, request, [&](boost::system::error_code write_error, std::size_t) {
      if (write_error) return;
      http::async_read(stream, buffer, response, [&](boost::system::error_code read_error, std::size_t) {
        if (!read_error) status = response.result_int();
      });
    });
  });
  io.run();
  return status;
}

}  // namespace

json ToJson(const lb::Settings& settings) {
  json classes = json::array();
  for (const auto& request_class : settings.classes) classes.push_back(ToJson(request_class));
  json tenants = json::array();
  for (const auto& tenant : settings.tenants) tenants.push_back(ToJson(tenant));
  json params = {{"Classes", std::move(classes)},
                 {"Tenants", std::move(tenants)},
                 {"OverShareWorth", settings.over_share_priority_weight},
                 {"Zone", settings.zone},
                 {"PeersTotal", settings.sidecar_count},
                 {"Me", settings.sidecar_index},
                 {"MembershipMode", settings.polled_membership ? "on_request" : "pushed"},
                 {"Limits", ToJson(settings.limits)},
                 {"Rules", ToJson(settings.fleet_limits)},
                 {"Prices", ToJson(settings.decision_costs)}};
  if (settings.load_probes_report_load) params["Report"] = {{"How", "probe"}};
  if (settings.live_weights) params["Weights"] = "live";
  return params;
}

json ToJson(const SidecarConfig& config) {
  json file = {
      {"name", config.name},
      {"listen", config.listen},
      {"discovery", config.discovery},
      {"seed", Hexadecimal(config.seed)},
      {"limits", {{"cores", config.cores}, {"memory_mb", config.memory_mb}, {"sockets", config.sockets}}},
      {"settings", ToJson(config.settings)}};
  if (!config.known.is_null()) file["known"] = config.known;
  return file;
}

std::map<std::string, std::string> Environment(const SidecarConfig& config, const std::string& config_path) {
  return {{"LB_NAME", config.name},
          {"LB_LISTEN", config.listen},
          {"LB_DISCOVERY", config.discovery},
          {"LB_CONFIG", config_path}};
}

bool IsReady(const tcp::endpoint& listen, Duration timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (RequestUpStatus(listen) != static_cast<unsigned>(http::status::ok)) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

SidecarProcess::SidecarProcess(std::string program, const std::string& folder, SidecarConfig config)
    : program_(std::move(program)),
      config_path_(folder + "/" + config.name + ".json"),
      log_path_(folder + "/" + config.name + ".log"),
      config_(std::move(config)),
      port_(ToEndpoint(config_.listen)) {
  config_.listen = ToText(port_.endpoint());
}

void SidecarProcess::Start() {
  process_.reset();
  WriteConfig();
  std::filesystem::remove(log_path_);
  ProcessOptions options;
  options.program = program_;
  options.environment = Environment(config_, std::filesystem::absolute(config_path_).string());
  if (clock_) options.environment.merge(clock_->Environment());
  options.log_file = log_path_;
  process_.emplace(options);
  AwaitListening();
}

void SidecarProcess::UseOwnWallClock(const std::string& folder) {
  clock_.emplace(std::filesystem::absolute(folder + "/" + config_.name + ".clock").string());
}

void SidecarProcess::StepClock(Duration step) {
  if (!clock_) throw std::logic_error("sidecar " + config_.name + " has no wall clock of its own");
  clock_->Step(step);
}

bool SidecarProcess::AwaitReady(Duration timeout) { return IsReady(listen(), timeout); }

Process& SidecarProcess::process() {
  if (!process_) throw std::logic_error("sidecar " + config_.name + " was not started");
  return *process_;
}

void SidecarProcess::ChangeDiscoveryAddress(std::string discovery) {
  config_.discovery = std::move(discovery);
  WriteConfig();
}

void SidecarProcess::WriteMalformedConfiguration() const {
  const std::string text = ToJson(config_).dump();
  ReplaceConfig(text.substr(0, text.size() / 2));
}

void SidecarProcess::WriteConfig() const { ReplaceConfig(ToJson(config_).dump()); }

// Replaces the file atomically by renaming a new one over it, so that no reader sees a partial file.
void SidecarProcess::ReplaceConfig(const std::string& text) const {
  const std::string next = config_path_ + ".next";
  std::ofstream stream(next);
  stream << text;
  stream.close();
  if (!stream) throw std::runtime_error("cannot write " + next);
  std::filesystem::rename(next, config_path_);
}

// Waits for the log line that the sidecar writes once it listens.
void SidecarProcess::AwaitListening() {
  const auto end = std::chrono::steady_clock::now() + kStartTimeout;
  while (true) {
    const bool running = process_->Running();
    const std::string log = process_->Log();
    if (running && log.find(kListeningLogMarker + config_.listen) != std::string::npos) return;
    if (!running || std::chrono::steady_clock::now() >= end) {
      throw std::runtime_error("sidecar " + config_.name + " does not listen: " +
                               log.substr(log.size() - std::min(log.size(), kLogTailBytes)));
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace lb::lab
