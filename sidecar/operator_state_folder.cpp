#include "sidecar/operator_state_folder.h"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "sidecar/log_events.h"

namespace lb::sidecar {
namespace {

// Limits the log lines about files that are not overrides.
constexpr std::size_t kMaxLoggedForeignFiles = 16;

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
      LogForeignFile(name);
    }
  }
  return {};
}

// Adds the override in a file with a hashed name. The name depends on the contents, so that a file that was
// read once need not be read again.
std::error_code OperatorStateFolder::ReadLongFile(const std::string& name,
                                                  std::set<StoredOverride>& overrides) {
  const auto known = read_long_files_.find(name);
  if (known != read_long_files_.end()) {
    overrides.insert(known->second);
    return {};
  }
  if (foreign_files_.contains(name)) return {};
  std::string contents;
  const auto error = folder_.Read(name, kMaxStoredFormSize, contents);
  if (error == std::errc::no_such_file_or_directory) return {};  // removed since the folder was listed
  if (error && error != std::errc::file_too_large) return error;
  const auto stored = error ? std::nullopt : ParseStoredForm(contents);
  if (!stored || FileNameOf(*stored) != name) {
    LogForeignFile(name);
    return {};
  }
  overrides.insert(*stored);
  read_long_files_.emplace(name, *stored);
  return {};
}

void OperatorStateFolder::LogForeignFile(const std::string& name) {
  if (foreign_files_.size() < kMaxLoggedForeignFiles && foreign_files_.insert(name).second) {
    log_.Write(LogEvent(log_events::kStateForeignFile).With("file", name));
  }
}

}  // namespace lb::sidecar
