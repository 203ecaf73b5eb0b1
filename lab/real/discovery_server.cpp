#include "lab/real/discovery_server.h"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <ctime>
#include <future>
#include <stdexcept>
#include <string_view>
#include <system_error>
#include <utility>

namespace lb::lab {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr const char* kPath = "/discovery/hosts";
constexpr std::uint64_t kLongestWaitMs = 60'000;
// A listening socket, a connection and the next one, which may overlap it, for each sidecar; besides what the
// process holds anyway.
constexpr std::size_t kDescriptorsPerAgent = 3;
constexpr std::size_t kOtherDescriptors = 64;
// Answers are kept for callers that come soon after; the rest are made anew.
constexpr std::size_t kMostAnswers = 64;
// Of slow discovery: until an answer's first byte, between its pieces, and which connections and calls are
// turned away.
constexpr auto kSlowStart = milliseconds(300);
constexpr auto kSlowPause = milliseconds(100);
constexpr std::size_t kSlowPieces = 4;
constexpr std::uint64_t kConnectionTurnedAway = 3;  // every third
constexpr std::uint64_t kCallTurnedAway = 4;
// When at the latest a change counts as told, after the watch fell silent or it could be had on request, and
// after discovery was moved.
constexpr Duration kLongestSilence = std::chrono::seconds(6);
constexpr Duration kLongestMove = std::chrono::seconds(4);
constexpr auto kAcceptPause = milliseconds(20);  // after a failure, such as want of descriptors

enum class QueryFault { kNone, kNotFound, kBad };

// A call, as its target says it.
struct Query {
  QueryFault fault = QueryFault::kNone;
  std::optional<std::uint64_t> index;
  milliseconds wait{};
};

bool ParseNumber(std::string_view text, std::uint64_t& number) {
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && stop == end;
}

bool ParseParameter(std::string_view parameter, Query& query) {
  const std::size_t equals = parameter.find('=');
  if (equals == std::string_view::npos) return false;
  const std::string_view name = parameter.substr(0, equals);
  std::uint64_t number = 0;
  if (!ParseNumber(parameter.substr(equals + 1), number)) return false;
  if (name == "index") {
    query.index = number;
    return true;
  }
  if (name != "wait" || number > kLongestWaitMs) return false;
  query.wait = milliseconds(number);
  return true;
}

Query ParseTarget(std::string_view target) {
  Query query;
  const std::size_t mark = target.find('?');
  if (target.substr(0, mark) != kPath) {
    query.fault = QueryFault::kNotFound;
    return query;
  }
  if (mark == std::string_view::npos) return query;
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    if (!ParseParameter(rest.substr(0, end), query)) query.fault = QueryFault::kBad;
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
  }
  if (query.wait > milliseconds::zero() && !query.index) query.fault = QueryFault::kBad;
  return query;
}

std::string Head(const char* status, std::size_t length, bool keep_alive) {
  return std::string("HTTP/1.1 ") + status +
         "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(length) +
         (keep_alive ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n");
}

Duration ThreadProcessorTime() {
  timespec spent{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(spent.tv_sec) +
                                              std::chrono::nanoseconds(spent.tv_nsec));
}

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

AgentCounters& AgentCounters::operator+=(const AgentCounters& other) {
  calls += other.calls;
  bad_calls += other.bad_calls;
  bytes_in += other.bytes_in;
  bytes_out += other.bytes_out;
  whole_lists += other.whole_lists;
  changes += other.changes;
  return *this;
}

AgentCounters DiscoveryCounters::Total() const {
  AgentCounters total;
  for (const AgentCounters& agent : agents) total += agent;
  return total;
}

void EnsureDescriptorLimit(std::size_t needed) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    throw std::system_error(errno, std::generic_category(), "getrlimit");
  }
  if (limit.rlim_cur >= needed) return;
  if (limit.rlim_max < needed) {
    throw std::runtime_error("needs " + std::to_string(needed) + " descriptors, the hard limit is " +
                             std::to_string(limit.rlim_max));
  }
  limit.rlim_cur = needed;
  if (setrlimit(RLIMIT_NOFILE, &limit) != 0) {
    throw std::system_error(errno, std::generic_category(), "setrlimit");
  }
}

// What stands on one sidecar's machine for discovery.
struct DiscoveryServer::Agent {
  Agent(boost::asio::io_context& io, std::size_t number, std::optional<std::size_t> service_of_list)
      : index(number), service(service_of_list), acceptor(io), pause(io), excuse(io) {}

