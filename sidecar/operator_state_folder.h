// The folder under $TMPDIR in which the operator overrides that are in effect are stored, one file for each.
#pragma once

#include <map>
#include <set>
#include <string>
#include <system_error>

#include "sidecar/durable_folder.h"
#include "sidecar/log.h"
#include "sidecar/stored_override.h"

namespace lb::sidecar {

class OperatorStateFolder {
 public:
  // An empty `path` means that there is no folder: only configured() and path() may be called then. `log` has
  // to outlive the folder.
  OperatorStateFolder(const std::string& path, Logger& log) : folder_(path), log_(log) {}

  bool configured() const { return !folder_.path().empty(); }
  const std::string& path() const { return folder_.path(); }

  // Block and fail like DurableFolder::Write() and Remove(); can be retried after an error.
  std::error_code Store(const StoredOverride& stored);
  std::error_code Remove(const StoredOverride& stored);

  // Adds all stored overrides to `overrides`; after an error some may be missing. Logs each file that is not
  // an override's, once and up to a limit.
  std::error_code ReadAll(std::set<StoredOverride>& overrides);

 private:
  std::error_code ReadLongFile(const std::string& name, std::set<StoredOverride>& overrides);
  void LogForeignFile(const std::string& name);

  DurableFolder folder_;
  Logger& log_;
  std::map<std::string, StoredOverride> read_long_files_;  // by file name; their contents never change
  std::set<std::string> foreign_files_;                    // names of files that were logged as foreign
};

}  // namespace lb::sidecar
