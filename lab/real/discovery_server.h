// An emulated discovery service on loopback, with one HTTP/1.1 agent per sidecar. Each agent lists the
// upstreams, answers watches and receives changes after a delay of its own. Faults of the delivery can be
// injected.
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
#include "lab/real/call_queue.h"
#include "lab/real/discovery_session.h"
#include "lab/spec/experiment.h"
#include "settings/config.h"
#include "sidecar/clock.h"

namespace lb::lab {

using lb::TimePoint;

struct DiscoveryCounters {
  std::vector<AgentCounters> agents;  // by sidecar
  Duration processor_time{};          // processor time of the server's thread
  AgentCounters Total() const;
};

struct DiscoveryServerOptions {
  Range notice_delay_s{0.1, 1};  // in seconds; drawn for each change and sidecar
  std::uint64_t seed = 1;
  // By sidecar: the service whose upstreams its list holds; absent: all upstreams. Sets the number of
  // sidecars.
  std::vector<std::optional<std::size_t>> services;
  // Called on the server's thread when a change counts as known to a sidecar. That is when its agent has the
  // change; after SilenceWatches() or Move(), with the sidecar's next call, at the latest 6 s or 4 s later;
  // if `on_request` or while slow, when an answer with the change was written, at the latest 6 s after the
  // agent has it. Empty: not called.
  std::function<void(std::size_t sidecar, const MembershipEntry& entry, TimePoint at)> on_known = {};
  bool on_request = false;
};

// Serves on its own thread from construction to destruction. All public members may be called on any thread
// except the server's own; commands take effect in the order of the calls.
//
// Each agent has a revision, up to which it has received changes. A notice delivers all earlier changes too.
class DiscoveryServer : private DiscoverySessionHost {
 public:
  // Throws std::invalid_argument for entries that the registry rejects, std::runtime_error if there are too
  // few sockets or descriptors.
  DiscoveryServer(const std::vector<MembershipEntry>& entries, DiscoveryServerOptions options);
  ~DiscoveryServer() override;
  DiscoveryServer(const DiscoveryServer&) = delete;
  DiscoveryServer& operator=(const DiscoveryServer&) = delete;

  // The initial loopback address of the agent of sidecar `sidecar`, counted from 0.
  lb::Endpoint endpoint(std::size_t sidecar) const;

  // Replaces one entry, with a new state, weight or start time. Returns the revision that contains the
  // change. Throws std::out_of_range for an unknown id.
  std::uint64_t Change(const MembershipEntry& entry);

  // ---- Faults ----
  void SetNoticeDelayFactor(double factor);  // multiplies the delay of notices of later changes; 1: no fault
  void SetLostNoticeShare(
      double share);      // share of notices of later changes to lose; the next call delivers them
  void SilenceWatches();  // never answers the watches that are open now
  // While down, calls are never answered. Afterwards all missed changes are delivered at once.
  void SetDown(bool down);
  // While slow, answers are delayed and sent in pieces, some connections are closed and some calls answered
  // 503.
  void SetSlow(bool slow);
  void SetAnswerDelay(Duration delay);  // each answer begins so much later; zero: no fault
  void SetCallWork(Duration work);      // works so long on each call, one at a time; zero: no fault
  // Moves the sidecar's agent to another address, which is returned. Calls over connections to the old
  // address are not answered any more.
  lb::Endpoint Move(std::size_t sidecar);

  // Number of open watches, over all sidecars.
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
    std::optional<std::uint64_t> caller_revision;
    std::uint64_t as_of = 0;
    // clang-tidy mistakes the zero in rewritten comparisons for a null pointer.
    auto operator<=>(const AnswerKey&) const = default;  // NOLINT(modernize-use-nullptr)
  };

  bool IsDown() const override { return is_down_; }
  bool IsSlow() const override { return is_slow_; }
  bool ShouldRejectCall() override;
  Duration EnterQueue() override;
  void HandleCall(DiscoveryAgent& agent) override;

  void Listen(DiscoveryAgent& agent);
  void Accept(DiscoveryAgent& agent);
  void SilenceAll();
  void ApplyChange(const MembershipEntry& entry, TimePoint at);
  void Notify(DiscoveryAgent& agent, std::uint64_t revision, TimePoint at);
  void ScheduleNoticeTimer();
  void DeliverNotices();
  void DeliverRevision(DiscoveryAgent& agent, std::uint64_t revision);
  void ReportKnown(DiscoveryAgent& agent, std::uint64_t revision);
  void ReportKnownAfter(DiscoveryAgent& agent, Duration wait);
  void DelayKnown(DiscoveryAgent& agent, Duration wait);
  lb::Endpoint MoveNow(DiscoveryAgent& agent);
  std::shared_ptr<const DiscoveryAnswer> AnswerFor(DiscoveryAgent& agent,
                                                   std::optional<std::uint64_t> caller_revision) override;
  void HandleAnswerWritten(DiscoveryAgent& agent, std::uint64_t revision) override;
  DiscoveryAnswer MakeAnswer(const AnswerKey& key) const;
  // Runs `read` on the server's thread, waits for it and returns its result.
  template <typename Read>
  auto OnServerThread(Read read) -> decltype(read());

  const DiscoveryServerOptions options_;
  boost::asio::io_context io_{1};
  std::unordered_set<std::string> known_ids_;
  std::mutex change_mutex_;          // guards last_revision_, and keeps posted changes in its order
  std::uint64_t last_revision_ = 1;  // last one returned by Change()
  // The members below are used only on the server's thread.
  MembershipRegistry registry_;
  std::vector<std::unique_ptr<DiscoveryAgent>> agents_;
  std::priority_queue<Notice, std::vector<Notice>, std::greater<>> notices_;
  boost::asio::steady_timer notice_timer_{io_};
  std::map<AnswerKey, std::shared_ptr<const DiscoveryAnswer>> answers_;
  std::mt19937_64 random_;
  double delay_factor_ = 1;
  double lost_share_ = 0;
  bool is_down_ = false;
  bool is_slow_ = false;
  CallQueue queue_;
  std::uint64_t connections_while_slow_ = 0;
  std::uint64_t calls_while_slow_ = 0;
  std::thread thread_;
};

}  // namespace lb::lab