  const std::size_t index;
  const std::optional<std::size_t> service;
  tcp::acceptor acceptor;
  tcp::endpoint endpoint;
  boost::asio::steady_timer pause;
  std::uint64_t revision = 1;  // what the sidecar can be told
  std::uint64_t newest = 1;    // the last that concerns it, told or not
  std::uint64_t missed = 1;    // the last notice that was lost
  std::uint64_t told = 1;      // what counts as told
  std::uint64_t address = 0;   // how many it had before this one
  bool excused = false;        // what it is told does not count yet
  boost::asio::steady_timer excuse;
  std::vector<std::shared_ptr<Session>> watches;
  AgentCounters counters;
};

// One connection of a sidecar.
class DiscoveryServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(DiscoveryServer& server, Agent& agent, tcp::socket socket)
      : server_(server),
        agent_(agent),
        address_(agent.address),
        socket_(std::move(socket)),
        wait_over_(server.io_) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  void Read() {
    parser_.emplace();
    http::async_read(
        socket_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t bytes) {
          self->agent_.counters.bytes_in += bytes;
          if (!error) return self->Handle();
          const bool malformed = error.category() == http::make_error_code({}).category();
          if (!malformed || error == http::error::end_of_stream || error == http::error::partial_message) {
            return self->Close();
          }
          self->AnswerBad("400 Bad Request", false);
        });
  }

  std::uint64_t held() const { return *index_; }

  // The watch is over: something newer is there, or nothing came.
  void AnswerWatch() {
    Forget();
    AnswerList(index_);
  }

  // What was asked on this connection is never answered.
  void Silence() {
    Forget();
    WatchForClose();
  }

 private:
  void Handle() {
    ++agent_.counters.calls;
    keep_alive_ = parser_->get().keep_alive();
    if (server_.down_ || address_ != agent_.address) return WatchForClose();
    if (parser_->get().method() != http::verb::get) return AnswerBad("400 Bad Request", keep_alive_);
    const auto target = parser_->get().target();
    if (server_.slow_ && ++server_.calls_while_slow_ % kCallTurnedAway == 0) {
      return AnswerBad("503 Service Unavailable", keep_alive_);
    }
    const Query query = ParseTarget({target.data(), target.size()});
    if (query.fault == QueryFault::kNotFound) return AnswerBad("404 Not Found", keep_alive_);
    if (query.fault == QueryFault::kBad) return AnswerBad("400 Bad Request", keep_alive_);
    agent_.excused = false;
    server_.Advance(agent_, agent_.missed);
    const bool nothing_newer = query.index && *query.index == agent_.revision;
    if (!nothing_newer || query.wait == milliseconds::zero()) return AnswerList(query.index);
    Watch(*query.index, query.wait);
  }

  void Watch(std::uint64_t index, milliseconds wait) {
    index_ = index;
    agent_.watches.push_back(shared_from_this());
    wait_over_.expires_after(wait);
    wait_over_.async_wait([self = shared_from_this(), turn = turn_](error_code error) {
      if (!error && turn == self->turn_) self->AnswerWatch();
    });
    WatchForClose();
  }

  // Nothing but the connection's end is expected of a sidecar that waits.
  void WatchForClose() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), turn = turn_](error_code error) {
      if (turn != self->turn_ || error == boost::asio::error::operation_aborted) return;
      self->Forget();
      self->Close();
    });
  }

  // Not a watch any more.
  void Forget() {
    ++turn_;
    wait_over_.cancel();
    std::erase(agent_.watches, shared_from_this());
  }

  void AnswerList(std::optional<std::uint64_t> held) {
    answer_ = server_.AnswerFor(agent_, held);
    if (answer_->whole) {
      ++agent_.counters.whole_lists;
    } else {
      agent_.counters.changes += answer_->entries;
    }
    Write("200 OK", answer_->body, keep_alive_);
  }

  void AnswerBad(const char* status, bool keep_alive) {
    ++agent_.counters.bad_calls;
    keep_alive_ = keep_alive;
    static const std::string kNoBody = "{}";
    Write(status, kNoBody, keep_alive);
  }

  // `body` has to live until it is written.
  void Write(const char* status, const std::string& body, bool keep_alive) {
    ++turn_;
    head_ = Head(status, body.size(), keep_alive);
    if (server_.slow_) return WriteSlowly(head_ + body);
    const std::array<boost::asio::const_buffer, 2> parts = {boost::asio::buffer(head_),
                                                            boost::asio::buffer(body)};
    boost::asio::async_write(
        socket_, parts,
        [self = shared_from_this()](error_code error, std::size_t bytes) { self->OnWritten(error, bytes); });
  }

  void WriteSlowly(std::string text) {
    slow_text_ = std::move(text);
    piece_ = slow_text_.size() / kSlowPieces + 1;
    WritePiece(0, kSlowStart);
  }

  void WritePiece(std::size_t from, milliseconds pause) {
    wait_over_.expires_after(pause);
    wait_over_.async_wait([self = shared_from_this(), from](error_code stopped) {
      if (stopped) return;
      const auto piece = boost::asio::buffer(self->slow_text_) + from;
      boost::asio::async_write(self->socket_, boost::asio::buffer(piece, self->piece_),
                               [self, from](error_code error, std::size_t bytes) {
                                 const std::size_t written = from + bytes;
                                 if (!error && written < self->slow_text_.size()) {
                                   return self->WritePiece(written, kSlowPause);
                                 }
                                 self->OnWritten(error, written);
                               });
    });
  }

  void OnWritten(error_code error, std::size_t bytes) {
    agent_.counters.bytes_out += bytes;
    if (!error && answer_) server_.CountAsTold(agent_, answer_->revision);
    answer_.reset();
    if (error || !keep_alive_) return Close();
    Read();
  }

  void Close() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
  }

  DiscoveryServer& server_;
  Agent& agent_;
  const std::uint64_t address_;  // of the agent, as it was when this came
  tcp::socket socket_;
  boost::asio::steady_timer wait_over_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::empty_body>> parser_;
  bool keep_alive_ = true;
  std::optional<std::uint64_t> index_;  // what the watch waits to pass
  std::uint64_t turn_ = 0;              // grows as a call goes on: older waits are void
  std::string head_;
  std::string slow_text_;  // of an answer in pieces
  std::size_t piece_ = 0;  // bytes of each
  std::shared_ptr<const Answer> answer_;
};

