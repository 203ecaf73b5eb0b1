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

// How often the folder is read. The other process has to act on a command well within the second that
// operators allow.
constexpr Duration kReadInterval = milliseconds(100);
// An override that another process was told is likely to be stored by it within this time, so that the next
// read finds it there.
constexpr Duration kNeighbourWriteTime = milliseconds(250);
constexpr Duration kMaxBackoff = milliseconds(1000);
// At the start a folder that fails for a moment is waited for: there is nothing to serve yet.
constexpr std::array kStartupRetries = {milliseconds(20), milliseconds(40), milliseconds(80),
                                        milliseconds(160)};
// How many overrides are stored at a time: each may take two syncs, which block.
constexpr int kMaxWritesAtOnce = 8;

Duration NextBackoff(Duration backoff) {
  return std::clamp<Duration>(2 * backoff, kReadInterval, kMaxBackoff);
}

}  // namespace

void OperatorStateStore::RepeatedTask::CountResult(bool failed) {
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
      finish_timer_(io) {
  if (!folder_.exists()) return;
  std::error_code error = ReadFolder();
  for (const auto pause : kStartupRetries) {
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

bool OperatorStateStore::Holds(const StoredOverride& stored) const {
  const auto pending = pending_.find(stored);
  if (pending != pending_.end()) return pending->second.action == OverrideAction::kSet;
  return stored_.contains(stored);
}

// The override holds at once, whatever becomes of the folder.
void OperatorStateStore::SetOverride(const StoredOverride& stored, OverrideAction action) {
  const bool set = action == OverrideAction::kSet;
  // What another process changed since the last read is not in `stored_` yet.
  if (Holds(stored) == set && folder_.exists()) ReadFolder();
  if (Holds(stored) == set && !read_.error) return;
  pending_[stored] = {action, false};
  Publish();
  on_override_(stored, action);
  if (TryWrite(stored, action)) return;
  write_.backoff = NextBackoff(write_.backoff);
  ScheduleWrite(write_.backoff);
}

void OperatorStateStore::HandleOverrideFromNeighbour(const StoredOverride& stored, OverrideAction action) {
  pending_.erase(stored);
  if (read_.error || stored_.contains(stored) != (action == OverrideAction::kSet)) {
    pending_[stored] = {action, true};
    ScheduleWrite(kNeighbourWriteTime);
  }
  Publish();
}

void OperatorStateStore::NotifyAll(const OnOverride& notify) const {
  for (const auto& stored : stored_) {
    if (!pending_.contains(stored)) notify(stored, OverrideAction::kSet);
  }
  for (const auto& [stored, write] : pending_) notify(stored, write.action);
}

void OperatorStateStore::Publish() {
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

// ---- Writing ----

bool OperatorStateStore::TryWrite(const StoredOverride& stored, OverrideAction action) {
  if (!folder_.exists()) return false;
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

// Overrides are tried in turn, from where the last round ended: one that can't be stored must not hold up the
// others.
void OperatorStateStore::WritePending() {
  bool failed = false;
  for (int i = 0; i < kMaxWritesAtOnce && !pending_.empty() && !failed; ++i) {
    auto next = last_tried_ ? pending_.upper_bound(*last_tried_) : pending_.begin();
    if (next == pending_.end()) next = pending_.begin();
    // Copies: TryWrite() removes the entry.
    const StoredOverride stored = next->first;
    const OverrideAction action = next->second.action;
    last_tried_ = stored;
    failed = !TryWrite(stored, action);
  }
  write_.CountResult(failed);
  if (!pending_.empty()) return ScheduleWrite(std::max(write_.backoff, kReadInterval));
  const auto on_finished = std::move(on_finished_);
  on_finished_ = nullptr;
  if (on_finished) on_finished();
}

void OperatorStateStore::ScheduleWrite(Duration wait) {
  if (!folder_.exists()) return;
  write_.timer.expires_after(wait);
  write_.timer.async_wait([this](boost::system::error_code error) {
    if (!error) WritePending();
  });
}

// What another process stores as well is not reported before it was tried here.
std::string OperatorStateStore::StorageFault() const {
  const auto changes =
      std::ranges::count_if(pending_, [](const auto& pending) { return !pending.second.from_neighbour; });
  if (!folder_.exists()) return changes == 0 ? "" : "not stored: there is no folder for it";
  if (changes > 0) {
    return "not stored yet: " + std::to_string(changes) + (changes == 1 ? " change" : " changes") +
           (write_.error ? " (" + write_.error.message() + ")" : "");
  }
  return read_.error ? "what is stored can't be read (" + read_.error.message() + ")" : "";
}

void OperatorStateStore::Finish(Duration timeout, std::function<void()> done) {
  if (!folder_.exists() || pending_.empty()) return done();
  on_finished_ = std::move(done);
  finish_timer_.expires_after(timeout);
  finish_timer_.async_wait([this](boost::system::error_code error) {
    if (error || !on_finished_) return;
    log_.Write(LogEvent(log_events::kStateLost).With("fault", StorageFault()));
    const auto on_finished = std::move(on_finished_);
    on_finished_ = nullptr;
    on_finished();
  });
  WritePending();
}

// ---- Reading ----

// What was last read stands until the folder is read whole again.
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
    Publish();
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

// No operator removed what was in the folder: it is stored again. At the start there was nothing in it.
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
    read_.CountResult(static_cast<bool>(ReadFolder()));
    ScheduleRead(std::max(read_.backoff, kReadInterval));
  });
}

}  // namespace lb::sidecar
