#include "sidecar_config.h"

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

#include "config.h"

namespace aspendyke::lab {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using nlohmann::json;

constexpr auto kPollEvery = std::chrono::milliseconds(5);
constexpr Duration kStartPatience = std::chrono::seconds(10);
constexpr Duration kAnswerPatience = std::chrono::seconds(1);
constexpr std::size_t kLogShown = 500;  // bytes of the log's end in an error
constexpr char kListeningMark[] = ": listening on ";

const char* Name(kestrellb::Effect effect) {
  switch (effect) {
    case kestrellb::Effect::kSafe:
      return "read_like";
    case kestrellb::Effect::kKeyed:
      return "idempotency_key";
    case kestrellb::Effect::kUnsafe:
      return "non_idempotent";
  }
  throw std::invalid_argument("unknown effect");
}

const char* Name(kestrellb::KeyScope scope) {
  switch (scope) {
    case kestrellb::KeyScope::kAll:
      return "all";
    case kestrellb::KeyScope::kZone:
      return "zone";
    case kestrellb::KeyScope::kCell:
      return "cell";
  }
  throw std::invalid_argument("unknown key scope");
}

json ToJson(const kestrellb::RequestClass& request_class) {
  return {{"Name", request_class.name},
          {"Aim", request_class.aim.count()},
          {"AimStretch", request_class.aim_stretch},
          {"HardLimit", request_class.deadline.count()},
          {"Effect", Name(request_class.effect)},
          {"KeyScope", Name(request_class.key_scope)},
          {"Window", request_class.key_window.count()},
          {"Worth", request_class.worth},
          {"LateWorth", request_class.late_worth},
          {"Stream", request_class.stream}};
}

json ToJson(const kestrellb::Tenant& tenant) {
  return {{"Name", tenant.name}, {"Share", tenant.share}, {"QuotaPerS", tenant.quota_per_s}};
}

json ToJson(const kestrellb::Limits& limits) {
  return {{"MaxAttempts", limits.max_attempts},
          {"SecondCopies", limits.second_copies},
          {"Cancelling", limits.cancel},
          {"MayProbe", limits.probes},
          {"RetryAfter", limits.retry_after},
          {"MaxRetryAfter", limits.max_retry_after.count()},
          {"ConnectTimeout", limits.connect_timeout.count()},
          {"IdleClose", limits.idle_close.count()},
          {"Multiplex", limits.streams}};
}

json ToJson(const kestrellb::Rules& rules) {
  return {{"GraceToAnswer", rules.answer_grace.count()},
          {"MustAskIn", rules.ask_within.count()},
          {"StopSendingWithin", rules.drain_grace.count()},
          {"ColdFrom", rules.cold_from},
          {"Cold", rules.cold_time.count()},
          {"FallMultiple", rules.fall_multiple},
          {"Fall", rules.fall_window.count()}};
}

json ToJson(const kestrellb::Prices& prices) {
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
  const auto endpoint = mothrack::ParseEndpoint(text);
  if (!endpoint) throw std::invalid_argument("no address and port: " + text);
  return *endpoint;
}

// One call of GET /up; 0 where nothing comes back.
unsigned AskUp(const tcp::endpoint& listen) {
  boost::asio::io_context io;
  boost::beast::tcp_stream stream(io);
  http::request<http::empty_body> request(http::verb::get, "/up", 11);
  request.set(http::field::host, ToText(listen));
  request.keep_alive(false);
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  unsigned status = 0;
  stream.expires_after(kAnswerPatience);
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

json ToJson(const kestrellb::Settings& settings) {
  json classes = json::array();
  for (const auto& request_class : settings.classes) classes.push_back(ToJson(request_class));
  json tenants = json::array();
  for (const auto& tenant : settings.tenants) tenants.push_back(ToJson(tenant));
  json params = {{"Classes", std::move(classes)},
                 {"Tenants", std::move(tenants)},
                 {"OverShareWorth", settings.over_share_worth},
                 {"Zone", settings.zone},
                 {"PeersTotal", settings.balancers},
                 {"Me", settings.self},
                 {"MembershipMode", settings.membership_on_request ? "on_request" : "pushed"},
                 {"Limits", ToJson(settings.limits)},
                 {"Rules", ToJson(settings.rules)},
                 {"Prices", ToJson(settings.prices)}};
  if (settings.load_by_probe) params["Report"] = {{"How", "probe"}};
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

bool IsReady(const tcp::endpoint& listen, Duration patience) {
  const auto end = std::chrono::steady_clock::now() + patience;
  while (AskUp(listen) != static_cast<unsigned>(http::status::ok)) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kPollEvery);
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

void SidecarProcess::HaveOwnClock(const std::string& folder) {
  clock_.emplace(std::filesystem::absolute(folder + "/" + config_.name + ".clock").string());
}

void SidecarProcess::StepClock(Duration by) {
  if (!clock_) throw std::logic_error("sidecar " + config_.name + " has no wall clock of its own");
  clock_->Step(by);
}

bool SidecarProcess::AwaitReady(Duration patience) { return IsReady(listen(), patience); }

Process& SidecarProcess::process() {
  if (!process_) throw std::logic_error("sidecar " + config_.name + " was not started");
  return *process_;
}

void SidecarProcess::MoveDiscovery(std::string discovery) {
  config_.discovery = std::move(discovery);
  WriteConfig();
}

void SidecarProcess::SpoilConfiguration() const {
  const std::string text = ToJson(config_).dump();
  ReplaceConfig(text.substr(0, text.size() / 2));
}

void SidecarProcess::WriteConfig() const { ReplaceConfig(ToJson(config_).dump()); }

// By another file's taking its name: nobody reads half of it.
void SidecarProcess::ReplaceConfig(const std::string& text) const {
  const std::string next = config_path_ + ".next";
  std::ofstream stream(next);
  stream << text;
  stream.close();
  if (!stream) throw std::runtime_error("cannot write " + next);
  std::filesystem::rename(next, config_path_);
}

// Its log says so.
void SidecarProcess::AwaitListening() {
  const auto end = std::chrono::steady_clock::now() + kStartPatience;
  while (true) {
    const bool running = process_->Running();
    const std::string log = process_->Log();
    if (running && log.find(kListeningMark + config_.listen) != std::string::npos) return;
    if (!running || std::chrono::steady_clock::now() >= end) {
      throw std::runtime_error("sidecar " + config_.name + " does not listen: " +
                               log.substr(log.size() - std::min(log.size(), kLogShown)));
    }
    std::this_thread::sleep_for(kPollEvery);
  }
}

}  // namespace aspendyke::lab