DiscoveryServer::DiscoveryServer(const std::vector<MembershipEntry>& entries, DiscoveryServerOptions options)
    : options_(std::move(options)), registry_(entries), random_(options_.seed) {
  EnsureDescriptorLimit(options_.services.size() * kDescriptorsPerAgent + kOtherDescriptors);
  for (const MembershipEntry& entry : entries) known_ids_.insert(entry.id);
  for (std::size_t index = 0; index < options_.services.size(); ++index) {
    agents_.push_back(std::make_unique<Agent>(io_, index, options_.services[index]));
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
  const std::lock_guard lock(order_);
  boost::asio::post(io_, [this, entry, at = sidecar::Now()] { ApplyChange(entry, at); });
  return ++last_revision_;
}

void DiscoveryServer::SetLate(double factor) {
  boost::asio::post(io_, [this, factor] { late_factor_ = factor; });
}

void DiscoveryServer::SetLost(double share) {
  boost::asio::post(io_, [this, share] { lost_share_ = share; });
}

void DiscoveryServer::SilenceWatches() {
  boost::asio::post(io_, [this] {
    SilenceAll();
    for (const auto& agent : agents_) ExcuseFor(*agent, kLongestSilence);
  });
}

void DiscoveryServer::SetDown(bool down) {
  boost::asio::post(io_, [this, down] {
    if (down_ == down) return;
    down_ = down;
    if (down) return SilenceAll();
    for (const auto& agent : agents_) {
      agent->excused = false;
      Advance(*agent, agent->newest);
    }
  });
}

void DiscoveryServer::SetSlow(bool slow) {
  boost::asio::post(io_, [this, slow] { slow_ = slow; });
}

lb::Endpoint DiscoveryServer::Move(std::size_t sidecar) {
  return OnServerThread([this, sidecar] { return MoveNow(*agents_.at(sidecar)); });
}

lb::Endpoint DiscoveryServer::MoveNow(Agent& agent) {
  const auto open = agent.watches;
  for (const auto& session : open) session->Silence();
  ++agent.address;
  error_code ignored;
  agent.pause.cancel();
  agent.acceptor.close(ignored);
  Listen(agent);
  ExcuseFor(agent, kLongestMove);
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

void DiscoveryServer::Listen(Agent& agent) {
  const tcp::endpoint any_port(boost::asio::ip::address_v4::loopback(), 0);
  agent.acceptor.open(any_port.protocol());
  agent.acceptor.bind(any_port);
  agent.acceptor.listen();
  agent.endpoint = agent.acceptor.local_endpoint();
  Accept(agent);
}

void DiscoveryServer::Accept(Agent& agent) {
  agent.acceptor.async_accept([this, &agent](error_code error, tcp::socket socket) {
    if (!error && slow_ && ++connections_while_slow_ % kConnectionTurnedAway == 0) return Accept(agent);
    if (!error) {
      std::make_shared<Session>(*this, agent, std::move(socket))->Read();
      return Accept(agent);
    }
    if (error == boost::asio::error::operation_aborted) return;  // moved
    agent.pause.expires_after(kAcceptPause);
    agent.pause.async_wait([this, &agent](error_code stopped) {
      if (!stopped) Accept(agent);
    });
  });
}

void DiscoveryServer::SilenceAll() {
  for (const auto& agent : agents_) {
    const auto open = agent->watches;
    for (const auto& session : open) session->Silence();
  }
}

void DiscoveryServer::ApplyChange(const MembershipEntry& entry, TimePoint at) {
  const std::uint64_t revision = registry_.Change(entry);
  for (const auto& agent : agents_) {
    const bool concerned = !agent->service || *agent->service == entry.service;
    if (concerned) Notify(*agent, revision, at);
  }
  ArmNotices();
}

void DiscoveryServer::Notify(Agent& agent, std::uint64_t revision, TimePoint at) {
  agent.newest = revision;
  std::uniform_real_distribution<double> delay(options_.notice_delay_s.low, options_.notice_delay_s.high);
  const Duration wait = Seconds(delay(random_) * late_factor_);
  if (std::bernoulli_distribution(lost_share_)(random_)) {
    agent.missed = revision;
    return;
  }
  // While down, nothing is sent: the return tells all.
  if (!down_) notices_.push({at + wait, agent.index, revision});
}

void DiscoveryServer::ArmNotices() {
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
    Advance(*agents_[notice.agent], notice.revision);
  }
  ArmNotices();
}

void DiscoveryServer::Advance(Agent& agent, std::uint64_t revision) {
  agent.revision = std::max(agent.revision, revision);
  if (down_) return;
  const auto open = agent.watches;
  for (const auto& session : open) {
    if (session->held() < agent.revision) session->AnswerWatch();
  }
  if (options_.on_request || slow_) return CountAsToldLater(agent, kLongestSilence);
  if (!agent.excused) CountAsTold(agent, agent.revision);
}

void DiscoveryServer::CountAsTold(Agent& agent, std::uint64_t revision) {
  if (!options_.on_told || revision <= agent.told) return;
  const auto view = registry_.SinceAsOf(agent.told, revision, agent.service);
  for (const MembershipEntry& entry : view.entries) options_.on_told(agent.index, entry, sidecar::Now());
  agent.told = revision;
}

void DiscoveryServer::CountAsToldLater(Agent& agent, Duration wait) {
  if (!options_.on_told || agent.revision <= agent.told) return;
  const auto timer = std::make_shared<boost::asio::steady_timer>(io_, wait);
  timer->async_wait([this, timer, &agent, revision = agent.revision](error_code error) {
    if (!error && !down_) CountAsTold(agent, revision);
  });
}

void DiscoveryServer::ExcuseFor(Agent& agent, Duration wait) {
  agent.excused = true;
  agent.excuse.expires_after(wait);
  agent.excuse.async_wait([this, &agent](error_code error) {
    if (error || !std::exchange(agent.excused, false) || down_) return;
    CountAsTold(agent, agent.revision);
  });
}

std::shared_ptr<const DiscoveryServer::Answer> DiscoveryServer::AnswerFor(Agent& agent,
                                                                          std::optional<std::uint64_t> held) {
  const AnswerKey key{agent.service, held, agent.revision};
  std::shared_ptr<const Answer>& answer = answers_[key];
  if (!answer) answer = std::make_shared<Answer>(MakeAnswer(key));
  // Further where the registry has forgotten what the agent was last told.
  agent.revision = std::max(agent.revision, answer->revision);
  auto result = answer;
  if (answers_.size() >= kMostAnswers) answers_.clear();
  return result;
}

DiscoveryServer::Answer DiscoveryServer::MakeAnswer(const AnswerKey& key) const {
  const auto view = registry_.SinceAsOf(key.held, key.as_of, key.service);
  return {ToJson(view).dump(), view.revision, view.whole, view.entries.size()};
}

}  // namespace lb::lab
