// Model of one upstream machine: cores, queue, connection table, slow start, and a slowdown under sustained
// overload. The model uses no sockets: hollow sidecars call it directly, and the HTTP stand-in sends each
// response when the model's callback runs.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "lab/model/scheduler.h"
#include "lab/spec/deployment.h"

namespace lb::lab {

enum class ConnectResult {
  kAccepted,
  kRefused,  // the process is down, or its connection table is full
  kSilent,   // the machine is unreachable or hangs: the connection attempt is never answered
};

enum class ServeResult {
  kServed,
  kRejected,  // rejected without being run: the queue is full or the machine is draining
  kReset,     // the process died while the request was queued or running
  // There is no value for a hanging or unreachable machine: it never answers, and the caller's timeout ends
  // the call.
};

// Calls that occupy a slot share the cores evenly, and no call gets more than one core. When all slots are
// taken, calls wait in order of arrival, handshakes and probes ahead of requests. A new model is a running
// process past its slow start. Callbacks run from the scheduler, never inside a member function.
class UpstreamModel {
 public:
  enum class CallId : std::uint64_t {};
  using OnServed = std::function<void(ServeResult)>;

  // All references have to outlive the model.
  UpstreamModel(const UpstreamInstance& instance, const UpstreamSpec& spec, Scheduler& scheduler);

  // Opens a connection. The handshake's work is queued ahead of the requests, and `done` is called when the
  // handshake is complete. `done` is never called for kSilent. An accepted connection occupies an entry of
  // the connection table until Disconnect().
  void Connect(std::function<void(ConnectResult)> done);
  // Closes one connection of the current process. Connections of earlier processes were closed by their
  // crash.
  void Disconnect();

  // Serves a request on an open connection; `work` is processor time on a core of speed 1. `done` is called
  // once, or never if the machine is silent or rejects the request while it hangs. Abandon() takes the
  // returned id.
  CallId Serve(Duration work, OnServed done);
  // The caller no longer waits for this call: its `done` is not called. The work itself stops only if
  // UpstreamSpec::cancel_stops_work is set.
  void Abandon(CallId id);
  // A load probe: takes UpstreamSpec::probe_work, then passes the machine's load to `done`. `done` is never
  // called if the machine is silent, hangs or is down.
  void Probe(std::function<void(lb::LoadReport)> done);

  // ---- Faults ----
  void Crash();                     // the process dies; its connections and requests are lost
  void Start();                     // starts a new process, which begins its slow start
  void SetHanging(bool hanging);    // while set, requests are accepted but not worked on
  void SetSlowdown(double factor);  // divides the speed of the cores; 1 is full speed
  void SetSilent(bool silent);      // while set, the machine is unreachable and answers nothing
  void SetDraining(bool draining);  // while set, new requests are rejected; accepted ones finish

  // ---- Measurements ----
  bool running() const { return running_; }
  bool silent() const { return silent_; }
  // Number of the current process of this machine, counted from 1. A connection belongs to one process.
  std::uint64_t process() const { return process_; }
  // The latest process whose death reset its connections; 0 if there is none. Connections to a silent machine
  // are not reset.
  std::uint64_t last_reset_process() const { return last_reset_process_; }
  bool overloaded() const { return overloaded_; }  // whether sustained overload slows the machine down now
  std::size_t outstanding_requests() const { return outstanding_requests_; }  // requests running and queued
  std::size_t connections() const { return connections_; }
  std::size_t max_connections() const { return max_connections_; }
  std::uint64_t served() const { return served_; }  // since the start of the run
  std::uint64_t rejected_requests() const { return rejected_requests_; }
  // Work of the served requests, in microseconds on a core of speed 1.
  double served_work() const { return served_work_; }
  Duration busy() const;  // processor time spent, over all cores
  lb::LoadReport Report() const;
  const UpstreamInstance& instance() const { return instance_; }

 private:
  enum class CallKind { kRequest, kHandshake, kProbe };
  struct Call {
    CallKind kind = CallKind::kRequest;
    double work = 0;    // microseconds on a core of speed 1
    double finish = 0;  // value of attained_ at which the call is done; set once it occupies a slot
    bool in_work = false;
    OnServed done;  // empty once abandoned
  };
  struct Finished {
    OnServed done;
    ServeResult result;
  };

  CallId Add(CallKind kind, Duration work, OnServed done);
  void ScheduleCallback(OnServed done, ServeResult result);
  // Advances attained_ and busy_ to the current time at the current rate. Must run before each state change.
  void UpdateAttainedService();
  // Fills free slots, updates the overload state and the core rate, and schedules the timer. Must run after
  // each state change.
  void DispatchAndSchedule();
  void OnTimer(std::uint64_t generation);
  void FinishDue(std::vector<Finished>& finished);
  void FillSlots();
  std::optional<std::uint64_t> NextWaiting();
  void UpdateOverload();
  void ScheduleTimer();
  double SlowStartFactor() const;
  double CoreRate() const;
  double JobRate() const;

  const UpstreamInstance& instance_;
  const UpstreamSpec& spec_;
  Scheduler& scheduler_;
  const double cores_;
  const std::size_t slots_;
  const std::size_t queue_;
  const std::size_t max_connections_;

  std::unordered_map<std::uint64_t, Call> calls_;
  std::set<std::pair<double, std::uint64_t>> in_work_;  // by finish
  std::deque<std::uint64_t> waiting_ahead_;             // handshakes and probes
  std::deque<std::uint64_t> waiting_;                   // requests; ids no longer in calls_ are skipped
  std::size_t waiting_requests_ = 0;
  std::size_t outstanding_requests_ = 0;
  std::uint64_t last_call_ = 0;

  // Work, in microseconds on a core of speed 1, that each running call has received since the last time when
  // none was running. The call with the least `finish` ends first, however the rate changes.
  double attained_ = 0;
  double core_rate_ = 1;  // work done by a core per microsecond
  TimePoint updated_;
  TimePoint timer_due_ = TimePoint::max();
  std::uint64_t timer_generation_ = 0;

  bool running_ = true;
  bool hanging_ = false;
  bool silent_ = false;
  bool draining_ = false;
  double slowdown_ = 1;
  std::uint64_t process_ = 1;
  std::uint64_t last_reset_process_ = 0;
  std::optional<TimePoint> cold_since_;
  bool overloaded_ = false;
  // Since when the load has met the condition for changing overloaded_.
  std::optional<TimePoint> overload_change_since_;
  std::size_t connections_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t rejected_requests_ = 0;
  double served_work_ = 0;
  double busy_ = 0;  // processor time spent over all cores, in microseconds
};

}  // namespace lb::lab
