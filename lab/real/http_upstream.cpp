#include "lab/real/http_upstream.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <chrono>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include "lab/real/port_reservation.h"
#include "lab/real/socket_state.h"

namespace lb::lab {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::beast::string_view;
using boost::system::error_code;

constexpr int kBacklog = 4096;
constexpr auto kAcceptPause =
    std::chrono::milliseconds(100);  // after a failure, such as too many descriptors
constexpr Duration kLongestSweep = std::chrono::seconds(1);
constexpr Duration kShortestSweep = std::chrono::milliseconds(20);
constexpr int kSweepsPerIdleClose = 8;

struct Answer {
  unsigned status = 200;
  std::string headers;  // whole lines
  std::string body;
  bool close = false;
};

std::string ToText(const Answer& answer) {
  std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " ";
  const auto reason = http::obsolete_reason(static_cast<http::status>(answer.status));
  text.append(reason.data(), reason.size());
  text += "\r\n" + answer.headers;
  if (answer.close) text += "Connection: close\r\n";
  return text + "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
}

Answer NotProcessed(bool close) { return {503, "X-Not-Processed: 1\r\n", "turned away\n", close}; }

Answer NotFound() { return {404, "", "not found\n", false}; }

// `inflight=7,queue=2,util=0.61`
std::string ToText(const lb::LoadReport& load) {
  std::ostringstream text;
  const auto add = [&text](const char* name, const std::optional<double>& value) {
    if (value) text << (text.tellp() > 0 ? "," : "") << name << '=' << *value;
  };
  add("inflight", load.in_flight);
  add("queue", load.queued);
  add("util", load.utilization);
  add("qps", load.rate);
  return text.str();
}

Duration ParseWork(string_view text) {
  std::int64_t microseconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), microseconds);
  return Duration(std::max<std::int64_t>(microseconds, 0));
}

std::optional<std::size_t> ParseSidecar(string_view text) {
  std::size_t index = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), index);
  const bool whole = error == std::errc() && end == text.data() + text.size();
  return whole ? std::optional(index) : std::nullopt;
}

}  // namespace

// One listening address and the model behind it.
class HttpUpstreams::Server {
 public:
  Server(boost::asio::io_context& io, Scheduler& scheduler, const UpstreamInstance& instance,
         const UpstreamSpec& spec, HttpUpstreamOptions options);
  ~Server();

  void Crash();
  void Start();
  void SetSilent(bool silent);
  void CloseIdleSince(TimePoint time);

  void Remove(const std::shared_ptr<Connection>& connection) { connections_.erase(connection); }

  Scheduler& scheduler;
  UpstreamModel model;
  const HttpUpstreamOptions options;
  HttpUpstreamCounters counters;
  bool silent() const { return silent_; }
  const tcp::endpoint& endpoint() const { return port_.endpoint(); }
  std::size_t open_connections() const { return connections_.size(); }

 private:
  void Listen();
  void Accept();
  void OnAccept(error_code error, tcp::socket socket);
  void FillBacklog();
  void ResetLeftBehind();

  boost::asio::io_context& io_;
  const PortReservation port_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::vector<tcp::socket> fillers_;      // that fill a silent machine's backlog
  std::vector<tcp::socket> left_behind_;  // of a process that died while its machine was silent
  bool running_ = true;
  bool silent_ = false;
};

