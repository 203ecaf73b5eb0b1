// The folder under $TMPDIR in which the overrides that hold are stored, a file each.
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
  // `path`: empty where nothing can be stored. `log` has to outlive the folder.
  OperatorStateFolder(const std::string& path, Logger& log) : folder_(path), log_(log) {}

  bool exists() const { return !folder_.path().empty(); }
  const std::string& path() const { return folder_.path(); }

  // As DurableFolder's: an error may be tried again.
  std::error_code Store(const StoredOverride& stored);
  std::error_code Remove(const StoredOverride& stored);

  // Adds all that are stored. Where there is an error `overrides` may lack some.
  std::error_code ReadAll(std::set<StoredOverride>& overrides);

 private:
  std::error_code ReadLongFile(const std::string& name, std::set<StoredOverride>& overrides);
  void LogForeign(const std::string& name);

  DurableFolder folder_;
  Logger& log_;
  std::map<std::string, StoredOverride> long_files_;  // by name; the contents of one never change
  std::set<std::string> foreign_;                     // names that were logged
};

}  // namespace lb::sidecar
