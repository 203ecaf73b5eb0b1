#include "lab/real/http_load.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "lab/real/http_upstream.h"
#include "lab/real/socket_state.h"
#include "lab/spec/deployment.h"
#include "sidecar/clock.h"

namespace lb::lab {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::beast::string_view;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr char kBody[] = "an order of two items";  // of every request that has one
constexpr Duration kLeastTimeout = milliseconds(1);
// A resting connection's end that comes so soon after a request was written has crossed it: the sidecar need
// not have read it.
constexpr Duration kCrossing = milliseconds(200);
constexpr double kLeastVariance = 1e-12;  // what does not vary is drawn all the same

double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

std::string Hexadecimal(std::uint64_t number) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (auto it = text.rbegin(); it != text.rend(); ++it, number >>= 4) *it = kDigits[number & 15];
  return text;
}

// A lognormal distribution by its mean and its standard deviation over its mean.
std::lognormal_distribution<double> WorkDistribution(const ClassSpec& spec) {
  const double variance = std::log1p(spec.work_variation * spec.work_variation);
  const double mean = static_cast<double>(std::max<std::int64_t>(spec.mean_work.count(), 1));
  return std::lognormal_distribution<double>(std::log(mean) - variance / 2,
                                             std::sqrt(std::max(variance, kLeastVariance)));
}

enum class TryOutcome {
  kServed,
  kRefused,     // nothing was done
  kNotSent,     // there was no connection, so nothing was done
  kFailed,      // it may have run
  kUnanswered,  // likewise, and nothing was heard in time
};

struct TryResult {
  TryOutcome outcome = TryOutcome::kFailed;
  std::optional<Duration> retry_after;
  std::optional<Duration> service;  // that the upstream took
};

std::optional<Duration> ParseSeconds(string_view text) {
  const std::string copy(text);
  char* end = nullptr;
  const double seconds = std::strtod(copy.c_str(), &end);
  if (copy.empty() || *end != '\0' || !(seconds >= 0) || seconds > 3600) return std::nullopt;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::optional<Duration> ParseMicroseconds(string_view text) {
  std::int64_t microseconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), microseconds);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return Duration(microseconds);
}

// One connection of an application to its sidecar.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  enum class End {
    kAnswered,  // `response` is whole
    kNotConnected,
    kBroken,   // it ended before that
    kUnread,   // likewise, but it had been used before and no byte of an answer came
    kDropped,  // the request was written whole, did not cross the end, and no byte of an answer came
  };
  using OnEnd = std::function<void(End, const http::response<http::string_body>&)>;

  ClientConnection(boost::asio::io_context& io, const tcp::endpoint& sidecar,
                   std::function<void()> on_idle_end)
      : socket_(io), sidecar_(sidecar), on_idle_end_(std::move(on_idle_end)) {}

  // Not while another one is under way. `on_end` is told once, unless Close() comes before.
  void Send(std::string message, OnEnd on_end) {
    message_ = std::move(message);
    on_end_ = std::move(on_end);
    if (connected_) return Write();
    socket_.async_connect(sidecar_, [self = shared_from_this()](error_code error) {
      if (self->closed_) return;
      if (error) return self->Finish(End::kNotConnected);
      self->connected_ = true;
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->Write();
    });
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    on_end_ = nullptr;
    on_idle_end_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
  }

  // Whether another request can be sent on it.
  bool usable() { return !closed_ && connected_ && LookAt(socket_) == SocketState::kQuiet; }

 private:
  void Write() {
    boost::asio::async_write(socket_, boost::asio::buffer(message_),
                             [self = shared_from_this()](error_code error, std::size_t) {
                               if (self->closed_) return;
                               if (error) return self->Break(false);
                               self->written_ = sidecar::Now();
                               self->Read();
                             });
  }

  void Read() {
    parser_.emplace();
    http::async_read(socket_, buffer_, *parser_, [self = shared_from_this()](error_code error, std::size_t) {
      if (self->closed_) return;
      if (error) return self->Break(true);
      self->Finish(End::kAnswered);
    });
  }

  void Break(bool written) {
    const bool begun = parser_ && parser_->got_some();
    if (begun) return Finish(End::kBroken);
    const bool crossed = exchanges_ > 0 && (!written || sidecar::Now() - written_ < kCrossing);
    if (crossed) return Finish(End::kUnread);
    Finish(written ? End::kDropped : End::kBroken);
  }

  void Finish(End end) {
    ++exchanges_;
    const auto on_end = std::exchange(on_end_, nullptr);
    http::response<http::string_body> response;
    bool keep = false;
    if (end == End::kAnswered) {
      keep = parser_->get().keep_alive() && !parser_->need_eof();
      response = parser_->release();
    }
    parser_.reset();
    const auto self = shared_from_this();
    if (!keep) {
      Close();
    } else {
      Watch();
    }
    on_end(end, response);
  }

  // The sidecar may close it between requests, and waits for its end to be closed, too.
  void Watch() {
    if (watching_) return;
    watching_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
      self->watching_ = false;
      if (error || self->closed_ || self->on_end_) return;
      const SocketState seen = LookAt(self->socket_);
      if (seen == SocketState::kQuiet) return self->Watch();
      const auto on_idle_end = self->on_idle_end_;
      self->Close();
      on_idle_end();
    });
  }

  tcp::socket socket_;
  tcp::endpoint sidecar_;
  std::function<void()> on_idle_end_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string message_;
  OnEnd on_end_;
  std::size_t exchanges_ = 0;
  TimePoint written_;  // the request, whole
  bool connected_ = false;
  bool closed_ = false;
  bool watching_ = false;
};

