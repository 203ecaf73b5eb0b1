// The applications beside the sidecars: when they call, what their calls cost, and how they try again.
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

// How a request ended for its client, over all of its tries.
enum class RequestOutcome {
  kInTime,   // answered within the aim
  kLate,     // answered after it
  kRefused,  // ended with a rejection
  kFailed,   // ended with a failure, or without a response
};

struct RequestResult {
  std::size_t sidecar = 0;  // index into Deployment::sidecars
  lb::ClassId request_class{};
  TimePoint arrived;  // its first try
  TimePoint ended;
  RequestOutcome outcome = RequestOutcome::kInTime;
  int tries = 1;
};

// Counts the request by its outcome. What its tries cost is not in it.
void CountResult(const RequestResult& result, TrafficCounters& counters);

// Open loop: requests come by a Poisson process at each sidecar's own rate, whatever becomes of the earlier
// ones. A sidecar's requests depend on the experiment's seed and its own number alone.
class ClientModel {
 public:
  // Hands one try to that sidecar. The answer is to come by the try's deadline; a later one is ignored.
  using OfferFunction = std::function<void(std::size_t sidecar, const OfferedRequest& request,
                                           HollowSidecar::OnAnswer on_answer)>;
  using OnResult = std::function<void(const RequestResult&)>;

  // References have to outlive the model. `on_result` is called once for each request, `client_retries`
  // counts.
  ClientModel(const Experiment& experiment, const Deployment& deployment, Scheduler& scheduler,
              OfferFunction offer, OnResult on_result, std::uint64_t& client_retries);

  void Start();
  void Stop();                                // no new requests; those under way go on
  void SetLoadFactor(double factor);          // from now on, times the usual load; 0 or more
  std::size_t open() const { return open_; }  // requests without a result

 private:
  struct Source {
    std::mt19937_64 random;
    std::uint64_t generation = 0;  // what was scheduled under an earlier one is void
  };
  struct Request {
    std::size_t sidecar = 0;
    std::size_t request_class = 0;
    Duration work{};
    TimePoint arrived;
    bool heeds_retry_after = true;
    int tries = 0;
    bool waits = false;  // for the answer to its latest try
  };
  using RequestPtr = std::shared_ptr<Request>;

  void ScheduleNext(std::size_t sidecar);
  void Arrive(std::size_t sidecar);
  std::size_t DrawClass(std::mt19937_64& random);
  Duration DrawWork(const ClassSpec& spec, std::mt19937_64& random);
  void Try(const RequestPtr& request);
  void Heard(const RequestPtr& request, int tried, const Answer& answer);
  // Tries once more after the backoff, where the client has a try and the time left; else it has ended.
  void TryAgain(const RequestPtr& request, RequestOutcome heard, Duration retry_after);
  void End(const Request& request, RequestOutcome outcome);

  const Experiment& experiment_;
  const Deployment& deployment_;
  Scheduler& scheduler_;
  const OfferFunction offer_;
  const OnResult on_result_;
  std::uint64_t& client_retries_;
  std::vector<Source> sources_;
  std::vector<double> shares_;  // of the classes
  double factor_ = 1;
  bool running_ = false;
  std::size_t open_ = 0;
};

}  // namespace lb::lab
