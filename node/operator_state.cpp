#include "operator_state.h"

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <optional>
#include <system_error>
#include <utility>

namespace mothrack {
namespace {

namespace fs = std::filesystem;

// The other process has to act on a call well within the second that the operators allow.
constexpr auto kLook = std::chrono::milliseconds(100);
const std::string kDrained = "drained";
const std::string kHotRestart = "handover";  // the socket of hot_restart.cpp
const std::string kOut = "out-";
// Names of files end there; no real id comes near.
constexpr std::size_t kLongestId = 120;
constexpr std::size_t kMostForeign = 16;

// Ids are opaque: any byte may be in them.
std::string Hex(const std::string& id) {
  std::string hex;
  for (const char c : id) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned char>(c));
    hex += digits;
  }
  return hex;
}

std::optional<std::string> FromHex(const std::string& hex) {
  const auto digit = [](char c) {
    return c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
  };
  if (hex.empty() || hex.size() % 2 != 0) return std::nullopt;
  std::string id;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    const int high = digit(hex[i]), low = digit(hex[i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    id.push_back(static_cast<char>(high * 16 + low));
  }
  return id;
}

}  // namespace

OperatorStateStore::OperatorStateStore(boost::asio::io_context& io, std::string folder, Logger& log,
                                       OnChange on_change)
    : folder_(std::move(folder)), log_(log), on_change_(std::move(on_change)), timer_(io) {
  if (folder_.empty()) return;
  Look();
  LookIn();
}

void OperatorStateStore::Set(const std::string& upstream, bool disabled) {
  OperatorState state = state_;
  if (disabled) state.disabled.insert(upstream);
  if (!disabled) state.disabled.erase(upstream);
  if (state == state_) return;
  state_ = std::move(state);
  if (upstream.size() > kLongestId) GiveUp("an id is too long to be kept");
  Mark(kOut + Hex(upstream), disabled);
  on_change_(state_);
}

void OperatorStateStore::Drain(bool drained) {
  if (std::exchange(state_.drained, drained) == drained) return;
  Mark(kDrained, drained);
  on_change_(state_);
}

void OperatorStateStore::Mark(const std::string& name, bool set) {
  if (folder_.empty()) return;
  std::error_code error;
  fs::create_directories(folder_, error);
  const fs::path path = fs::path(folder_) / name;
  if (!set) fs::remove(path, error);
  if (set && !error && !std::ofstream(path)) error = std::make_error_code(std::errc::io_error);
  if (error) GiveUp(error.message());
}

void OperatorStateStore::Look() {
  std::error_code error;
  OperatorState found;
  for (fs::directory_iterator entry(folder_, error), end; !error && entry != end; entry.increment(error)) {
    const std::string name = entry->path().filename();
    const auto id = name.starts_with(kOut) ? FromHex(name.substr(kOut.size())) : std::nullopt;
    if (id) found.disabled.insert(*id);
    if (name == kDrained) found.drained = true;
    if (!id && name != kDrained && name != kHotRestart && foreign_.size() < kMostForeign &&
        foreign_.insert(name).second) {
      log_.Line("kept: not ours: " + name);
    }
  }
  if (error && error != std::errc::no_such_file_or_directory) return GiveUp(error.message());
  if (found == state_) return;
  state_ = std::move(found);
  on_change_(state_);
}

void OperatorStateStore::LookIn() {
  timer_.expires_after(kLook);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error || folder_.empty()) return;
    Look();
    LookIn();
  });
}

void OperatorStateStore::GiveUp(const std::string& why) {
  log_.Line("kept: " + folder_ + ": " + why + "; what operators say will not outlast this process");
  folder_.clear();
}

}  // namespace mothrack
