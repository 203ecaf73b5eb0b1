// A stand-in for the discovery service, and functions that build the endpoint lists it serves.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "nlohmann/json.hpp"
#include "tests/scripted_peers.h"

namespace lb::sidecar::testing {

using nlohmann::json;

// An entry of an endpoint list. `boot_ms` is the start time as Unix time in milliseconds; 0: unknown.
json Target(const std::string& uid, const std::string& endpoint, const std::string& state = "active",
            std::int64_t boot_ms = 0);

// An array of targets. Use it instead of a braced list: braces around a single target may be taken for the
// target itself instead of an array.
json List(const std::vector<json>& targets);

// Serves one endpoint list on a loopback port, with watches, until its destruction.
class Discovery {
 public:
  enum class ResponseMode {
    kResponds,          // responds as a discovery service does
    kSilent,            // reads calls and does not respond
    kClosesConnection,  // closes the connection instead of responding
    kMalformed,         // responds with an invalid list
  };
  // Starts with the whole list `targets` at revision 1, in the mode kResponds.
  explicit Discovery(const json& targets);
  std::string address() const { return peer_->address(); }
  // Publishes `targets` as the next revision and answers the open watches. `all`: the whole list, else only
  // changes.
  void Publish(const json& targets, bool all = true);
  // Changes the mode, also for the calls that are waiting.
  void Set(ResponseMode mood);
  // The number of calls received.
  int calls() const { return calls_; }
  // The number of calls for the whole list, which are the calls without a revision.
  int lists() const { return lists_; }

 private:
  void Serve(Wire& wire);

  std::mutex mutex_;
  std::condition_variable changed_;
  json targets_;
  bool all_ = true;
  int revision_ = 1;
  ResponseMode mood_ = ResponseMode::kResponds;
  bool stopping_ = false;
  std::atomic<int> calls_{0};
  std::atomic<int> lists_{0};

 public:
  ~Discovery();

 private:
  std::unique_ptr<Peer> peer_;
};

}  // namespace lb::sidecar::testing
