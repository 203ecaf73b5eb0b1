// Model of the client applications beside the sidecars: request arrivals, work per request, and retries.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "lab/measure/metrics.h"
#include "lab/model/scheduler.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"
#include "lab/virtual/hollow_sidecar.h"

namespace lb::lab {

// How a request ended for its client, over all of its tries. A try is one request from the client to its
// sidecar.
enum class RequestOutcome {
  kInTime,   // answered within the class's latency objective
  kLate,     // answered after the latency objective
  kRefused,  // ended with a rejection
  kFailed,   // ended with a failure, or without a response
};

struct RequestResult {
  std::size_t sidecar = 0;  // index into Deployment::sidecars
  lb::ClassId request_class{};
  TimePoint arrived;  // time of the first try
  TimePoint ended;
  RequestOutcome outcome = RequestOutcome::kInTime;
  int tries = 1;
};

// Counts the request and its outcome in `counters`. Retries, attempts and connections are counted elsewhere.
void CountResult(const RequestResult& result, TrafficCounters& counters);

// Open-loop load: requests arrive by a Poisson process at each sidecar's own rate, independently of how
// earlier requests end. A sidecar's sequence of requests depends only on the experiment's seed and the
// sidecar's index.
class ClientModel {
 public:
  // Passes one try to a sidecar. An answer that arrives after the try's deadline is ignored.
  using OfferFunction = std::function<void(std::size_t sidecar, const OfferedRequest& request,
                                           HollowSidecar::OnAnswer on_answer)>;
  using OnResult = std::function<void(const RequestResult&)>;

  // The references have to outlive the model. `on_result` is called once for each request; `client_retries`
  // is incremented for each try after a request's first.
  ClientModel(const Experiment& experiment, const Deployment& deployment, Scheduler& scheduler,
              OfferFunction offer, OnResult on_result, std::uint64_t& client_retries);

  void Start();
  void Stop();                                // starts no new requests; open ones continue
  void SetLoadFactor(double factor);          // multiplies the configured load from now on; 0 or more
  std::size_t open() const { return open_; }  // requests that have not ended

 private:
  struct Source {
    std::mt19937_64 random;
    std::uint64_t generation = 0;  // arrivals scheduled under an earlier generation are ignored
  };
  struct Request {
    std::size_t sidecar = 0;
    std::size_t request_class = 0;
    Duration work{};
    TimePoint arrived;
    bool honors_retry_after = true;
    int tries = 0;
    bool awaiting_answer = false;  // whether the latest try is still unanswered
  };
  using RequestPtr = std::shared_ptr<Request>;

  void ScheduleNext(std::size_t sidecar);
  void Arrive(std::size_t sidecar);
  std::size_t DrawClass(std::mt19937_64& random);
  Duration DrawWork(const ClassSpec& spec, std::mt19937_64& random);
  void Try(const RequestPtr& request);
  void OnTryEnded(const RequestPtr& request, int try_number, const Answer& answer);
  // Schedules another try after the backoff, or ends the request with `outcome` if no retries are left or the
  // deadline would have passed.
  void RetryOrEnd(const RequestPtr& request, RequestOutcome outcome, Duration retry_after);
  void End(const Request& request, RequestOutcome outcome);

  const Experiment& experiment_;
  const Deployment& deployment_;
  Scheduler& scheduler_;
  const OfferFunction offer_;
  const OnResult on_result_;
  std::uint64_t& client_retries_;
  std::vector<Source> sources_;
  std::vector<double> shares_;  // of each class among the requests
  double factor_ = 1;
  bool running_ = false;
  std::size_t open_ = 0;
};

}  // namespace lb::lab
