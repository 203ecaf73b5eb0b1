#include "sidecar/operator_state.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

// The other process has to act on a call well within the second that the operators allow.
constexpr Duration kLook = milliseconds(100);
// What another process was told it is likely to have stored by then: the next look sees it.
constexpr Duration kHeard = milliseconds(250);
constexpr Duration kMostPause = milliseconds(1000);
// At the start a folder that fails for a moment is waited for: there is nothing to serve yet.
constexpr milliseconds kFirstLooks[] = {milliseconds(20), milliseconds(40), milliseconds(80),
                                        milliseconds(160)};
// So many words are stored at a time: each may take two syncs.
constexpr int kMostAtOnce = 8;
const std::string kDrained = "drained";
const std::string kOut = "out-";
const std::string kLong = "long-";
const std::string kHotRestart = "handover";  // the socket of hot_restart.cpp
// Names of files end at 255 bytes; earlier versions stop here, too.
constexpr std::size_t kLongestName = 244;
constexpr std::size_t kLongestWord = 64 * 1024;
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

std::optional<std::string> DisabledId(const std::string& word) {
  return word.starts_with(kOut) ? FromHex(word.substr(kOut.size())) : std::nullopt;
}

bool IsWord(const std::string& text) { return text == kDrained || DisabledId(text); }

// FNV-1a. Two of them from different starts keep apart whatever ids a fleet has.
std::uint64_t Hash(const std::string& text, std::uint64_t hash) {
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211U;
  return hash;
}

// The file of a word. Always the same, so that each process finds it without a list.
std::string FileName(const std::string& word) {
  if (word.size() <= kLongestName) return word;
  char digits[33];
  std::snprintf(digits, sizeof digits, "%016llx%016llx",
                static_cast<unsigned long long>(Hash(word, 14695981039346656037U)),
                static_cast<unsigned long long>(Hash(word, 1469598103934665603U)));
  return kLong + digits;
}

std::string Contents(const std::string& word) { return word.size() <= kLongestName ? std::string() : word; }

Duration Longer(Duration pause) { return std::clamp<Duration>(2 * pause, kLook, kMostPause); }

}  // namespace

OperatorStateStore::OperatorStateStore(boost::asio::io_context& io, const std::string& folder, Logger& log,
                                       OnChange on_change, OnSaid on_said)
    : folder_(folder),
      log_(log),
      on_change_(std::move(on_change)),
      on_said_(std::move(on_said)),
      look_timer_(io),
      store_timer_(io),
      finish_timer_(io) {
  if (folder.empty()) return;
  std::error_code error = Look();
  for (const auto pause : kFirstLooks) {
    if (!error || error == std::errc::not_a_directory || error == std::errc::permission_denied) break;
    std::this_thread::sleep_for(pause);
    error = Look();
  }
  LookIn(kLook);
}

std::string OperatorStateStore::Word(const std::string& upstream) { return kOut + Hex(upstream); }

void OperatorStateStore::Drain(bool drained) { Say(kDrained, drained); }

bool OperatorStateStore::Holds(const std::string& word) const {
  const auto owed = owed_.find(word);
  return owed != owed_.end() ? owed->second.set : stored_.contains(word);
}

// The words that hold count at once, whatever becomes of the folder.
void OperatorStateStore::Say(const std::string& word, bool set) {
  // What another process changed since the last look is not in `stored_` yet.
  if (Holds(word) == set && !folder_.path().empty()) Look();
  if (Holds(word) == set && !look_error_) return;
  owed_[word] = {set, false};
  Publish();
  on_said_(word, set);
  if (!Store(word, set)) StoreOwedIn(store_pause_ = Longer(store_pause_));
}

void OperatorStateStore::Heard(const std::string& word, bool set) {
  if (!IsWord(word)) return log_.Line("operator state: the other process says " + word);
  owed_.erase(word);
  if (look_error_ || stored_.contains(word) != set) {
    owed_[word] = {set, true};
    StoreOwedIn(kHeard);
  }
  Publish();
}

void OperatorStateStore::TellAll(const OnSaid& tell) const {
  for (const auto& word : stored_)
    if (!owed_.contains(word)) tell(word, true);
  for (const auto& [word, owed] : owed_) tell(word, owed.set);
}

void OperatorStateStore::Publish() {
  OperatorState state;
  const auto add = [&state](const std::string& word) {
    if (const auto id = DisabledId(word)) state.disabled.insert(*id);
    if (word == kDrained) state.drained = true;
  };
  for (const auto& word : stored_)
    if (!owed_.contains(word)) add(word);
  for (const auto& [word, owed] : owed_)
    if (owed.set) add(word);
  if (state == state_) return;
  state_ = std::move(state);
  on_change_(state_);
}

// ---- Writing ----

bool OperatorStateStore::Store(const std::string& word, bool set) {
  if (folder_.path().empty()) return false;
  const std::string name = FileName(word);
  const auto error = set ? folder_.Write(name, Contents(word)) : folder_.Remove(name);
  if (error) {
    owed_[word] = {set, false};
    if (std::exchange(store_error_, error) != error) {
      log_.Line("operator state: " + folder_.path() + ": " + error.message() +
                "; what operators say will not outlast this process until it is stored");
    }
    return false;
  }
  owed_.erase(word);
  if (set) stored_.insert(word);
  if (!set) stored_.erase(word);
  if (owed_.empty() && std::exchange(store_error_, {})) log_.Line("operator state: all is stored again");
  return true;
}

