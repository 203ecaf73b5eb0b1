// A folder of small files that are written atomically and durably: a file is written under a temporary name,
// synced, renamed to its final name, and the folder is synced. If the process is killed meanwhile, the file
// is either complete or not listed.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <system_error>
#include <vector>

namespace lb::sidecar {

class DurableFolder {
 public:
  // The folder is created when the first file is written. Several processes may use it at the same time.
  explicit DurableFolder(std::string path) : path_(std::move(path)) {}

  const std::string& path() const { return path_; }

  // Each call blocks for a few system calls and at most two syncs. After an error the file may or may not
  // have been written or removed; the call can be retried.
  std::error_code Write(const std::string& name, const std::string& contents);
  std::error_code Remove(const std::string& name);  // succeeds if there is no such file

  // Sets `names` to the names of all files except temporary ones; to none on an error. Also deletes temporary
  // files that killed processes have left.
  std::error_code List(std::vector<std::string>& names);
  // Fails with std::errc::file_too_large if the file has more than `max_size` bytes.
  std::error_code Read(const std::string& name, std::size_t max_size, std::string& contents) const;

 private:
  using Steady = std::chrono::steady_clock;

  std::string Path(const std::string& name) const { return path_ + "/" + name; }
  std::string TemporaryName();
  std::error_code CreateFolder();
  std::error_code Sync() const;
  void RemoveStaleTemporaries(const std::vector<std::string>& temporaries);

  const std::string path_;
  std::uint64_t temporary_count_ = 0;
  std::map<std::string, Steady::time_point>
      temporaries_first_seen_;  // by name; the time when each was first listed
};

}  // namespace lb::sidecar
