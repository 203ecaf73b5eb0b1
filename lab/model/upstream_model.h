// One upstream machine: cores, queue, connection table, cold start, and a slowdown when crowded. It knows no
// sockets: hollow sidecars call it directly, and the HTTP stand-in answers when it says so.
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
  kSilent,   // the machine is gone or hangs: nothing comes back
};

enum class ServeResult {
  kServed,
  kTurnedAway,  // queue full or draining: not run
  kReset,       // the process died under it
  // A hanging or vanished machine says nothing: its calls end when whoever waits gives up.
};

// Work in slots shares the cores evenly, no call getting more than one core; beyond the slots it waits in
// order of its coming, handshakes and probes ahead of requests. A model starts as a warm, running process.
// Callbacks run from the scheduler, never inside a call of the caller's.
class UpstreamModel {
 public:
  enum class CallId : std::uint64_t {};
  using OnServed = std::function<void(ServeResult)>;

  // All references have to outlive the model.
  UpstreamModel(const UpstreamInstance& instance, const UpstreamSpec& spec, Scheduler& scheduler);

  // Opens a connection. The handshake's work is queued ahead of the requests and `done` is called when it is
  // over; for kSilent `done` is never called. An accepted one takes a place of the table until Disconnect().
  void Connect(std::function<void(ConnectResult)> done);
  // Closes one connection of the present process. A crash has closed those of the earlier ones.
  void Disconnect();

  // Serves a request of that much work (on a core of speed 1) on an open connection. `done` is called once,
  // unless the machine is silent. The id is for Abandon().
  CallId Serve(Duration work, OnServed done);
  // Whoever waited has gone: `done` is not called any more. Work ends only where the spec says so.
  void Abandon(CallId id);
  // A probe: costs its work and tells what the machine holds. Nothing is said where it is silent or down.
  void Probe(std::function<void(lb::LoadReport)> done);

  // ---- Faults ----
  void Crash();                     // the process dies: connections and requests with it
  void Start();                     // a new process, cold
  void SetHanging(bool hanging);    // it takes what comes and works on nothing until that is over
  void SetSlowdown(double factor);  // 1: none
  void SetSilent(bool silent);      // the machine can't be reached, and says nothing
  void SetDraining(bool draining);  // it turns requests away, and finishes what it has

  // ---- Measurements ----
  bool running() const { return running_; }
  bool silent() const { return silent_; }
  // Numbers the processes of this machine, from 1 on; a connection belongs to one of them.
  std::uint64_t process() const { return process_; }
  // The latest process whose connections' peers have noticed its death.
  std::uint64_t last_reset_process() const { return last_reset_process_; }
  bool crowded() const { return crowded_; }   // slowed down by crowding now
  std::size_t held() const { return held_; }  // requests in work and waiting
  std::size_t connections() const { return connections_; }
  std::size_t most_connections() const { return most_connections_; }
  std::uint64_t served() const { return served_; }  // since the start of the run
  std::uint64_t turned_away() const { return turned_away_; }
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
    double finish = 0;  // the attained service at which it is done, once it is in work
    bool in_work = false;
    OnServed done;  // empty once abandoned
  };
  struct Finished {
    OnServed done;
    ServeResult result;
  };

  CallId Add(CallKind kind, Duration work, OnServed done);
  void TellLater(OnServed done, ServeResult result);
  // Brings the attained service up to now, at the rate since the last such call. Comes before each change.
  void Advance();
  // Fills the slots, looks at the crowding and arms the next wake-up. Comes after each change.
  void Settle();
  void Wake(std::uint64_t wake);
  void FinishDue(std::vector<Finished>& finished);
  void FillSlots();
  std::optional<std::uint64_t> NextWaiting();
  void UpdateCrowding();
  void Arm();
  double Warmth() const;
  double CoreRate() const;
  double JobRate() const;

  const UpstreamInstance& instance_;
  const UpstreamSpec& spec_;
  Scheduler& scheduler_;
  const double cores_;
  const std::size_t slots_;
  const std::size_t queue_;
  const std::size_t most_connections_;

  std::unordered_map<std::uint64_t, Call> calls_;
  std::set<std::pair<double, std::uint64_t>> in_work_;  // by finish
  std::deque<std::uint64_t> waiting_ahead_;             // handshakes and probes
  std::deque<std::uint64_t> waiting_;                   // requests; those no longer in calls_ are skipped
  std::size_t waiting_requests_ = 0;
  std::size_t held_ = 0;
  std::uint64_t last_call_ = 0;

  // Each call in work has been given so much work since an instant when none was: what ends first has the
  // least finish, whatever the rate does.
  double attained_ = 0;
  double core_rate_ = 1;  // work that a core does in a microsecond
  TimePoint updated_;
  TimePoint armed_for_ = TimePoint::max();
  std::uint64_t wake_ = 0;

  bool running_ = true;
  bool hanging_ = false;
  bool silent_ = false;
  bool draining_ = false;
  double slowdown_ = 1;
  std::uint64_t process_ = 1;
  std::uint64_t last_reset_process_ = 0;
  std::optional<TimePoint> cold_since_;
  bool crowded_ = false;
  std::optional<TimePoint> crowding_since_;  // beyond the bound, or below the other one while crowded
  std::size_t connections_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t turned_away_ = 0;
  double served_work_ = 0;
  double busy_ = 0;  // microseconds
};

}  // namespace lb::lab