// One after the other, from where the last turn ended: a word that can't be stored must not hold up the
// others.
void OperatorStateStore::StoreOwed() {
  bool failed = false;
  for (int i = 0; i < kMostAtOnce && !owed_.empty() && !failed; ++i) {
    auto next = owed_.upper_bound(last_tried_);
    if (next == owed_.end()) next = owed_.begin();
    last_tried_ = next->first;
    failed = !Store(last_tried_, next->second.set);
  }
  store_pause_ = failed ? Longer(store_pause_) : Duration::zero();
  if (!owed_.empty()) return StoreOwedIn(std::max(store_pause_, kLook));
  if (const auto finished = std::exchange(finished_, nullptr)) finished();
}

void OperatorStateStore::StoreOwedIn(Duration wait) {
  if (folder_.path().empty()) return;
  store_timer_.expires_after(wait);
  store_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) StoreOwed();
  });
}

// What another process stores as well is not told before it was tried here.
std::string OperatorStateStore::StorageFault() const {
  const auto changes = std::ranges::count_if(owed_, [](const auto& owed) { return !owed.second.heard; });
  if (folder_.path().empty()) return changes == 0 ? "" : "not stored: there is no folder for it";
  if (changes > 0) {
    return "not stored yet: " + std::to_string(changes) + (changes == 1 ? " change" : " changes") +
           (store_error_ ? " (" + store_error_.message() + ")" : "");
  }
  return look_error_ ? "what is stored can't be read (" + look_error_.message() + ")" : "";
}

void OperatorStateStore::Finish(Duration patience, std::function<void()> done) {
  if (folder_.path().empty() || owed_.empty()) return done();
  finished_ = std::move(done);
  finish_timer_.expires_after(patience);
  finish_timer_.async_wait([this](boost::system::error_code error) {
    if (error || !finished_) return;
    log_.Line("operator state: " + StorageFault() + "; lost at this end");
    std::exchange(finished_, nullptr)();
  });
  StoreOwed();
}

// ---- Reading ----

// What was last read stands until the folder is read whole again.
std::error_code OperatorStateStore::Look() {
  std::set<std::string> words;
  auto error = ReadFolder(words);
  if (error == std::errc::no_such_file_or_directory) {
    FolderIsGone();
    error.clear();
  } else if (!error) {
    stored_ = std::move(words);
    std::erase_if(owed_, [this](const auto& owed) {
      return owed.second.heard && owed.second.set == stored_.contains(owed.first);
    });
    Publish();
  }
  if (std::exchange(look_error_, error) != error) {
    log_.Line("operator state: " + folder_.path() + ": " +
              (error ? error.message() + "; what other processes store is not seen" : "read again"));
  }
  return error;
}

// Nobody withdrew what was in it: it is stored anew. At the start there was nothing.
void OperatorStateStore::FolderIsGone() {
  if (stored_.empty()) return;
  log_.Line("operator state: " + folder_.path() + " is gone; what operators said is stored anew");
  for (const auto& word : std::exchange(stored_, {})) owed_.emplace(word, Owed{true, false});
  StoreOwedIn(kLook);
}

std::error_code OperatorStateStore::ReadFolder(std::set<std::string>& words) {
  std::vector<std::string> names;
  if (const auto error = folder_.List(names)) return error;
  for (const auto& name : names) {
    if (name == kHotRestart) continue;
    if (IsWord(name)) {
      words.insert(name);
    } else if (name.starts_with(kLong)) {
      if (const auto error = ReadLong(name, words)) return error;
    } else {
      LogForeign(name);
    }
  }
  return {};
}

// The name tells whether the contents are its own, so each is read once.
std::error_code OperatorStateStore::ReadLong(const std::string& name, std::set<std::string>& words) {
  const auto known = long_words_.find(name);
  if (known != long_words_.end()) {
    words.insert(known->second);
    return {};
  }
  if (foreign_.contains(name)) return {};
  std::string word;
  const auto error = folder_.Read(name, kLongestWord, word);
  if (error == std::errc::no_such_file_or_directory) return {};  // removed just now
  if (error && error != std::errc::file_too_large) return error;
  if (error || FileName(word) != name || !IsWord(word)) {
    LogForeign(name);
    return {};
  }
  words.insert(word);
  long_words_.emplace(name, std::move(word));
  return {};
}

void OperatorStateStore::LogForeign(const std::string& name) {
  if (foreign_.size() < kMostForeign && foreign_.insert(name).second) {
    log_.Line("operator state: not ours: " + name);
  }
}

void OperatorStateStore::LookIn(Duration wait) {
  look_timer_.expires_after(wait);
  look_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    look_pause_ = Look() ? Longer(look_pause_) : Duration::zero();
    LookIn(std::max(look_pause_, kLook));
  });
}

}  // namespace lb::sidecar