// One connection. It reads a request, has the model serve it, writes the answer, and reads the next.
class HttpUpstreams::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Server& server, tcp::socket socket) : server_(&server), socket_(std::move(socket)) {}

  void Start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    if (server_->options.answer_at_once) {
      admission_ = Admission::kAccepted;
    } else {
      Connect();
    }
    if (!closed_) Read();
  }

  // An orderly close by the upstream, or what follows that of the caller.
  void Close() {
    if (closed_) return;
    Leave();
    error_code ignored;
    socket_.close(ignored);
  }

  void Reset() {
    if (closed_) return;
    Leave();
    ResetConnection(socket_);
  }

  // The process behind it dies: it holds no place of the table any more.
  void ProcessDied() {
    holds_place_ = false;
    call_.reset();
  }

  // The connection ends for this side, but the caller hears nothing of it.
  tcp::socket LeaveBehind() {
    Leave();
    error_code ignored;
    socket_.cancel(ignored);
    return std::move(socket_);
  }

  bool IdleSince(TimePoint time) const { return state_ == State::kReading && idle_since_ <= time; }

 private:
  enum class Admission { kPending, kAccepted, kRefused };
  enum class State { kReading, kServing, kWriting };
  using Parser = http::request_parser<http::string_body>;

  void Connect() {
    server_->model.Connect([weak = weak_from_this(), server = server_](ConnectResult result) {
      const auto self = weak.lock();
      if (self && !self->closed_) return self->OnAdmission(result);
      if (result == ConnectResult::kAccepted) server->model.Disconnect();
    });
  }

  void OnAdmission(ConnectResult result) {
    if (result == ConnectResult::kSilent) return;
    holds_place_ = result == ConnectResult::kAccepted;
    admission_ = holds_place_ ? Admission::kAccepted : Admission::kRefused;
    if (state_ == State::kServing) Serve();
  }

  void Read() {
    state_ = State::kReading;
    idle_since_ = server_->scheduler.Now();
    parser_.emplace();
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code error, std::size_t bytes) {
                       if (!self->closed_) self->OnRequest(error, bytes);
                     });
  }

  void OnRequest(error_code error, std::size_t bytes) {
    if (error) {
      if (error.category() == http::make_error_code(http::error::end_of_stream).category() &&
          error != http::error::end_of_stream && error != http::error::partial_message) {
        ++server_->counters.bad;
      }
      return Close();
    }
    state_ = State::kServing;
    arrived_ = server_->scheduler.Now();
    const auto& request = parser_->get();
    is_probe_ = request.target() == "/alive" || request.target() == "/metrics/load";
    request_bytes_ = bytes;
    if (!is_probe_) {
      const bool has_id = request.find("X-Request-ID") != request.end();
      ++(has_id ? server_->counters.requests : server_->counters.bad);
      if (!has_id) return Write(NotFound());
      Report();
    }
    Watch();
    if (admission_ != Admission::kPending) Serve();
  }

  void Report() const {
    if (!server_->options.on_attempt) return;
    const auto& request = parser_->get();
    server_->options.on_attempt({server_->model.instance().index, ParseSidecar(request[kSidecarHeader]),
                                 ParseWork(request[kWorkHeader]), arrived_});
  }

  void Serve() {
    if (admission_ == Admission::kRefused) return TurnAway(true);
    if (is_probe_) return Probe();
    if (server_->options.answer_at_once) return OnServed(ServeResult::kServed);
    const Duration work = ParseWork(parser_->get()[kWorkHeader]);
    call_ = server_->model.Serve(work, [weak = weak_from_this()](ServeResult result) {
      const auto self = weak.lock();
      if (!self || self->closed_) return;
      self->call_.reset();
      self->OnServed(result);
    });
  }

  void OnServed(ServeResult result) {
    if (result == ServeResult::kReset) return Reset();
    if (result == ServeResult::kTurnedAway) return TurnAway(false);
    ++server_->counters.served;
    const Duration service = server_->scheduler.Now() - arrived_;
    Write({200, std::string(kServiceHeader) + ": " + std::to_string(service.count()) + "\r\n",
           "served by " + server_->model.instance().id + "\n", false});
  }

  void TurnAway(bool close) {
    if (!is_probe_) ++server_->counters.turned_away;
    Write(NotProcessed(close));
  }

  void Probe() {
    if (!server_->options.probes) return Write(NotFound());
    ++server_->counters.probes;
    server_->counters.probe_bytes += request_bytes_;
    const bool with_report = parser_->get().target() == "/metrics/load";
    const auto answer = [weak = weak_from_this(), with_report](const lb::LoadReport& load) {
      const auto self = weak.lock();
      if (!self || self->closed_) return;
      const Answer reply{200, "", with_report ? ToText(load) : "alive", false};
      self->server_->counters.probe_bytes += ToText(reply).size();
      self->Write(reply);
    };
    if (server_->options.answer_at_once) return answer({});
    server_->model.Probe(answer);
  }

  void Write(const Answer& answer) {
    if (server_->silent()) return;  // nobody hears it; the connection ends at the machine's return
    state_ = State::kWriting;
    outgoing_ = ToText(answer);
    const bool close = answer.close || !parser_->get().keep_alive();
    boost::asio::async_write(socket_, boost::asio::buffer(outgoing_),
                             [self = shared_from_this(), close](error_code error, std::size_t) {
                               if (self->closed_) return;
                               if (error || close) return self->Close();
                               self->Read();
                             });
  }

  // Notices when the caller gives up. The wait may outlast the request and then tells of the next one.
  void Watch() {
    if (watching_) return;
    watching_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
      self->watching_ = false;
      if (error || self->closed_ || self->state_ != State::kServing) return;
      const SocketState seen = LookAt(self->socket_);
      if (seen == SocketState::kEnded) return self->Close();
      if (seen == SocketState::kQuiet) self->Watch();
    });
  }

  void Leave() {
    closed_ = true;
    if (state_ == State::kServing && !is_probe_) ++server_->counters.abandoned;
    if (const auto call = std::exchange(call_, std::nullopt)) server_->model.Abandon(*call);
    if (std::exchange(holds_place_, false)) server_->model.Disconnect();
    server_->Remove(shared_from_this());
  }

  Server* server_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::string outgoing_;
  State state_ = State::kReading;
  Admission admission_ = Admission::kPending;
  bool holds_place_ = false;  // of the model's connection table
  bool closed_ = false;
  bool watching_ = false;
  bool is_probe_ = false;
  std::size_t request_bytes_ = 0;
  std::optional<UpstreamModel::CallId> call_;
  TimePoint arrived_;
  TimePoint idle_since_;
};

