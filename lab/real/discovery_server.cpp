#include "lab/real/discovery_server.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <ctime>
#include <future>
#include <stdexcept>
#include <utility>

#include "lab/real/descriptor_limit.h"
#include "lab/spec/durations.h"

namespace lb::lab {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// For each sidecar: a listening socket, a connection, and a following connection that may overlap with it.
// kOtherDescriptors are those of the rest of the process.
constexpr std::size_t kDescriptorsPerAgent = 3;
constexpr std::size_t kOtherDescriptors = 64;
// Limit on cached answers. The cache serves callers with the same revision and is cleared when full.
constexpr std::size_t kMaxCachedAnswers = 64;
// Slow discovery closes every third connection and rejects every fourth call.
constexpr std::uint64_t kCloseEveryNth = 3;
constexpr std::uint64_t kRejectEveryNth = 4;
// Maximum time until a change counts as known: after watches were silenced, or, on request or while discovery
// is slow, after the change became available; and after discovery was moved.
constexpr Duration kMaxKnownDelay = std::chrono::seconds(6);
constexpr Duration kMaxKnownDelayAfterMove = std::chrono::seconds(4);
constexpr auto kAcceptPause = milliseconds(20);  // after a failed accept, such as for lack of descriptors

Duration ThreadProcessorTime() {
  timespec spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(spent.tv_sec) +
                                              std::chrono::nanoseconds(spent.tv_nsec));
}

}  // namespace

AgentCounters DiscoveryCounters::Total() const {
  AgentCounters total;
  for (const AgentCounters& agent : agents) total += agent;
  return total;
}

DiscoveryServer::DiscoveryServer(const std::vector<MembershipEntry>& entries, DiscoveryServerOptions options)
    : options_(std::move(options)), registry_(entries), random_(options_.seed) {
  EnsureDescriptorLimit(options_.services.size() * kDescriptorsPerAgent + kOtherDescriptors);
  for (const MembershipEntry& entry : entries) known_ids_.insert(entry.id);
  for (std::size_t index = 0; index < options_.services.size(); ++index) {
    agents_.push_back(std::make_unique<DiscoveryAgent>(io_, index, options_.services[index]));
    Listen(*agents_.back());
  }
  thread_ = std::thread([this] {
    const auto work = boost::asio::make_work_guard(io_);
    io_.run();
  });
}

DiscoveryServer::~DiscoveryServer() {
  io_.stop();
  thread_.join();
}

lb::Endpoint DiscoveryServer::endpoint(std::size_t sidecar) const { return agents_.at(sidecar)->endpoint; }

std::uint64_t DiscoveryServer::Change(const MembershipEntry& entry) {
  if (!known_ids_.contains(entry.id)) throw std::out_of_range("unknown upstream " + entry.id);
  const std::lock_guard lock(change_mutex_);
  boost::asio::post(io_, [this, entry, at = sidecar::Now()] { ApplyChange(entry, at); });
  return ++last_revision_;
}

void DiscoveryServer::SetNoticeDelayFactor(double factor) {
  boost::asio::post(io_, [this, factor] { delay_factor_ = factor; });
}

void DiscoveryServer::SetLostNoticeShare(double share) {
  boost::asio::post(io_, [this, share] { lost_share_ = share; });
}

void DiscoveryServer::SilenceWatches() {
  boost::asio::post(io_, [this] {
    SilenceAll();
    for (const auto& agent : agents_) DelayKnown(*agent, kMaxKnownDelay);
  });
}

void DiscoveryServer::SetDown(bool down) {
  boost::asio::post(io_, [this, down] {
    if (is_down_ == down) return;
    is_down_ = down;
    if (down) return SilenceAll();
    for (const auto& agent : agents_) {
      agent->is_known_delayed = false;
      DeliverRevision(*agent, agent->newest_revision);
    }
  });
}

void DiscoveryServer::SetSlow(bool slow) {
  boost::asio::post(io_, [this, slow] { is_slow_ = slow; });
}

