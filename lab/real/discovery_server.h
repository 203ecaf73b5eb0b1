// A stand-in for discovery on loopback: an HTTP/1.1 agent for each sidecar that lists the upstreams, answers
// watches, and learns of changes after a delay of its own, with faults of that delivery.
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
#include "lab/real/discovery_session.h"
#include "lab/spec/experiment.h"
#include "settings/config.h"
#include "sidecar/clock.h"

namespace lb::lab {

using lb::TimePoint;

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
  // Called on the server's thread when a change counts as known to a sidecar: once its agent has it; 6 s
  // after the watch fell silent or 4 s after discovery was moved, if the sidecar does not call before; with
  // the answer to a call, or 6 s after it could be had, if `on_request`. Empty: not called.
  std::function<void(std::size_t sidecar, const MembershipEntry& entry, TimePoint at)> on_known = {};
  bool on_request = false;
};

// Serves on a thread of its own from construction to destruction. All public members may be called from any
// thread but the server's own; commands take effect in the order in which they were given.
//
// An agent holds a revision: what it was sent so far. A notice that arrives brings along everything older.
class DiscoveryServer : private DiscoverySessionHost {
 public:
  // Throws std::invalid_argument for entries that the registry does not take, std::runtime_error where
  // sockets or descriptors run out.
  DiscoveryServer(const std::vector<MembershipEntry>& entries, DiscoveryServerOptions options);
  ~DiscoveryServer() override;
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
  // While down, no call is answered, also not later. At the return all that happened is delivered at once.
  void SetDown(bool down);
  // While slow, answers come late and in pieces; some connections are closed, some calls answered 503.
  void SetSlow(bool slow);
  // The sidecar's agent listens at another address, which it returns, and answers no call at the old one any
  // more.
  lb::Endpoint Move(std::size_t sidecar);

  // Watches that wait for something newer now, over all sidecars.
  std::size_t OpenWatches();
  DiscoveryCounters Counters();

 private:
  struct Notice {
    TimePoint when;
    std::size_t agent = 0;
    std::uint64_t revision = 0;
    bool operator>(const Notice& other) const { return when > other.when; }
  };
  struct AnswerKey {
    std::optional<std::size_t> service;
    std::optional<std::uint64_t> held;
    std::uint64_t as_of = 0;
    // clang-tidy takes the zero in rewritten comparisons for a pointer.
    auto operator<=>(const AnswerKey&) const = default;  // NOLINT(modernize-use-nullptr)
  };

  bool IsDown() const override { return is_down_; }
  bool IsSlow() const override { return is_slow_; }
  bool RejectsCall() override;
  void HandleCall(DiscoveryAgent& agent) override;

  void Listen(DiscoveryAgent& agent);
  void Accept(DiscoveryAgent& agent);
  void SilenceAll();
  void ApplyChange(const MembershipEntry& entry, TimePoint at);
  void Notify(DiscoveryAgent& agent, std::uint64_t revision, TimePoint at);
  void ArmNotices();
  void DeliverNotices();
  void Advance(DiscoveryAgent& agent, std::uint64_t revision);
  void CountAsKnown(DiscoveryAgent& agent, std::uint64_t revision);
  void CountAsKnownLater(DiscoveryAgent& agent, Duration wait);
  void GrantGrace(DiscoveryAgent& agent, Duration wait);
  lb::Endpoint MoveNow(DiscoveryAgent& agent);
  std::shared_ptr<const DiscoveryAnswer> AnswerFor(DiscoveryAgent& agent,
                                                   std::optional<std::uint64_t> held) override;
  void HandleAnswerWritten(DiscoveryAgent& agent, std::uint64_t revision) override;
  DiscoveryAnswer MakeAnswer(const AnswerKey& key) const;
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
  std::vector<std::unique_ptr<DiscoveryAgent>> agents_;
  std::priority_queue<Notice, std::vector<Notice>, std::greater<>> notices_;
  boost::asio::steady_timer notice_timer_{io_};
  std::map<AnswerKey, std::shared_ptr<const DiscoveryAnswer>> answers_;
  std::mt19937_64 random_;
  double late_factor_ = 1;
  double lost_share_ = 0;
  bool is_down_ = false;
  bool is_slow_ = false;
  std::uint64_t connections_while_slow_ = 0;
  std::uint64_t calls_while_slow_ = 0;
  std::thread thread_;
};

}  // namespace lb::lab