TryResult ToResult(ClientConnection::End end, const http::response<http::string_body>& response) {
  TryResult result;
  if (end == ClientConnection::End::kNotConnected) result.outcome = TryOutcome::kNotSent;
  if (end != ClientConnection::End::kAnswered) return result;
  const unsigned status = response.result_int();
  if (status == 200) {
    result.outcome = TryOutcome::kServed;
    result.service = ParseMicroseconds(response[kServiceHeader]);
  } else if (status == 429 || status == 503) {
    result.outcome = TryOutcome::kRefused;
    result.retry_after = ParseSeconds(response[http::field::retry_after]);
  }
  return result;
}

}  // namespace

class HttpLoad::Implementation : public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(boost::asio::io_context& io, Scheduler& scheduler, const ClientSpec& clients,
                 const std::vector<ClassSpec>& classes, std::vector<LoadTarget> targets, std::uint64_t seed)
      : io_(io),
        scheduler_(scheduler),
        clients_(clients),
        classes_(classes),
        ids_(DeriveSeed(seed, "http load ids")) {
    std::vector<double> shares;
    for (const ClassSpec& spec : classes_) {
      shares.push_back(spec.share);
      works_.push_back(WorkDistribution(spec));
    }
    class_drawn_ = std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
    for (std::size_t i = 0; i < targets.size(); ++i) {
      applications_.push_back({targets[i], std::mt19937_64(DeriveSeed(seed, "http load", i)), {}, {}, true});
    }
  }

  void Start() {
    running_ = true;
    ScheduleArrivals();
  }

  void Stop() {
    running_ = false;
    ++arrivals_;
  }

  void SetFactor(double factor) {
    factor_ = factor;
    if (running_) ScheduleArrivals();
  }

  void SetConnecting(std::size_t index, bool connecting) {
    for (Application& application : applications_) {
      if (application.target.index == index) application.connecting = connecting;
    }
  }

  void CloseAll() {
    Stop();
    for (Application& application : applications_) {
      for (const auto& connection : application.open) connection->Close();
      application.open.clear();
      application.idle.clear();
    }
  }

  LoadWindow Take() { return std::exchange(window_, {}); }
  std::uint64_t begun() const { return begun_; }
  std::size_t under_way() const { return under_way_ + listening_; }
  std::size_t connections() const {
    std::size_t count = 0;
    for (const Application& application : applications_) count += application.open.size();
    return count;
  }

 private:
  using ConnectionPointer = std::shared_ptr<ClientConnection>;

  struct Application {
    LoadTarget target;
    std::mt19937_64 random;
    std::set<ConnectionPointer> open;
    std::vector<ConnectionPointer> idle;  // of the open ones; the one used last is the last
    bool connecting = true;               // opens connections
  };

  // What a client wants, over all of its tries.
  struct Request {
    std::size_t application = 0;
    const ClassSpec* spec = nullptr;
    std::string target;           // its path
    std::string idempotency_key;  // empty where the class is not keyed
    std::int64_t work_us = 0;
    bool heeds_retry_after = true;
    TimePoint started;
    TimePoint deadline;
    int tries = 0;
  };
  using RequestPointer = std::shared_ptr<Request>;

  // One try. It may take two connections, where the sidecar closed the first one as the request came.
  struct Try {
    RequestPointer request;
    std::string message;
    ConnectionPointer connection;
    bool ended = false;
  };
  using TryPointer = std::shared_ptr<Try>;

  // Anew for all: a Poisson process has no memory of how long it has waited.
  void ScheduleArrivals() {
    ++arrivals_;
    for (std::size_t i = 0; i < applications_.size(); ++i) ScheduleArrival(i, scheduler_.Now());
  }

  void ScheduleArrival(std::size_t index, TimePoint last) {
    Application& application = applications_[index];
    const double rate = application.target.requests_per_s * factor_;
    if (!(rate > 0)) return;
    const std::chrono::duration<double> gap(std::exponential_distribution<double>(rate)(application.random));
    const TimePoint next = last + std::chrono::duration_cast<Duration>(gap);
    scheduler_.At(next, [weak = weak_from_this(), arrivals = arrivals_, index, next] {
      const auto self = weak.lock();
      if (!self || self->arrivals_ != arrivals) return;
      self->ScheduleArrival(index, next);
      self->Begin(index);
    });
  }

  void Begin(std::size_t index) {
    if (!applications_[index].connecting && applications_[index].idle.empty()) return;
    auto& random = applications_[index].random;
    const std::size_t drawn = class_drawn_(random);
    const auto request = std::make_shared<Request>();
    request->application = index;
    request->spec = &classes_[drawn];
    request->target = "/" + request->spec->name + "/" + Hexadecimal(random());
    if (request->spec->idempotency == lb::Idempotency::kIdempotencyKey) {
      request->idempotency_key = Hexadecimal(random()) + Hexadecimal(random());
    }
    request->work_us = std::llround(works_[drawn](random));
    request->heeds_retry_after = std::bernoulli_distribution(clients_.heeds_retry_after)(random);
    request->started = scheduler_.Now();
    request->deadline = request->started + request->spec->deadline;
    ++begun_;
    ++under_way_;
    BeginTry(request);
  }

  void BeginTry(const RequestPointer& request) {
    ++request->tries;
    const TimePoint now = scheduler_.Now();
    const auto patience = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Duration::period>(request->spec->deadline) * clients_.try_share);
    const Duration wait =
        std::clamp<Duration>(patience, kLeastTimeout, std::max(kLeastTimeout, request->deadline - now));
    const auto current = std::make_shared<Try>();
    current->request = request;
    current->message = Message(*request, wait);
    scheduler_.At(now + wait, [weak = weak_from_this(), weak_try = std::weak_ptr<Try>(current)] {
      const auto self = weak.lock();
      const auto late = weak_try.lock();
      if (self && late && !late->ended) self->GiveUp(late);
    });
    if (ConnectionPointer connection = Connection(request->application)) return Send(current, connection);
    EndTry(current, {TryOutcome::kNotSent, {}, {}});
  }

  // Its time is over. Where clients listen on, the connection stays for them alone.
  void GiveUp(const TryPointer& late) {
    if (clients_.listens_on <= Duration::zero()) {
      Discard(late->request->application, std::exchange(late->connection, nullptr));
    } else {
      ++listening_;
      scheduler_.After(clients_.listens_on, [weak = weak_from_this(), weak_try = std::weak_ptr<Try>(late)] {
        const auto self = weak.lock();
        const auto silent = weak_try.lock();
        if (!self || !silent || !silent->connection) return;
        ++self->window_.dropped;
        --self->listening_;
        self->Discard(silent->request->application, std::exchange(silent->connection, nullptr));
      });
    }
    EndTry(late, {TryOutcome::kUnanswered, {}, {}});
  }

  std::string Message(const Request& request, Duration wait) {
    const bool safe = request.spec->idempotency == lb::Idempotency::kIdempotent;
    const auto timeout_ms = std::chrono::duration_cast<milliseconds>(wait).count();
    std::string text = (safe ? "GET " : "POST ") + request.target + " HTTP/1.1\r\nHost: api.internal\r\n";
    text += "X-Request-ID: " + Hexadecimal(ids_()) + "\r\n";
    text += "X-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
    text += std::string(kWorkHeader) + ": " + std::to_string(request.work_us) + "\r\n";
    text += std::string(kSidecarHeader) + ": " +
            std::to_string(applications_[request.application].target.index) + "\r\n";
    if (request.tries > 1) text += "X-Retried: 1\r\n";
    if (!request.idempotency_key.empty()) text += "Idempotency-Key: " + request.idempotency_key + "\r\n";
    if (safe) return text + "\r\n";
    return text + "Content-Length: " + std::to_string(sizeof kBody - 1) + "\r\n\r\n" + kBody;
  }

  // An idle one, else a new one; null where it opens none.
  ConnectionPointer Connection(std::size_t index) {
    Application& application = applications_[index];
    while (!application.idle.empty()) {
      ConnectionPointer connection = application.idle.back();
      application.idle.pop_back();
      if (connection->usable()) return connection;
      Discard(index, connection);
    }
    return application.connecting ? NewConnection(index) : nullptr;
  }

  ConnectionPointer NewConnection(std::size_t index) {
    Application& application = applications_[index];
    // Told by a pointer that is set below, as it is not there before the connection is.
    const auto itself = std::make_shared<std::weak_ptr<ClientConnection>>();
    auto connection = std::make_shared<ClientConnection>(io_, application.target.sidecar,
                                                         [weak = weak_from_this(), index, itself] {
                                                           const auto self = weak.lock();
                                                           if (self) self->Discard(index, itself->lock());
                                                         });
    *itself = connection;
    application.open.insert(connection);
    return connection;
  }

  void Discard(std::size_t index, const ConnectionPointer& connection) {
    if (!connection) return;
    Application& application = applications_[index];
    connection->Close();
    application.open.erase(connection);
    std::erase(application.idle, connection);
  }

  void Send(const TryPointer& current, const ConnectionPointer& connection, bool again = false) {
    current->connection = connection;
    connection->Send(current->message,
                     [weak = weak_from_this(), current, again](
                         ClientConnection::End end, const http::response<http::string_body>& response) {
                       const auto self = weak.lock();
                       if (self) self->OnExchangeEnd(current, again, end, response);
                     });
  }

  void OnExchangeEnd(const TryPointer& current, bool again, ClientConnection::End end,
                     const http::response<http::string_body>& response) {
    const std::size_t index = current->request->application;
    const ConnectionPointer connection = std::exchange(current->connection, nullptr);
    if (end == ClientConnection::End::kAnswered && connection->usable()) {
      applications_[index].idle.push_back(connection);
    } else {
      Discard(index, connection);
    }
    if (end == ClientConnection::End::kDropped) ++window_.dropped;
    if (current->ended) {  // its client had given up, and listened on
      --listening_;
      if (end == ClientConnection::End::kUnread) ++window_.dropped;
      return;
    }
    // The sidecar closed it before it read this.
    if (end == ClientConnection::End::kUnread && !again) {
      if (applications_[index].connecting) return Send(current, NewConnection(index), true);
      return EndTry(current, {TryOutcome::kNotSent, {}, {}});
    }
    EndTry(current, ToResult(end, response));
  }

  void EndTry(const TryPointer& current, const TryResult& result) {
    current->ended = true;
    const RequestPointer& request = current->request;
    if (result.outcome == TryOutcome::kServed) return OnServed(*request, result);
    if (const auto wait = WaitBeforeRetry(*request, result)) {
      ++window_.traffic.client_retries;
      scheduler_.After(*wait, [weak = weak_from_this(), request] {
        const auto self = weak.lock();
        if (self) self->BeginTry(request);
      });
      return;
    }
    EndRequest();
    ++(result.outcome == TryOutcome::kRefused ? window_.traffic.refused : window_.traffic.failed);
    if (result.outcome == TryOutcome::kUnanswered) ++window_.unanswered;
  }

  // Nothing where there is no further try.
  std::optional<Duration> WaitBeforeRetry(const Request& request, const TryResult& result) const {
    if (request.tries > clients_.retries) return std::nullopt;
    Duration wait = clients_.backoff * (std::int64_t{1} << std::min(request.tries - 1, 20));
    if (result.retry_after && request.heeds_retry_after) wait = std::max(wait, *result.retry_after);
    const TimePoint next = scheduler_.Now() + wait;
    if (next + kLeastTimeout > request.deadline) return std::nullopt;
    if (result.outcome == TryOutcome::kRefused || result.outcome == TryOutcome::kNotSent) return wait;
    switch (request.spec->idempotency) {
      case lb::Idempotency::kIdempotent:
        return wait;
      case lb::Idempotency::kIdempotencyKey:
        return next < request.started + request.spec->key_window ? std::optional(wait) : std::nullopt;
      case lb::Idempotency::kNotIdempotent:
        return std::nullopt;
    }
    return std::nullopt;
  }

  void OnServed(const Request& request, const TryResult& result) {
    const Duration latency = scheduler_.Now() - request.started;
    EndRequest();
    ++(latency <= request.spec->latency_objective ? window_.traffic.in_time : window_.traffic.late);
    window_.latency_ms.Add(ToMilliseconds(latency));
    if (request.tries == 1 && result.service) {
      window_.added_ms.Add(ToMilliseconds(latency - *result.service));
    }
  }

  void EndRequest() {
    ++window_.traffic.requests;
    --under_way_;
  }

  boost::asio::io_context& io_;
  Scheduler& scheduler_;
  const ClientSpec& clients_;
  const std::vector<ClassSpec>& classes_;
  std::vector<std::lognormal_distribution<double>> works_;  // by class
  std::discrete_distribution<std::size_t> class_drawn_;
  std::mt19937_64 ids_;
  std::vector<Application> applications_;
  LoadWindow window_;
  double factor_ = 1;
  bool running_ = false;
  std::uint64_t arrivals_ = 0;  // the arrivals scheduled before the last change of the rates are void
  std::uint64_t begun_ = 0;
  std::size_t under_way_ = 0;
  std::size_t listening_ = 0;  // tries whose clients have given up, but listen on
};

HttpLoad::HttpLoad(boost::asio::io_context& io, Scheduler& scheduler, const ClientSpec& clients,
                   const std::vector<ClassSpec>& classes, std::vector<LoadTarget> targets, std::uint64_t seed)
    : implementation_(
          std::make_shared<Implementation>(io, scheduler, clients, classes, std::move(targets), seed)) {}

HttpLoad::~HttpLoad() { implementation_->CloseAll(); }

void HttpLoad::Start() { implementation_->Start(); }

void HttpLoad::Stop() { implementation_->Stop(); }

void HttpLoad::SetConnecting(std::size_t index, bool connecting) {
  implementation_->SetConnecting(index, connecting);
}

void HttpLoad::SetFactor(double factor) { implementation_->SetFactor(factor); }

LoadWindow HttpLoad::Take() { return implementation_->Take(); }

std::uint64_t HttpLoad::begun() const { return implementation_->begun(); }

std::size_t HttpLoad::under_way() const { return implementation_->under_way(); }

std::size_t HttpLoad::connections() const { return implementation_->connections(); }

}  // namespace lb::lab
