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
  kRefused,     // 429 or 503: the request was not processed
  kNotSent,     // no connection, so the request was not processed
  kFailed,      // the request may have been processed
  kUnanswered,  // no response before the time-out; the request may have been processed
};

struct TryResult {
  TryOutcome outcome = TryOutcome::kFailed;
  std::optional<Duration> retry_after;
  std::optional<Duration> service;  // time that the upstream took
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
  std::size_t in_flight() const { return in_flight_ + listening_; }
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

  // One try. If the sidecar closes a reused connection while the request is being sent, the try continues on
  // a second connection.
  struct Try {
    RequestPointer request;
    std::string message;
    ConnectionPointer connection;
    bool ended = false;
  };
  using TryPointer = std::shared_ptr<Try>;

  // Draws new arrival times for all applications. The time already waited does not matter, as the gaps of a
  // Poisson process are memoryless.
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
    ++in_flight_;
    BeginTry(request);
  }

  void BeginTry(const RequestPointer& request) {
    ++request->tries;
    const TimePoint now = scheduler_.Now();
    const auto try_timeout = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Duration::period>(request->spec->deadline) * clients_.try_share);
    const Duration wait =
        std::clamp<Duration>(try_timeout, kMinTimeout, std::max(kMinTimeout, request->deadline - now));
    const Application& application = applications_[request->application];
    const auto current = std::make_shared<Try>();
    current->request = request;
    current->message = requests_.ToText(*request, wait, application.target.index);
    scheduler_.At(now + wait, [weak = weak_from_this(), weak_try = std::weak_ptr<Try>(current)] {
      const auto self = weak.lock();
      const auto timed_out = weak_try.lock();
      if (self && timed_out && !timed_out->ended) self->HandleTimeout(timed_out);
    });
    const ConnectionPointer connection = application.connections->Take();
    if (connection) return Send(current, connection);
    EndTry(current, {TryOutcome::kNotSent, {}, {}});
  }

  // Handles the client's time-out. With ClientSpec::late_answer_wait, the connection stays open for that
  // time, but is not reused.
  void HandleTimeout(const TryPointer& timed_out) {
    if (clients_.late_answer_wait <= Duration::zero()) {
      ConnectionsOf(*timed_out).Discard(std::exchange(timed_out->connection, nullptr));
    } else {
      ++listening_;
      scheduler_.After(
          clients_.late_answer_wait, [weak = weak_from_this(), weak_try = std::weak_ptr<Try>(timed_out)] {
            const auto self = weak.lock();
            const auto unanswered = weak_try.lock();
            if (!self || !unanswered || !unanswered->connection) return;
            ++self->window_.dropped;
            --self->listening_;
            self->ConnectionsOf(*unanswered).Discard(std::exchange(unanswered->connection, nullptr));
          });
    }
    EndTry(timed_out, {TryOutcome::kUnanswered, {}, {}});
  }

  ClientConnections& ConnectionsOf(const Try& current) {
    return *applications_[current.request->application].connections;
  }

  void Send(const TryPointer& current, const ConnectionPointer& connection, bool is_resend = false) {
    current->connection = connection;
    connection->Send(current->message,
                     [weak = weak_from_this(), current, is_resend](
                         HttpClientConnection::End end, const HttpClientConnection::Response& response) {
                       const auto self = weak.lock();
                       if (self) self->OnExchangeEnd(current, is_resend, end, response);
                     });
  }

  void OnExchangeEnd(const TryPointer& current, bool is_resend, HttpClientConnection::End end,
                     const HttpClientConnection::Response& response) {
    ClientConnections& connections = ConnectionsOf(*current);
    const ConnectionPointer connection = std::exchange(current->connection, nullptr);
    if (end == HttpClientConnection::End::kAnswered) {
      connections.Return(connection);
    } else {
      connections.Discard(connection);
    }
    if (end == HttpClientConnection::End::kDropped) ++window_.dropped;
    if (current->ended) {  // the client had timed out, but kept the connection
      --listening_;
      if (end == HttpClientConnection::End::kUnread) ++window_.dropped;
      return;
    }
    // The sidecar closed the connection before it read the request, so the request is sent once more.
    if (end == HttpClientConnection::End::kUnread && !is_resend) {
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

  // The pause before the next try, or nullopt if the request is not tried again.
  std::optional<Duration> WaitBeforeRetry(const LoadRequest& request, const TryResult& result) const {
    if (request.tries > clients_.retries) return std::nullopt;
    Duration wait = clients_.backoff * (std::int64_t{1} << std::min(request.tries - 1, kMaxBackoffDoublings));
    if (result.retry_after && request.honors_retry_after) wait = std::max(wait, *result.retry_after);
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
    --in_flight_;
  }

  Scheduler& scheduler_;
  const ClientSpec& clients_;
  LoadRequestGenerator requests_;
  std::vector<Application> applications_;
  LoadWindow window_;
  double factor_ = 1;
  bool running_ = false;
  std::uint64_t arrivals_ = 0;  // generation; arrivals scheduled under an earlier one are ignored
  std::uint64_t begun_ = 0;
  std::size_t in_flight_ = 0;
  std::size_t listening_ = 0;  // tries whose clients have timed out, but keep the connection
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

std::size_t HttpLoad::in_flight() const { return implementation_->in_flight(); }

std::size_t HttpLoad::connections() const { return implementation_->connections(); }

}  // namespace lb::lab
