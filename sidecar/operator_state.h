// The operator state store: which upstreams operators have disabled, and whether they asked for connection
// draining. The state is the sidecar's and not one process's: it is stored in a folder under $TMPDIR that all
// its processes share, and survives a hot restart. What can't be stored at once holds in this process all the
// same, and is tried again until it is stored.
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

// Whether an override holds from now on, or no more.
enum class OverrideAction { kSet, kWithdraw };

class OperatorStateStore {
 public:
  using OnChange = std::function<void(const OperatorState&)>;
  using OnOverride = std::function<void(const StoredOverride&, OverrideAction)>;

  // `folder`: where to store; empty where nothing can be stored. Reads what is stored, and may block for some
  // hundred milliseconds while the folder fails. `on_change` is called with each change of the state,
  // whichever process it comes from, also during construction. `on_override` is called with each override
  // that this process was told by operators, for the other processes.
  OperatorStateStore(boost::asio::io_context& io, const std::string& folder, Logger& log, OnChange on_change,
                     OnOverride on_override);

  const OperatorState& state() const { return state_; }

  // What operators say to this process. Holds at once.
  void Disable(const std::string& upstream);
  void Enable(const std::string& upstream);
  void StartDraining();
  void StopDraining();

  // What operators said to another process, which may not have stored it yet, or not be able to.
  void HandleOverrideFromNeighbour(const StoredOverride& stored, OverrideAction action);
  // Calls `notify` with each override that holds, and each that is withdrawn but not yet removed from the
  // folder.
  void NotifyAll(const OnOverride& notify) const;

  // What is not stored, and why, for operators; empty where all is.
  std::string StorageFault() const;
  // Calls `done` once all is stored, or after `timeout`.
  void Finish(Duration timeout, std::function<void()> done);

 private:
  // An override that the folder does not hold yet, or still holds.
  struct PendingWrite {
    OverrideAction action = OverrideAction::kSet;
    bool from_neighbour = false;  // another process stores it as well
  };
  // Something that is done again and again, with a backoff while it fails.
  struct RepeatedTask {
    explicit RepeatedTask(boost::asio::io_context& io) : timer(io) {}
    void CountResult(bool failed);

    boost::asio::steady_timer timer;
    Duration backoff{};     // zero after a success
    std::error_code error;  // the last one; none once it succeeded
  };

  bool Holds(const StoredOverride& stored) const;
  void SetOverride(const StoredOverride& stored, OverrideAction action);
  void Publish();
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
  boost::asio::steady_timer finish_timer_;
  std::set<StoredOverride> stored_;                 // the contents of the folder, as last read
  std::map<StoredOverride, PendingWrite> pending_;  // goes before what was read
  OperatorState state_;                             // of both
  std::optional<StoredOverride> last_tried_;        // of `pending_`
  std::function<void()> on_finished_;               // of Finish()
};

}  // namespace lb::sidecar
