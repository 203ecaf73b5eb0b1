#include "lab/model/client_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lb::lab {
namespace {

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(std::llround(static_cast<double>(duration.count()) * factor)));
}

double Uniform(std::mt19937_64& random) { return std::uniform_real_distribution<double>()(random); }

}  // namespace

void CountResult(const RequestResult& result, TrafficCounters& counters) {
  ++counters.requests;
  switch (result.outcome) {
    case RequestOutcome::kInTime:
      ++counters.in_time;
      break;
    case RequestOutcome::kLate:
      ++counters.late;
      break;
    case RequestOutcome::kRefused:
      ++counters.refused;
      break;
    case RequestOutcome::kFailed:
      ++counters.failed;
      break;
  }
}

ClientModel::ClientModel(const Experiment& experiment, const Deployment& deployment, Scheduler& scheduler,
                         OfferFunction offer, OnResult on_result, std::uint64_t& client_retries)
    : experiment_(experiment),
      deployment_(deployment),
      scheduler_(scheduler),
      offer_(std::move(offer)),
      on_result_(std::move(on_result)),
      client_retries_(client_retries) {
  for (const SidecarInstance& sidecar : deployment.sidecars) {
    sources_.push_back({std::mt19937_64(DeriveSeed(experiment.seed, "clients", sidecar.index)), 0});
  }
  for (const ClassSpec& spec : experiment.classes) shares_.push_back(spec.share);
}

void ClientModel::Start() {
  running_ = true;
  for (std::size_t i = 0; i < sources_.size(); ++i) ScheduleNext(i);
}

void ClientModel::Stop() { running_ = false; }

// A Poisson process has no memory, so drawing every pending arrival again at the new rate keeps the process
// correct.
void ClientModel::SetLoadFactor(double factor) {
  factor_ = factor;
  if (!running_) return;
  for (std::size_t i = 0; i < sources_.size(); ++i) ScheduleNext(i);
}

void ClientModel::ScheduleNext(std::size_t sidecar) {
  Source& source = sources_[sidecar];
  const std::uint64_t generation = ++source.generation;
  const double rate = deployment_.sidecars[sidecar].requests_per_s * factor_;
  if (rate <= 0) return;
  const double wait_s = std::exponential_distribution<double>(rate)(source.random);
  scheduler_.After(Scaled(std::chrono::seconds(1), wait_s), [this, sidecar, generation] {
    if (!running_ || sources_[sidecar].generation != generation) return;
    Arrive(sidecar);
    ScheduleNext(sidecar);
  });
}

void ClientModel::Arrive(std::size_t sidecar) {
  std::mt19937_64& random = sources_[sidecar].random;
  const auto request = std::make_shared<Request>();
  request->sidecar = sidecar;
  request->request_class = DrawClass(random);
  request->work = DrawWork(experiment_.classes[request->request_class], random);
  request->honors_retry_after = Uniform(random) < experiment_.clients.honors_retry_after;
  request->arrived = scheduler_.Now();
  ++open_;
  Try(request);
}

std::size_t ClientModel::DrawClass(std::mt19937_64& random) {
  double sum = 0;
  for (const double share : shares_) sum += share;
  double left = Uniform(random) * sum;
  for (std::size_t i = 0; i + 1 < shares_.size(); ++i) {
    if (left < shares_[i]) return i;
    left -= shares_[i];
  }
  return shares_.size() - 1;
}

// Draws from a lognormal distribution given by its mean and its coefficient of variation.
Duration ClientModel::DrawWork(const ClassSpec& spec, std::mt19937_64& random) {
  if (spec.work_variation <= 0) return spec.mean_work;
  const double variance = std::log1p(spec.work_variation * spec.work_variation);
  std::lognormal_distribution<double> factor(-variance / 2, std::sqrt(variance));
  return Scaled(spec.mean_work, factor(random));
}

void ClientModel::Try(const RequestPtr& request) {
  const ClassSpec& spec = experiment_.classes[request->request_class];
  const TimePoint now = scheduler_.Now();
  const TimePoint try_deadline =
      std::min(now + Scaled(spec.deadline, experiment_.clients.try_share), request->arrived + spec.deadline);
  const int try_number = ++request->tries;
  request->awaiting_answer = true;
  if (try_number > 1) ++client_retries_;
  const OfferedRequest offered{lb::ClassId{request->request_class}, request->work, try_deadline,
                               try_number > 1};
  scheduler_.At(try_deadline, [this, request, try_number] {
    OnTryEnded(request, try_number, {AnswerKind::kFailed, {}});
  });
  offer_(request->sidecar, offered,
         [this, request, try_number](const Answer& answer) { OnTryEnded(request, try_number, answer); });
}

// Only the first answer or timeout of the latest try counts.
void ClientModel::OnTryEnded(const RequestPtr& request, int try_number, const Answer& answer) {
  if (request->tries != try_number || !std::exchange(request->awaiting_answer, false)) return;
  const ClassSpec& spec = experiment_.classes[request->request_class];
  const bool in_time = scheduler_.Now() - request->arrived <= spec.latency_objective;
  switch (answer.kind) {
    case AnswerKind::kServed:
      return End(*request, in_time ? RequestOutcome::kInTime : RequestOutcome::kLate);
    case AnswerKind::kRefused:
      return RetryOrEnd(request, RequestOutcome::kRefused, answer.retry_after);
    case AnswerKind::kFailed:
    case AnswerKind::kLost:
      // The request may have taken effect, so a class that is not idempotent must not be retried.
      if (spec.idempotency == lb::Idempotency::kNotIdempotent) return End(*request, RequestOutcome::kFailed);
      return RetryOrEnd(request, RequestOutcome::kFailed, {});
  }
}

void ClientModel::RetryOrEnd(const RequestPtr& request, RequestOutcome outcome, Duration retry_after) {
  const ClientSpec& clients = experiment_.clients;
  Duration wait = Scaled(clients.backoff, std::pow(2.0, request->tries - 1));
  if (request->honors_retry_after) wait = std::max(wait, retry_after);
  const TimePoint deadline = request->arrived + experiment_.classes[request->request_class].deadline;
  const TimePoint again = scheduler_.Now() + wait;
  if (request->tries > clients.retries || again >= deadline) return End(*request, outcome);
  scheduler_.At(again, [this, request] { Try(request); });
}

void ClientModel::End(const Request& request, RequestOutcome outcome) {
  --open_;
  on_result_({request.sidecar, lb::ClassId{request.request_class}, request.arrived, scheduler_.Now(), outcome,
              request.tries});
}

}  // namespace lb::lab