void DiscoveryServer::SetAnswerDelay(Duration delay) {
  boost::asio::post(io_, [this, delay] { queue_.SetDelay(delay); });
}

void DiscoveryServer::SetCallWork(Duration work) {
  boost::asio::post(io_, [this, work] { queue_.SetWork(work); });
}

lb::Endpoint DiscoveryServer::Move(std::size_t sidecar) {
  return OnServerThread([this, sidecar] { return MoveNow(*agents_.at(sidecar)); });
}

lb::Endpoint DiscoveryServer::MoveNow(DiscoveryAgent& agent) {
  const auto open = agent.watches;
  for (const auto& session : open) session->LeaveUnanswered();
  ++agent.address_generation;
  error_code ignored;
  agent.accept_pause.cancel();
  agent.acceptor.close(ignored);
  Listen(agent);
  DelayKnown(agent, kMaxKnownDelayAfterMove);
  return agent.endpoint;
}

std::size_t DiscoveryServer::OpenWatches() {
  return OnServerThread([this] {
    std::size_t open = 0;
    for (const auto& agent : agents_) open += agent->watches.size();
    return open;
  });
}

DiscoveryCounters DiscoveryServer::Counters() {
  return OnServerThread([this] {
    DiscoveryCounters counters;
    for (const auto& agent : agents_) counters.agents.push_back(agent->counters);
    counters.processor_time = ThreadProcessorTime();
    return counters;
  });
}

template <typename Read>
auto DiscoveryServer::OnServerThread(Read read) -> decltype(read()) {
  std::packaged_task<decltype(read())()> task(std::move(read));
  auto result = task.get_future();
  boost::asio::post(io_, std::move(task));
  return result.get();
}

void DiscoveryServer::Listen(DiscoveryAgent& agent) {
  const tcp::endpoint any_port(boost::asio::ip::address_v4::loopback(), 0);
  agent.acceptor.open(any_port.protocol());
  agent.acceptor.bind(any_port);
  agent.acceptor.listen();
  agent.endpoint = agent.acceptor.local_endpoint();
  Accept(agent);
}

void DiscoveryServer::Accept(DiscoveryAgent& agent) {
  agent.acceptor.async_accept([this, &agent](error_code error, tcp::socket socket) {
    if (!error && is_slow_ && ++connections_while_slow_ % kCloseEveryNth == 0) return Accept(agent);
    if (!error) {
      DiscoverySessionHost& host = *this;
      std::make_shared<DiscoverySession>(io_, host, agent, std::move(socket))->Read();
      return Accept(agent);
    }
    if (error == boost::asio::error::operation_aborted) return;  // moved
    agent.accept_pause.expires_after(kAcceptPause);
    agent.accept_pause.async_wait([this, &agent](error_code stopped) {
      if (!stopped) Accept(agent);
    });
  });
}

bool DiscoveryServer::ShouldRejectCall() {
  if (!is_slow_) return false;
  ++calls_while_slow_;
  return calls_while_slow_ % kRejectEveryNth == 0;
}

Duration DiscoveryServer::EnterQueue() { return queue_.Enter(sidecar::Now()); }

void DiscoveryServer::HandleCall(DiscoveryAgent& agent) {
  agent.is_known_delayed = false;
  DeliverRevision(agent, agent.lost_revision);
}

void DiscoveryServer::HandleAnswerWritten(DiscoveryAgent& agent, std::uint64_t revision) {
  ReportKnown(agent, revision);
}

void DiscoveryServer::SilenceAll() {
  for (const auto& agent : agents_) {
    const auto open = agent->watches;
    for (const auto& session : open) session->LeaveUnanswered();
  }
}

void DiscoveryServer::ApplyChange(const MembershipEntry& entry, TimePoint at) {
  const std::uint64_t revision = registry_.Change(entry);
  for (const auto& agent : agents_) {
    const bool is_affected = !agent->service || *agent->service == entry.service;
    if (is_affected) Notify(*agent, revision, at);
  }
  ScheduleNoticeTimer();
}

