#include "lab/real/http_load.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include "lab/real/client_connections.h"
#include "lab/real/http_client_connection.h"
#include "lab/real/http_upstream_messages.h"
#include "lab/real/load_request.h"
#include "lab/spec/deployment.h"
#include "lab/spec/durations.h"

namespace lb::lab {
namespace {

namespace http = boost::beast::http;
using boost::beast::string_view;

constexpr Duration kMinTimeout = std::chrono::milliseconds(1);
constexpr double kMaxRetryAfterS = 3600;
constexpr int kMaxBackoffDoublings = 20;

enum class TryOutcome {
  kServed,
  kRefused,     // nothing was done
  kNotSent,     // there was no connection, so nothing was done
  kFailed,      // it may have run
  kUnanswered,  // likewise, and no response came in time
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
  if (copy.empty() || *end != '\0' || !(seconds >= 0) || seconds > kMaxRetryAfterS) return std::nullopt;
  return FromSeconds(seconds);
}

std::optional<Duration> ParseMicroseconds(string_view text) {
  std::int64_t microseconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), microseconds);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return Duration(microseconds);
}

TryResult ToResult(HttpClientConnection::End end, const HttpClientConnection::Response& response) {
  TryResult result;
  if (end == HttpClientConnection::End::kNotConnected) result.outcome = TryOutcome::kNotSent;
  if (end != HttpClientConnection::End::kAnswered) return result;
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
                 const std::vector<ClassSpec>& classes, const std::vector<LoadTarget>& targets,
                 std::uint64_t seed)
      : scheduler_(scheduler), clients_(clients), requests_(clients, classes, seed) {
    for (std::size_t i = 0; i < targets.size(); ++i) {
      const std::uint64_t application_seed = DeriveSeed(seed, "http load", i);
      applications_.push_back({targets[i], std::mt19937_64(application_seed),
                               std::make_unique<ClientConnections>(io, targets[i].sidecar)});
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
      if (application.target.index == index) application.connections->SetConnecting(connecting);
    }
  }

  void CloseAll() {
    Stop();
    for (Application& application : applications_) application.connections->CloseAll();
  }

  LoadWindow Take() { return std::exchange(window_, {}); }
  std::uint64_t begun() const { return begun_; }
  std::size_t under_way() const { return under_way_ + listening_; }
  std::size_t connections() const {
    std::size_t count = 0;
    for (const Application& application : applications_) count += application.connections->size();
    return count;
  }

 private:
  using ConnectionPointer = ClientConnections::ConnectionPointer;
  using RequestPointer = std::shared_ptr<LoadRequest>;

  struct Application {
    LoadTarget target;
    std::mt19937_64 random;
    std::unique_ptr<ClientConnections> connections;
  };

  // One try. It may take two connections, if the sidecar closed the first one as the request came.
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
    const double gap_s = std::exponential_distribution<double>(rate)(application.random);
    const TimePoint next = last + FromSeconds(gap_s);
    scheduler_.At(next, [weak = weak_from_this(), arrivals = arrivals_, index, next] {
      const auto self = weak.lock();
      if (!self || self->arrivals_ != arrivals) return;
      self->ScheduleArrival(index, next);
      self->BeginRequest(index);
    });
  }

  void BeginRequest(std::size_t index) {
    Application& application = applications_[index];
    if (!application.connections->is_connecting() && !application.connections->has_idle()) return;
    const auto request = std::make_shared<LoadRequest>(requests_.Draw(application.random, scheduler_.Now()));
    request->application = index;
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
        std::clamp<Duration>(patience, kMinTimeout, std::max(kMinTimeout, request->deadline - now));
    const Application& application = applications_[request->application];
    const auto current = std::make_shared<Try>();
    current->request = request;
    current->message = requests_.ToText(*request, wait, application.target.index);
    scheduler_.At(now + wait, [weak = weak_from_this(), weak_try = std::weak_ptr<Try>(current)] {
      const auto self = weak.lock();
      const auto late = weak_try.lock();
      if (self && late && !late->ended) self->GiveUp(late);
    });
    const ConnectionPointer connection = application.connections->Take();
    if (connection) return Send(current, connection);
    EndTry(current, {TryOutcome::kNotSent, {}, {}});
  }

  // The client's time is over. If clients listen on, the connection stays for them alone.
  void GiveUp(const TryPointer& late) {
    if (clients_.listens_on <= Duration::zero()) {
      ConnectionsOf(*late).Discard(std::exchange(late->connection, nullptr));
    } else {
      ++listening_;
      scheduler_.After(clients_.listens_on, [weak = weak_from_this(), weak_try = std::weak_ptr<Try>(late)] {
        const auto self = weak.lock();
        const auto silent = weak_try.lock();
        if (!self || !silent || !silent->connection) return;
        ++self->window_.dropped;
        --self->listening_;
        self->ConnectionsOf(*silent).Discard(std::exchange(silent->connection, nullptr));
      });
    }
    EndTry(late, {TryOutcome::kUnanswered, {}, {}});
  }

  ClientConnections& ConnectionsOf(const Try& current) {
    return *applications_[current.request->application].connections;
  }

  void Send(const TryPointer& current, const ConnectionPointer& connection, bool again = false) {
    current->connection = connection;
    connection->Send(current->message,
                     [weak = weak_from_this(), current, again](
                         HttpClientConnection::End end, const HttpClientConnection::Response& response) {
                       const auto self = weak.lock();
                       if (self) self->OnExchangeEnd(current, again, end, response);
                     });
  }

  void OnExchangeEnd(const TryPointer& current, bool again, HttpClientConnection::End end,
                     const HttpClientConnection::Response& response) {
    ClientConnections& connections = ConnectionsOf(*current);
    const ConnectionPointer connection = std::exchange(current->connection, nullptr);
    if (end == HttpClientConnection::End::kAnswered) {
      connections.Return(connection);
    } else {
      connections.Discard(connection);
    }
    if (end == HttpClientConnection::End::kDropped) ++window_.dropped;
    if (current->ended) {  // its client had given up, and listened on
      --listening_;
      if (end == HttpClientConnection::End::kUnread) ++window_.dropped;
      return;
    }
    // The sidecar closed the connection before it read this.
    if (end == HttpClientConnection::End::kUnread && !again) {
      if (connections.is_connecting()) return Send(current, connections.Open(), true);
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
  std::optional<Duration> WaitBeforeRetry(const LoadRequest& request, const TryResult& result) const {
    if (request.tries > clients_.retries) return std::nullopt;
    Duration wait = clients_.backoff * (std::int64_t{1} << std::min(request.tries - 1, kMaxBackoffDoublings));
    if (result.retry_after && request.heeds_retry_after) wait = std::max(wait, *result.retry_after);
    const TimePoint next = scheduler_.Now() + wait;
    if (next + kMinTimeout > request.deadline) return std::nullopt;
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

  void OnServed(const LoadRequest& request, const TryResult& result) {
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

  Scheduler& scheduler_;
  const ClientSpec& clients_;
  LoadRequestGenerator requests_;
  std::vector<Application> applications_;
  LoadWindow window_;
  double factor_ = 1;
  bool running_ = false;
  std::uint64_t arrivals_ = 0;  // arrivals scheduled before the last change of the rates are void
  std::uint64_t begun_ = 0;
  std::size_t under_way_ = 0;
  std::size_t listening_ = 0;  // tries whose clients have given up, but listen on
};

HttpLoad::HttpLoad(boost::asio::io_context& io, Scheduler& scheduler, const ClientSpec& clients,
                   const std::vector<ClassSpec>& classes, const std::vector<LoadTarget>& targets,
                   std::uint64_t seed)
    : implementation_(std::make_shared<Implementation>(io, scheduler, clients, classes, targets, seed)) {}

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
