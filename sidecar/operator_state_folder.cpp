#include "sidecar/operator_state_folder.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "sidecar/log_events.h"

namespace lb::sidecar {
namespace {

// Bounds the log lines about files that are not ours.
constexpr std::size_t kMaxForeign = 16;

}  // namespace

std::error_code OperatorStateFolder::Store(const StoredOverride& stored) {
  return folder_.Write(FileNameOf(stored), FileContentsOf(stored));
}

std::error_code OperatorStateFolder::Remove(const StoredOverride& stored) {
  return folder_.Remove(FileNameOf(stored));
}

std::error_code OperatorStateFolder::ReadAll(std::set<StoredOverride>& overrides) {
  std::vector<std::string> names;
  if (const auto error = folder_.List(names)) return error;
  for (const auto& name : names) {
    if (name == kHotRestartSocketName) continue;
    if (const auto stored = ParseStoredForm(name)) {
      overrides.insert(*stored);
    } else if (IsLongFileName(name)) {
      if (const auto error = ReadLongFile(name, overrides)) return error;
    } else {
      LogForeign(name);
    }
  }
  return {};
}

// The name is a hash of the contents, so that each file is read once.
std::error_code OperatorStateFolder::ReadLongFile(const std::string& name,
                                                  std::set<StoredOverride>& overrides) {
  const auto known = long_files_.find(name);
  if (known != long_files_.end()) {
    overrides.insert(known->second);
    return {};
  }
  if (foreign_.contains(name)) return {};
  std::string contents;
  const auto error = folder_.Read(name, kMaxStoredFormSize, contents);
  if (error == std::errc::no_such_file_or_directory) return {};  // removed just now
  if (error && error != std::errc::file_too_large) return error;
  const auto stored = error ? std::nullopt : ParseStoredForm(contents);
  if (!stored || FileNameOf(*stored) != name) {
    LogForeign(name);
    return {};
  }
  overrides.insert(*stored);
  long_files_.emplace(name, *stored);
  return {};
}

void OperatorStateFolder::LogForeign(const std::string& name) {
  if (foreign_.size() < kMaxForeign && foreign_.insert(name).second) {
    log_.Write(LogEvent(log_events::kStateForeignFile).With("file", name));
  }
}

}  // namespace lb::sidecar
