// The operator state store: which upstreams operators have disabled, and whether connection draining is on.
// The state belongs to the sidecar, not to one of its processes: it is stored in a folder under $TMPDIR that
// all processes of the sidecar share, and survives restarts. A change that cannot be stored takes effect in
// this process nevertheless, and storing it is retried until it succeeds.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <system_error>

#include "sidecar/clock.h"
#include "sidecar/log.h"
#include "sidecar/operator_state_folder.h"
#include "sidecar/stored_override.h"

namespace lb::sidecar {

struct OperatorState {
  std::set<std::string> disabled;  // ids of upstreams
  bool draining = false;           // connection draining
  bool operator==(const OperatorState&) const = default;
};

// Whether an override is set or withdrawn.
enum class OverrideAction { kSet, kWithdraw };

class OperatorStateStore {
 public:
  using OnChange = std::function<void(const OperatorState&)>;
  using OnOverride = std::function<void(const StoredOverride&, OverrideAction)>;

  // Reads the state stored in `folder`, and from then on regularly. With an empty `folder` the state is only
  // kept in memory. Blocks for up to some hundred milliseconds if the folder cannot be read.
  // `on_change` is called after each change of the state, also for changes made by other processes and during
  // construction. `on_override` is called with each override that operators set or withdraw through this
  // process, to be sent to the other processes.
  OperatorStateStore(boost::asio::io_context& io, const std::string& folder, Logger& log, OnChange on_change,
                     OnOverride on_override);

  const OperatorState& state() const { return state_; }

  // Commands that operators gave to this process. They take effect before the call returns.
  void Disable(const std::string& upstream);
  void Enable(const std::string& upstream);
  void StartDraining();
  void StopDraining();

  // Applies an override that operators set or withdrew through another process. If the folder does
  // not show the change after a while, this process stores it, as the other one may be unable to.
  void HandleOverrideFromNeighbour(const StoredOverride& stored, OverrideAction action);
  // Calls `notify` with each override that is in effect (kSet), and with each that is withdrawn but not yet
  // removed from the folder (kWithdraw).
  void NotifyAll(const OnOverride& notify) const;

  // A message for operators: how many changes are not stored, and the error. Empty if everything is stored
  // and the folder can be read.
  std::string StorageFault() const;
  // Calls `done` once all changes are stored, or after `timeout`, in which case the lost changes are logged.
  // Calls `done` at once if nothing is pending or there is no folder.
  void Flush(Duration timeout, std::function<void()> done);

 private:
  // A change that has not been made in the folder: an override to store or to remove.
  struct PendingWrite {
    OverrideAction action = OverrideAction::kSet;
    bool from_neighbour = false;  // received from another process, which stores it as well
  };
  // A periodic task that is retried with a backoff while it fails.
  struct RepeatedTask {
    explicit RepeatedTask(boost::asio::io_context& io) : timer(io) {}
    void UpdateBackoff(bool failed);

    boost::asio::steady_timer timer;
    Duration backoff{};     // zero after a success
    std::error_code error;  // of the last failure; cleared on success
  };

  bool IsInEffect(const StoredOverride& stored) const;
  void SetOverride(const StoredOverride& stored, OverrideAction action);
  void UpdateState();
  bool TryWrite(const StoredOverride& stored, OverrideAction action);
  void WritePending();
  void ScheduleWrite(Duration wait);
  std::error_code ReadFolder();
  void ScheduleRead(Duration wait);
  void RestoreVanishedFolder();
  void LogReadResult(std::error_code error);

  OperatorStateFolder folder_;
  Logger& log_;
  const OnChange on_change_;
  const OnOverride on_override_;
  RepeatedTask read_;
  RepeatedTask write_;
  boost::asio::steady_timer flush_timer_;
  std::set<StoredOverride> stored_;                 // the contents of the folder as last read
  std::map<StoredOverride, PendingWrite> pending_;  // takes precedence over `stored_`
  OperatorState state_;                             // computed from `stored_` and `pending_`
  std::optional<StoredOverride> last_tried_;        // the entry of `pending_` that was last tried to write
  std::function<void()> on_flushed_;                // the callback of a Flush() in progress
};

}  // namespace lb::sidecar
