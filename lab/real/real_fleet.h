// The real sidecars of a run on the real clock: their processes, the HTTP upstreams that they call, and the
// emulated applications that send them requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lab/measure/metrics.h"
#include "lab/model/membership.h"
#include "lab/model/scheduler.h"
#include "lab/real/discovery_server.h"
#include "lab/real/http_load.h"
#include "lab/real/http_upstream.h"
#include "lab/real/sidecar_config.h"
#include "lab/real/stalled_clients.h"
#include "lab/real/worker_thread.h"
#include "lab/spec/deployment.h"
#include "lab/spec/experiment.h"

namespace lb::lab {

// A temporary directory for the files of one run, removed with the object.
class TemporaryFolder {
 public:
  TemporaryFolder();  // throws std::system_error
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Measurements since the last call of RealFleet::Take().
struct RealWindow {
  LoadWindow load;
  StalledClientCounters stalled;
  TrafficCounters traffic;  // counted at the upstreams; the fields for request results stay zero
  double cpu_s = 0;         // of all sidecar processes together
  double memory_mb = 0;     // current mean per running sidecar process
  // Means over the sidecars of each one's peak since the start: resident memory, and open descriptors as
  // sampled by Take().
  double peak_memory_mb = 0;
  double peak_descriptors = 0;
  std::uint64_t overloaded_upstreams = 0;  // at the sampling time
  std::uint64_t outstanding_requests = 0;  // requests at the upstreams at the sampling time
};

// Call it only on the thread that created it, which has to outlive it, unless a method says otherwise.
class RealFleet {
 public:
  // Starts the upstreams on a thread of their own. The referenced objects have to outlive this object.
  RealFleet(const Experiment& experiment, const Deployment& deployment, std::string program,
            HttpUpstreamOptions options = {});
  ~RealFleet();

  // `127.0.0.1:port`; constant for the whole run.
  std::string UpstreamAddress(std::size_t upstream) const { return upstreams_->address(upstream); }

  // Starts the processes, each with the endpoint list of its service in `registry`, and waits until all are
  // ready. Throws std::runtime_error if one does not become ready.
  void StartSidecars(const DiscoveryServer& discovery, const MembershipRegistry& registry);
  void StartLoad();
  void StopLoad();
  std::size_t OpenRequests();
  // Kills or starts the process of a real sidecar; no effect for a hollow one. `endpoint_list` is what
  // the process starts with.
  void KillSidecar(std::size_t sidecar);
  void StartSidecar(std::size_t sidecar, nlohmann::json endpoint_list);
  // Sends a signal to the process of a real sidecar; no effect for a hollow one.
  void SignalSidecar(std::size_t sidecar, int number);
  bool SidecarRuns(std::size_t sidecar);
  bool AwaitReady(std::size_t sidecar, Duration timeout);  // blocks; false if it is not ready in time
  // Replace the sidecar's configuration file by one with another discovery address, or by a malformed one.
  // Throw std::runtime_error if the file cannot be written.
  void ChangeDiscoveryAddress(std::size_t sidecar, const lb::Endpoint& discovery);
  void WriteMalformedConfiguration(std::size_t sidecar);
  // Steps the wall clock of the sidecar's machine forward by `step`.
  void StepClock(std::size_t sidecar, Duration step);
  // Sets whether the sidecar's application opens new connections.
  void SetConnecting(std::size_t sidecar, bool connecting);
  // For each sidecar, starts a client that stops writing its request at `point`.
  void StallClients(StallPoint point);
  std::size_t StalledClientsOpen();
  std::vector<std::size_t> SidecarIndices() const;
  RealWindow Take();
  std::size_t sidecars() const { return members_.size(); }

  // Callable from any thread: the calls run asynchronously, in order.
  void SetLoadFactor(double factor);
  void PostToUpstreams(std::function<void(HttpUpstreams&)> task);

 private:
  struct Member {
    std::size_t sidecar = 0;
    SidecarProcess process;
    double cpu_at_last_sample_s = 0;
    std::uint64_t starts = 0;
    double peak_memory_mb = 0;
    std::size_t peak_descriptors = 0;
  };

  Member* Find(std::size_t sidecar);
  void SampleProcesses(RealWindow& window);
  void SampleUpstreams(RealWindow& window);

  const Experiment& experiment_;
  const Deployment& deployment_;
  const std::string program_;
  TemporaryFolder folder_;
  WorkerThread upstream_thread_{"the thread of the HTTP upstreams"};
  RealScheduler upstream_scheduler_{upstream_thread_.io()};
  std::unique_ptr<HttpUpstreams> upstreams_;
  HttpUpstreamCounters upstream_counters_at_last_sample_;
  WorkerThread load_thread_{"the thread of the HTTP load"};
  RealScheduler load_scheduler_{load_thread_.io()};
  std::unique_ptr<HttpLoad> load_;  // null before the sidecars are ready
  StalledClients stalled_clients_{load_thread_.io(), load_scheduler_};
  std::vector<Member> members_;
};

}  // namespace lb::lab
