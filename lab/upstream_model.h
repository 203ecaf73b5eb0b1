// One upstream machine: cores, queue, connection table, cold start, and a slowdown when crowded. It knows no
// sockets: hollow sidecars call it directly, and the HTTP stand-in answers when it says so.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>

#include "deployment.h"
#include "scheduler.h"

namespace aspendyke::lab {

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

class UpstreamModel {
 public:
  enum class CallId : std::uint64_t {};
  using OnServed = std::function<void(ServeResult)>;

  // All references have to outlive the model.
  UpstreamModel(const UpstreamInstance& instance, const UpstreamSpec& spec, Scheduler& scheduler);

  // Opens a connection. The handshake's work is queued ahead of the requests and `done` is told when it is
  // over; for kSilent `done` is never called. An accepted one takes a place of the table until Disconnect().
  void Connect(std::function<void(ConnectResult)> done);
  void Disconnect();

  // Serves a request of that much work (on a core of speed 1) on an open connection. `done` is called once,
  // unless the machine is silent. The id is for Abandon().
  CallId Serve(Duration work, OnServed done);
  // Whoever waited has gone: `done` is not called any more. Work ends only where the spec says so.
  void Abandon(CallId id);
  // A probe: costs its work and tells what the machine holds. Nothing is said where it is silent.
  void Probe(std::function<void(kestrellb::LoadReport)> done);

  // ---- Faults ----
  void Crash();  // the process dies: connections and requests with it
  void Start();  // a new process, cold
  void SetHanging(bool hanging);
  void SetSlowdown(double factor);  // 1: none
  void SetSilent(bool silent);      // the machine can't be reached, and says nothing
  void SetDraining(bool draining);

  // ---- Measurements ----
  bool running() const;
  bool crowded() const;      // slowed down by crowding now
  std::size_t held() const;  // requests in work and waiting
  std::size_t connections() const;
  std::size_t most_connections() const;
  std::uint64_t served() const;  // since the start of the run
  std::uint64_t turned_away() const;
  Duration busy() const;  // processor time spent, over all cores
  const UpstreamInstance& instance() const;

 private:
  struct Call {
    CallId id{};
    double work_left = 0;  // microseconds on a core of speed 1
    OnServed done;         // empty once abandoned
    bool handshake = false;
  };
  // The implementation's own; see upstream_model.cpp.
  const UpstreamInstance& instance_;
  const UpstreamSpec& spec_;
  Scheduler& scheduler_;
};

}  // namespace aspendyke::lab
