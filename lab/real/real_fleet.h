// The real part of a run on the real clock: sidecar processes, the HTTP upstreams that they call, and the
// applications that call them.
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

// A folder of its own for files of one run, removed with it.
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

// What happened since the last look.
struct RealWindow {
  LoadWindow load;
  StalledClientCounters stalled;
  TrafficCounters traffic;  // seen at the upstreams; no results
  double cpu_s = 0;         // of the sidecar processes together
  double memory_mb = 0;     // of each in the mean, now
  // The most that each has had so far, in the mean: resident memory, and descriptors seen at a look.
  double peak_memory_mb = 0;
  double peak_descriptors = 0;
  std::uint64_t crowded_upstreams = 0;
  std::uint64_t held = 0;
};

// For the thread that made it, which has to outlive it, but for what says otherwise.
class RealFleet {
 public:
  // The upstreams listen from then on, on a thread of their own. References have to outlive it.
  RealFleet(const Experiment& experiment, const Deployment& deployment, std::string program,
            HttpUpstreamOptions options = {});
  ~RealFleet();

  // `127.0.0.1:port`; the same for the whole run.
  std::string UpstreamAddress(std::size_t upstream) const { return upstreams_->address(upstream); }

  // Starts the processes, each with what `registry` lists, and waits until they are ready. Throws
  // std::runtime_error where one is not.
  void StartSidecars(const DiscoveryServer& discovery, const MembershipRegistry& registry);
  void StartLoad();
  void StopLoad();
  std::size_t OpenRequests();
  // Kills a process, and restarts it; nothing happens for a hollow sidecar. `known`: the list it is given.
  void KillSidecar(std::size_t sidecar);
  void StartSidecar(std::size_t sidecar, nlohmann::json known);
  // As above, nothing happens for a hollow one.
  void SignalSidecar(std::size_t sidecar, int number);
  bool SidecarRuns(std::size_t sidecar);
  bool AwaitReady(std::size_t sidecar, Duration patience);  // blocks
  // Replaces its configuration file: discovery is at another address, or the file is malformed. Throws
  // std::runtime_error where it can't be written.
  void MoveDiscovery(std::size_t sidecar, const lb::Endpoint& discovery);
  void SpoilConfiguration(std::size_t sidecar);
  // The wall clock of its machine goes on from a time that is so much later.
  void StepClock(std::size_t sidecar, Duration by);
  // Whether its application opens connections.
  void SetConnecting(std::size_t sidecar, bool connecting);
  // A client of each sidecar stops there.
  void StallClients(StallPoint point);
  std::size_t StalledClientsOpen();
  std::vector<std::size_t> SidecarIndices() const;
  RealWindow Take();
  std::size_t sidecars() const { return members_.size(); }

  // From any thread: carried out later, in order.
  void SetLoadFactor(double factor);
  void AtUpstreams(std::function<void(HttpUpstreams&)> task);

 private:
  struct Member {
    std::size_t sidecar = 0;
    SidecarProcess process;
    double cpu_at_look_s = 0;
    std::uint64_t starts = 0;
    double peak_memory_mb = 0;
    std::size_t peak_descriptors = 0;
  };

  Member* Find(std::size_t sidecar);
  void TakeProcesses(RealWindow& window);
  void TakeUpstreams(RealWindow& window);

  const Experiment& experiment_;
  const Deployment& deployment_;
  const std::string program_;
  TemporaryFolder folder_;
  WorkerThread upstream_thread_{"the thread of the HTTP upstreams"};
  RealScheduler upstream_scheduler_{upstream_thread_.io()};
  std::unique_ptr<HttpUpstreams> upstreams_;
  HttpUpstreamCounters upstreams_at_look_;
  WorkerThread load_thread_{"the thread of the HTTP load"};
  RealScheduler load_scheduler_{load_thread_.io()};
  std::unique_ptr<HttpLoad> load_;  // null before the sidecars are ready
  StalledClients stalled_clients_{load_thread_.io(), load_scheduler_};
  std::vector<Member> members_;
};

}  // namespace lb::lab
