// A stand-in for discovery on loopback: an HTTP/1.1 agent for each sidecar that lists the upstreams, answers
// watches, and hears of changes after a delay of its own, with faults of that delivery.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <unordered_set>
#include <vector>

#include "lab/model/membership.h"
#include "lab/spec/experiment.h"
#include "settings/config.h"
#include "sidecar/clock.h"

namespace lb::lab {

using lb::TimePoint;

// What one sidecar's agent has carried since the start. Bytes are those of HTTP messages, heads included.
struct AgentCounters {
  std::uint64_t calls = 0;
  std::uint64_t bad_calls = 0;    // answered 400 or 404
  std::uint64_t bytes_in = 0;     // from the sidecar
  std::uint64_t bytes_out = 0;    // to it
  std::uint64_t whole_lists = 0;  // answers with the whole list
  std::uint64_t changes = 0;      // changed entries told, over all answers that are not the whole list
  std::uint64_t bytes() const { return bytes_in + bytes_out; }
  AgentCounters& operator+=(const AgentCounters& other);
};

struct DiscoveryCounters {
  std::vector<AgentCounters> agents;  // by sidecar
  Duration processor_time{};          // of the server's thread
  AgentCounters Total() const;
};

struct DiscoveryServerOptions {
  Range notice_delay_s{0.1, 1};  // drawn for each change and sidecar, in seconds
  std::uint64_t seed = 1;
  // What each sidecar's list holds: the upstreams of one service, or all where absent. One for each sidecar.
  std::vector<std::optional<std::size_t>> services;
  // A change counts as told to a sidecar, on the server's thread; empty: nobody wants to know. It counts once
  // its agent has it; 6 s after the watch fell silent or 4 s after discovery was moved, where the sidecar
  // does not call before; with the answer to a call, or 6 s after it could be had, where `on_request`.
  std::function<void(std::size_t sidecar, const MembershipEntry& entry, TimePoint at)> on_told = {};
  bool on_request = false;
};

// Raises this process's soft limit of descriptors to `needed` where it is lower. Throws std::runtime_error
// where the hard limit does not allow it.
void EnsureDescriptorLimit(std::size_t needed);

// Serves on a thread of its own from construction to destruction. All public members may be called from any
// thread but the server's own; commands take effect in the order in which they were given.
//
// An agent holds a revision: what it was told so far. A notice that arrives brings along everything older.
class DiscoveryServer {
 public:
  // Throws std::invalid_argument for entries that the registry does not take, std::runtime_error where
  // sockets or descriptors run out.
  DiscoveryServer(const std::vector<MembershipEntry>& entries, DiscoveryServerOptions options);
  ~DiscoveryServer();
  DiscoveryServer(const DiscoveryServer&) = delete;
  DiscoveryServer& operator=(const DiscoveryServer&) = delete;

  // Where sidecar `sidecar` (from 0) finds its agent at the start: an address of loopback.
  lb::Endpoint endpoint(std::size_t sidecar) const;

  // A new state, weight or start of one entry. Returns the revision that it makes. Throws std::out_of_range
  // for an unknown id.
  std::uint64_t Change(const MembershipEntry& entry);

  // ---- Faults ----
  void SetLate(double factor);  // notices of changes from now on take `factor` times as long; 1: as usual
  void SetLost(double share);   // of the notices from now on: not delivered, brought by the next call
  void SilenceWatches();        // watches that are open now are never answered
  // While down, nobody is answered, also not later. At the return all that happened is told at once.
  void SetDown(bool down);
  // While slow, answers come late and in pieces; some connections are closed, some calls answered 503.
  void SetSlow(bool slow);
  // The sidecar's agent listens at another address, which it returns, and is heard of no more at the old one.
  lb::Endpoint Move(std::size_t sidecar);

  // Watches that wait for something newer now, over all sidecars.
  std::size_t OpenWatches();
  DiscoveryCounters Counters();

 private:
  class Session;
  struct Agent;
  struct Notice {
    TimePoint when;
    std::size_t agent = 0;
    std::uint64_t revision = 0;
    bool operator>(const Notice& other) const { return when > other.when; }
  };
  // A view of the registry as text. It never changes: an older revision's view stays what it was.
  struct Answer {
    std::string body;
    std::uint64_t revision = 0;
    bool whole = true;
    std::size_t entries = 0;
  };
  struct AnswerKey {
    std::optional<std::size_t> service;
    std::optional<std::uint64_t> held;
    std::uint64_t as_of = 0;
    // clang-tidy takes the zero in rewritten comparisons for a pointer.
    auto operator<=>(const AnswerKey&) const = default;  // NOLINT(modernize-use-nullptr)
  };

  void Listen(Agent& agent);
  void Accept(Agent& agent);
  void SilenceAll();
  void ApplyChange(const MembershipEntry& entry, TimePoint at);
  void Notify(Agent& agent, std::uint64_t revision, TimePoint at);
  void ArmNotices();
  void DeliverNotices();
  void Advance(Agent& agent, std::uint64_t revision);
  void CountAsTold(Agent& agent, std::uint64_t revision);
  void CountAsToldLater(Agent& agent, Duration wait);
  void ExcuseFor(Agent& agent, Duration wait);
  lb::Endpoint MoveNow(Agent& agent);
  std::shared_ptr<const Answer> AnswerFor(Agent& agent, std::optional<std::uint64_t> held);
  Answer MakeAnswer(const AnswerKey& key) const;
  // Runs `read` on the server's thread and waits for what it gives.
  template <typename Read>
  auto OnServerThread(Read read) -> decltype(read());

  const DiscoveryServerOptions options_;
  boost::asio::io_context io_{1};
  std::unordered_set<std::string> known_ids_;
  std::mutex order_;                 // of changes; guards the next one
  std::uint64_t last_revision_ = 1;  // handed out by Change()
  // The rest belongs to the server's thread.
  MembershipRegistry registry_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::priority_queue<Notice, std::vector<Notice>, std::greater<>> notices_;
  boost::asio::steady_timer notice_timer_{io_};
  std::map<AnswerKey, std::shared_ptr<const Answer>> answers_;
  std::mt19937_64 random_;
  double late_factor_ = 1;
  double lost_share_ = 0;
  bool down_ = false;
  bool slow_ = false;
  std::uint64_t connections_while_slow_ = 0;
  std::uint64_t calls_while_slow_ = 0;
  std::thread thread_;
};

}  // namespace lb::lab
