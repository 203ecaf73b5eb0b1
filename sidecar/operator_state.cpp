#include "sidecar/operator_state.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <thread>
#include <utility>

#include "sidecar/log_events.h"

namespace lb::sidecar {
namespace {

using std::chrono::milliseconds;

// Time between reads of the folder. A command given to one process has to take effect in the other well
// within one second, which is what operators allow.
constexpr Duration kReadInterval = milliseconds(100);
// Delay before this process stores an override that it received from another process. Usually the other
// process has stored it by then, and a read has found it in the folder.
constexpr Duration kNeighbourWriteDelay = milliseconds(250);
constexpr Duration kMaxBackoff = milliseconds(1000);
// Pauses between attempts to read the folder at start-up. Blocking for so long is acceptable: the process
// does not serve requests yet.
constexpr std::array kStartupRetryPauses = {milliseconds(20), milliseconds(40), milliseconds(80),
                                            milliseconds(160)};
// Limits the overrides that are written in one go, because each write may block for two syncs.
constexpr int kMaxWritesPerRound = 8;

Duration NextBackoff(Duration backoff) {
  return std::clamp<Duration>(2 * backoff, kReadInterval, kMaxBackoff);
}

}  // namespace

void OperatorStateStore::RepeatedTask::UpdateBackoff(bool failed) {
  backoff = failed ? NextBackoff(backoff) : Duration::zero();
}

OperatorStateStore::OperatorStateStore(boost::asio::io_context& io, const std::string& folder, Logger& log,
                                       OnChange on_change, OnOverride on_override)
    : folder_(folder, log),
      log_(log),
      on_change_(std::move(on_change)),
      on_override_(std::move(on_override)),
      read_(io),
      write_(io),
      flush_timer_(io) {
  if (!folder_.configured()) return;
  std::error_code error = ReadFolder();
  for (const auto pause : kStartupRetryPauses) {
    if (!error || error == std::errc::not_a_directory || error == std::errc::permission_denied) break;
    std::this_thread::sleep_for(pause);
    error = ReadFolder();
  }
  ScheduleRead(kReadInterval);
}

void OperatorStateStore::Disable(const std::string& upstream) {
  SetOverride(StoredOverride::UpstreamDisabled(upstream), OverrideAction::kSet);
}

void OperatorStateStore::Enable(const std::string& upstream) {
  SetOverride(StoredOverride::UpstreamDisabled(upstream), OverrideAction::kWithdraw);
}

void OperatorStateStore::StartDraining() { SetOverride(StoredOverride::Draining(), OverrideAction::kSet); }

void OperatorStateStore::StopDraining() {
  SetOverride(StoredOverride::Draining(), OverrideAction::kWithdraw);
}

bool OperatorStateStore::IsInEffect(const StoredOverride& stored) const {
  const auto pending = pending_.find(stored);
  if (pending != pending_.end()) return pending->second.action == OverrideAction::kSet;
  return stored_.contains(stored);
}

// Applies the override at once, then tries to store it.
void OperatorStateStore::SetOverride(const StoredOverride& stored, OverrideAction action) {
  const bool set = action == OverrideAction::kSet;
  // `stored_` may be out of date: another process may have changed the folder since the last read. So the
  // folder is read again before the command is ignored as a repetition.
  if (IsInEffect(stored) == set && folder_.configured()) ReadFolder();
  if (IsInEffect(stored) == set && !read_.error) return;
  pending_[stored] = {action, false};
  UpdateState();
  on_override_(stored, action);
  if (TryWrite(stored, action)) return;
  write_.backoff = NextBackoff(write_.backoff);
  ScheduleWrite(write_.backoff);
}

void OperatorStateStore::HandleOverrideFromNeighbour(const StoredOverride& stored, OverrideAction action) {
  pending_.erase(stored);
  if (read_.error || stored_.contains(stored) != (action == OverrideAction::kSet)) {
    pending_[stored] = {action, true};
    ScheduleWrite(kNeighbourWriteDelay);
  }
  UpdateState();
}

void OperatorStateStore::NotifyAll(const OnOverride& notify) const {
  for (const auto& stored : stored_) {
    if (!pending_.contains(stored)) notify(stored, OverrideAction::kSet);
  }
  for (const auto& [stored, write] : pending_) notify(stored, write.action);
}

void OperatorStateStore::UpdateState() {
  OperatorState state;
  const auto add = [&state](const StoredOverride& stored) {
    if (stored.kind() == StoredOverride::Kind::kDraining) {
      state.draining = true;
    } else {
      state.disabled.insert(stored.upstream());
    }
  };
  for (const auto& stored : stored_) {
    if (!pending_.contains(stored)) add(stored);
  }
  for (const auto& [stored, write] : pending_) {
    if (write.action == OverrideAction::kSet) add(stored);
  }
  if (state == state_) return;
  state_ = std::move(state);
  on_change_(state_);
}

// ---- Writing to the folder ----

bool OperatorStateStore::TryWrite(const StoredOverride& stored, OverrideAction action) {
  if (!folder_.configured()) return false;
  const bool set = action == OverrideAction::kSet;
  const auto error = set ? folder_.Store(stored) : folder_.Remove(stored);
  if (error) {
    pending_[stored] = {action, false};
    if (write_.error != error) {
      log_.Write(LogEvent(log_events::kStateWriteFailed)
                     .With("folder", folder_.path())
                     .With("error", error.message()));
    }
    write_.error = error;
    return false;
  }
  pending_.erase(stored);
  if (set) {
    stored_.insert(stored);
  } else {
    stored_.erase(stored);
  }
  if (pending_.empty() && write_.error) {
    write_.error.clear();
    log_.Write(LogEvent(log_events::kStateWriteRecovered));
  }
  return true;
}

// Writes pending overrides in turn, starting after the one last tried, so that an override that cannot be
// stored does not block the others.
void OperatorStateStore::WritePending() {
  bool failed = false;
  for (int i = 0; i < kMaxWritesPerRound && !pending_.empty() && !failed; ++i) {
    auto next = last_tried_ ? pending_.upper_bound(*last_tried_) : pending_.begin();
    if (next == pending_.end()) next = pending_.begin();
    // Copies: TryWrite() removes the entry.
    const StoredOverride stored = next->first;
    const OverrideAction action = next->second.action;
    last_tried_ = stored;
    failed = !TryWrite(stored, action);
  }
  write_.UpdateBackoff(failed);
  if (!pending_.empty()) return ScheduleWrite(std::max(write_.backoff, kReadInterval));
  const auto on_flushed = std::move(on_flushed_);
  on_flushed_ = nullptr;
  if (on_flushed) on_flushed();
}

void OperatorStateStore::ScheduleWrite(Duration wait) {
  if (!folder_.configured()) return;
  write_.timer.expires_after(wait);
  write_.timer.async_wait([this](boost::system::error_code error) {
    if (!error) WritePending();
  });
}

// Does not count overrides received from another process until this process has tried to store them: the
// other process reports its own failures.
std::string OperatorStateStore::StorageFault() const {
  const auto changes =
      std::ranges::count_if(pending_, [](const auto& pending) { return !pending.second.from_neighbour; });
  if (!folder_.configured()) return changes == 0 ? "" : "not stored: there is no folder for it";
  if (changes > 0) {
    return "not stored yet: " + std::to_string(changes) + (changes == 1 ? " change" : " changes") +
           (write_.error ? " (" + write_.error.message() + ")" : "");
  }
  return read_.error ? "what is stored can't be read (" + read_.error.message() + ")" : "";
}

void OperatorStateStore::Flush(Duration timeout, std::function<void()> done) {
  if (!folder_.configured() || pending_.empty()) return done();
  on_flushed_ = std::move(done);
  flush_timer_.expires_after(timeout);
  flush_timer_.async_wait([this](boost::system::error_code error) {
    if (error || !on_flushed_) return;
    log_.Write(LogEvent(log_events::kStateLost).With("fault", StorageFault()));
    const auto on_flushed = std::move(on_flushed_);
    on_flushed_ = nullptr;
    on_flushed();
  });
  WritePending();
}

// ---- Reading the folder ----

// Keeps the last contents if the folder cannot be read completely.
std::error_code OperatorStateStore::ReadFolder() {
  std::set<StoredOverride> overrides;
  auto error = folder_.ReadAll(overrides);
  if (error == std::errc::no_such_file_or_directory) {
    RestoreVanishedFolder();
    error.clear();
  } else if (!error) {
    stored_ = std::move(overrides);
    std::erase_if(pending_, [this](const auto& pending) {
      const bool set = pending.second.action == OverrideAction::kSet;
      return pending.second.from_neighbour && set == stored_.contains(pending.first);
    });
    UpdateState();
  }
  if (read_.error != error) LogReadResult(error);
  read_.error = error;
  return error;
}

void OperatorStateStore::LogReadResult(std::error_code error) {
  LogEvent event(error ? log_events::kStateReadFailed : log_events::kStateReadRecovered);
  event.With("folder", folder_.path());
  if (error) event.With("error", error.message());
  log_.Write(event);
}

// Stores the overrides again after the folder was deleted: withdrawing an override removes only its file, so
// that the deletion was not an operator's command. If nothing was stored, a missing folder is the normal
// state.
void OperatorStateStore::RestoreVanishedFolder() {
  if (stored_.empty()) return;
  log_.Write(LogEvent(log_events::kStateFolderVanished).With("folder", folder_.path()));
  for (const auto& stored : stored_) pending_.emplace(stored, PendingWrite{OverrideAction::kSet, false});
  stored_.clear();
  ScheduleWrite(kReadInterval);
}

void OperatorStateStore::ScheduleRead(Duration wait) {
  read_.timer.expires_after(wait);
  read_.timer.async_wait([this](boost::system::error_code error) {
    if (error) return;
    read_.UpdateBackoff(static_cast<bool>(ReadFolder()));
    ScheduleRead(std::max(read_.backoff, kReadInterval));
  });
}

}  // namespace lb::sidecar