HttpUpstreams::Server::Server(boost::asio::io_context& io, Scheduler& run_scheduler,
                              const UpstreamInstance& instance, const UpstreamSpec& spec,
                              HttpUpstreamOptions run_options)
    : scheduler(run_scheduler),
      model(instance, spec, run_scheduler),
      options(std::move(run_options)),
      io_(io),
      port_({boost::asio::ip::address_v4::loopback(), 0}),
      acceptor_(io),
      accept_timer_(io) {
  Listen();
}

HttpUpstreams::Server::~Server() {
  while (!connections_.empty()) {
    const auto connection = *connections_.begin();
    connection->Close();
  }
}

void HttpUpstreams::Server::Listen() {
  acceptor_.open(tcp::v4());
  acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint());
  acceptor_.listen(kBacklog);
  Accept();
}

void HttpUpstreams::Server::Accept() {
  acceptor_.async_accept(io_, [this](error_code error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;  // this may have gone
    OnAccept(error, std::move(socket));
  });
}

void HttpUpstreams::Server::OnAccept(error_code error, tcp::socket socket) {
  // Accepted already when the machine fell silent, or the process died.
  if (silent_ || !running_) {
    if (!error) (silent_ ? left_behind_.push_back(std::move(socket)) : ResetConnection(socket));
    return;
  }
  if (error) {
    accept_timer_.expires_after(kAcceptPause);
    accept_timer_.async_wait([this](error_code stopped) {
      if (!stopped && acceptor_.is_open() && !silent_) Accept();
    });
    return;
  }
  error_code gone;
  const auto caller = socket.remote_endpoint(gone);
  const bool own = std::any_of(fillers_.begin(), fillers_.end(), [&](const tcp::socket& filler) {
    error_code ignored;
    return filler.local_endpoint(ignored) == caller;
  });
  if (!gone && !own) {
    ++counters.connections;
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->Start();
  }
  Accept();
}

void HttpUpstreams::Server::Crash() {
  running_ = false;
  const auto connections = connections_;
  for (const auto& connection : connections) {
    connection->ProcessDied();
    if (silent_) {
      left_behind_.push_back(connection->LeaveBehind());
    } else {
      connection->Reset();
    }
  }
  error_code ignored;
  accept_timer_.cancel();
  if (!silent_) acceptor_.close(ignored);
  model.Crash();
}

void HttpUpstreams::Server::Start() {
  running_ = true;
  model.Start();
  if (options.on_start) options.on_start(model.instance().index, scheduler.Now());
  if (!acceptor_.is_open()) Listen();
}

void HttpUpstreams::Server::SetSilent(bool silent) {
  if (silent == silent_) return;
  silent_ = silent;
  model.SetSilent(silent);
  error_code ignored;
  if (silent) {
    acceptor_.cancel(ignored);
    accept_timer_.cancel();
    if (acceptor_.is_open()) FillBacklog();
    return;
  }
  ResetLeftBehind();
  if (!running_) {
    acceptor_.close(ignored);
    fillers_.clear();
    return;
  }
  if (acceptor_.is_open()) {
    acceptor_.listen(kBacklog, ignored);
    Accept();
  } else {
    Listen();
  }
}

