// What operators said, in a folder under $TMPDIR that all processes of a sidecar share: it is for the sidecar
// and not for one process of it, and survives an upgrade. What can't be stored at once holds in this process
// all the same, and is tried again until it is stored.
//
// A file is a word that holds: `out-HEX` a disabled upstream, by its id in hexadecimal, `drained` that
// clients are sent away; both are empty. `long-HASH` has the word as its contents, where that is too long for
// a name.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <system_error>

#include "sidecar/durable_folder.h"
#include "sidecar/log.h"

namespace lb::sidecar {

struct OperatorState {
  std::set<std::string> disabled;  // ids of upstreams
  bool drained = false;            // clients are sent away
  bool operator==(const OperatorState&) const = default;
};

class OperatorStateStore {
 public:
  using OnChange = std::function<void(const OperatorState&)>;
  using OnSaid = std::function<void(const std::string& word, bool set)>;

  // `folder`: where to keep it; empty where nothing can be kept. `on_change` hears of each change, whoever
  // made it, at once or from the next look on. `on_said`: of each word that was said here, for the other
  // processes.
  OperatorStateStore(boost::asio::io_context& io, const std::string& folder, Logger& log, OnChange on_change,
                     OnSaid on_said);

  const OperatorState& state() const { return state_; }
  void Disable(const std::string& upstream) { Say(Word(upstream), true); }
  void Enable(const std::string& upstream) { Say(Word(upstream), false); }
  void Drain(bool drained);

  // Another process says so, perhaps before it can store it, or in vain.
  void Heard(const std::string& word, bool set);
  // Calls `tell` with each word that holds, and each that is withdrawn and not yet removed from the folder.
  void TellAll(const OnSaid& tell) const;

  // For the operators: what is not stored, and why; empty where all is.
  std::string StorageFault() const;
  // Calls `done` once all is stored, or after `patience`.
  void Finish(Duration patience, std::function<void()> done);

 private:
  struct Owed {
    bool set = false;
    bool heard = false;  // another process says so, and stores it as well
  };

  static std::string Word(const std::string& upstream);

  bool Holds(const std::string& word) const;
  void Say(const std::string& word, bool set);
  void Publish();
  bool Store(const std::string& word, bool set);
  void StoreOwed();
  void StoreOwedIn(Duration wait);
  std::error_code Look();
  void LookIn(Duration wait);
  std::error_code ReadFolder(std::set<std::string>& words);
  std::error_code ReadLong(const std::string& name, std::set<std::string>& words);
  void FolderIsGone();
  void LogForeign(const std::string& name);

  DurableFolder folder_;
  Logger& log_;
  const OnChange on_change_;
  const OnSaid on_said_;
  boost::asio::steady_timer look_timer_;
  boost::asio::steady_timer store_timer_;
  boost::asio::steady_timer finish_timer_;
  std::set<std::string> stored_;      // the words in the folder, as last read
  std::map<std::string, Owed> owed_;  // what the folder does not hold yet; goes before what was read
  OperatorState state_;               // of both
  std::error_code store_error_;       // of the last try, while something is owed
  std::error_code look_error_;        // of the last look
  Duration store_pause_{};            // grows from failure to failure
  Duration look_pause_{};             // likewise
  std::string last_tried_;            // of what is owed
  std::map<std::string, std::string> long_words_;  // by the name of the file
  std::set<std::string> foreign_;                  // names that were logged
  std::function<void()> finished_;
};

}  // namespace lb::sidecar