void DiscoveryServer::Notify(DiscoveryAgent& agent, std::uint64_t revision, TimePoint at) {
  agent.newest_revision = revision;
  std::uniform_real_distribution<double> delay(options_.notice_delay_s.low, options_.notice_delay_s.high);
  const Duration wait = FromSeconds(delay(random_) * delay_factor_);
  if (std::bernoulli_distribution(lost_share_)(random_)) {
    agent.lost_revision = revision;
    return;
  }
  // While discovery is down no notice is scheduled: SetDown(false) delivers all missed changes.
  if (!is_down_) notices_.push({at + wait, agent.index, revision});
}

void DiscoveryServer::ScheduleNoticeTimer() {
  if (notices_.empty()) return;
  notice_timer_.expires_at(sidecar::ToSteady(notices_.top().when));
  notice_timer_.async_wait([this](error_code error) {
    if (!error) DeliverNotices();
  });
}

void DiscoveryServer::DeliverNotices() {
  while (!notices_.empty() && notices_.top().when <= sidecar::Now()) {
    const Notice notice = notices_.top();
    notices_.pop();
    DeliverRevision(*agents_[notice.agent], notice.revision);
  }
  ScheduleNoticeTimer();
}

void DiscoveryServer::DeliverRevision(DiscoveryAgent& agent, std::uint64_t revision) {
  agent.revision = std::max(agent.revision, revision);
  if (is_down_) return;
  const auto open = agent.watches;
  for (const auto& session : open) {
    if (session->caller_revision() < agent.revision) session->AnswerWatch();
  }
  if (options_.on_request || is_slow_ || queue_.IsSlow()) return ReportKnownAfter(agent, kMaxKnownDelay);
  if (!agent.is_known_delayed) ReportKnown(agent, agent.revision);
}

void DiscoveryServer::ReportKnown(DiscoveryAgent& agent, std::uint64_t revision) {
  if (!options_.on_known || revision <= agent.reported_revision) return;
  const auto view = registry_.SinceAsOf(agent.reported_revision, revision, agent.service);
  for (const MembershipEntry& entry : view.entries) options_.on_known(agent.index, entry, sidecar::Now());
  agent.reported_revision = revision;
}

void DiscoveryServer::ReportKnownAfter(DiscoveryAgent& agent, Duration wait) {
  if (!options_.on_known || agent.revision <= agent.reported_revision) return;
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, wait);
  timer->async_wait([this, timer, &agent, revision = agent.revision](error_code error) {
    if (!error && !is_down_) ReportKnown(agent, revision);
  });
}

void DiscoveryServer::DelayKnown(DiscoveryAgent& agent, Duration wait) {
  agent.is_known_delayed = true;
  agent.known_delay_timer.expires_after(wait);
  agent.known_delay_timer.async_wait([this, &agent](error_code error) {
    if (error || !std::exchange(agent.is_known_delayed, false) || is_down_) return;
    ReportKnown(agent, agent.revision);
  });
}

std::shared_ptr<const DiscoveryAnswer> DiscoveryServer::AnswerFor(
    DiscoveryAgent& agent, std::optional<std::uint64_t> caller_revision) {
  const AnswerKey key{agent.service, caller_revision, agent.revision};
  std::shared_ptr<const DiscoveryAnswer>& answer = answers_[key];
  if (!answer) answer = std::make_shared<DiscoveryAnswer>(MakeAnswer(key));
  // The answer is newer than the agent's revision if the registry no longer has that revision.
  agent.revision = std::max(agent.revision, answer->revision);
  auto result = answer;
  if (answers_.size() >= kMaxCachedAnswers) answers_.clear();
  return result;
}

DiscoveryAnswer DiscoveryServer::MakeAnswer(const AnswerKey& key) const {
  const auto view = registry_.SinceAsOf(key.caller_revision, key.as_of, key.service);
  return {ToJson(view).dump(), view.revision, view.full_list, view.entries.size()};
}

}  // namespace lb::lab