// The system does not complete connections that its backlog has no room for.
void HttpUpstreams::Server::FillBacklog() {
  error_code ignored;
  fillers_.clear();
  acceptor_.listen(0, ignored);
  tcp::socket& filler = fillers_.emplace_back(io_, tcp::v4());
  filler.native_non_blocking(true, ignored);
  // Not through Asio, which would wait for it.
  [[maybe_unused]] const int begun =
      ::connect(filler.native_handle(), endpoint().data(), static_cast<socklen_t>(endpoint().size()));
}

void HttpUpstreams::Server::ResetLeftBehind() {
  for (tcp::socket& socket : left_behind_) ResetConnection(socket);
  left_behind_.clear();
}

void HttpUpstreams::Server::CloseIdleSince(TimePoint time) {
  if (silent_) return;
  const auto connections = connections_;
  for (const auto& connection : connections) {
    if (connection->IdleSince(time)) connection->Close();
  }
}

HttpUpstreamCounters& HttpUpstreamCounters::operator+=(const HttpUpstreamCounters& other) {
  connections += other.connections;
  requests += other.requests;
  served += other.served;
  turned_away += other.turned_away;
  abandoned += other.abandoned;
  bad += other.bad;
  probes += other.probes;
  probe_bytes += other.probe_bytes;
  return *this;
}

HttpUpstreams::HttpUpstreams(boost::asio::io_context& io, Scheduler& scheduler, const Deployment& deployment,
                             const UpstreamSpec& spec, const HttpUpstreamOptions& options)
    : spec_(spec), sweep_timer_(io) {
  servers_.reserve(deployment.upstreams.size());
  for (const UpstreamInstance& instance : deployment.upstreams) {
    servers_.push_back(std::make_unique<Server>(io, scheduler, instance, spec, options));
  }
  SweepIdle();
}

HttpUpstreams::~HttpUpstreams() = default;

// Connections that have stood idle for the time allowed are closed, a little before it is over.
void HttpUpstreams::SweepIdle() {
  const Duration pause =
      std::clamp<Duration>(spec_.idle_close / kSweepsPerIdleClose, kShortestSweep, kLongestSweep);
  for (const auto& server : servers_) {
    server->CloseIdleSince(server->scheduler.Now() - (spec_.idle_close - pause));
  }
  sweep_timer_.expires_after(pause);
  sweep_timer_.async_wait([this](error_code error) {
    if (!error) SweepIdle();
  });
}

std::size_t HttpUpstreams::size() const { return servers_.size(); }

tcp::endpoint HttpUpstreams::endpoint(std::size_t upstream) const {
  return servers_.at(upstream)->endpoint();
}

std::string HttpUpstreams::address(std::size_t upstream) const {
  const tcp::endpoint at = endpoint(upstream);
  return at.address().to_string() + ":" + std::to_string(at.port());
}

const UpstreamModel& HttpUpstreams::model(std::size_t upstream) const { return servers_.at(upstream)->model; }

const HttpUpstreamCounters& HttpUpstreams::counters(std::size_t upstream) const {
  return servers_.at(upstream)->counters;
}

HttpUpstreamCounters HttpUpstreams::TotalCounters() const {
  HttpUpstreamCounters total;
  for (const auto& server : servers_) total += server->counters;
  return total;
}

std::size_t HttpUpstreams::open_connections() const {
  std::size_t count = 0;
  for (const auto& server : servers_) count += server->open_connections();
  return count;
}

void HttpUpstreams::Crash(std::size_t upstream) { servers_.at(upstream)->Crash(); }

void HttpUpstreams::Start(std::size_t upstream) { servers_.at(upstream)->Start(); }

void HttpUpstreams::SetHanging(std::size_t upstream, bool hanging) {
  servers_.at(upstream)->model.SetHanging(hanging);
}

void HttpUpstreams::SetSlowdown(std::size_t upstream, double factor) {
  servers_.at(upstream)->model.SetSlowdown(factor);
}

void HttpUpstreams::SetSilent(std::size_t upstream, bool silent) { servers_.at(upstream)->SetSilent(silent); }

void HttpUpstreams::SetDraining(std::size_t upstream, bool draining) {
  servers_.at(upstream)->model.SetDraining(draining);
}

}  // namespace lb::lab
