// A folder of small files, each of which is complete and synced to disk or not there at all: a file that a
// kill left half written is never listed. Written under a temporary name, synced, renamed, and the folder
// synced.
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
  // `path`: made with the first file. Several processes may use the folder at once.
  explicit DurableFolder(std::string path) : path_(std::move(path)) {}

  const std::string& path() const { return path_; }

  // Each call blocks for a few system calls and two syncs at most. After an error the file may be there or
  // not, and the same call can be made again.
  std::error_code Write(const std::string& name, const std::string& contents);
  std::error_code Remove(const std::string& name);  // no error where there is none

  // The names of all files but temporary ones; none where there is an error.
  std::error_code List(std::vector<std::string>& names);
  // Fails with std::errc::file_too_large for a file of more than `most` bytes.
  std::error_code Read(const std::string& name, std::size_t most, std::string& contents) const;

 private:
  using Steady = std::chrono::steady_clock;

  std::string Path(const std::string& name) const { return path_ + "/" + name; }
  std::string TemporaryName();
  std::error_code CreateFolder();
  std::error_code Sync() const;
  void RemoveStaleTemporaries(const std::vector<std::string>& temporaries);

  const std::string path_;
  std::uint64_t temporary_count_ = 0;
  std::map<std::string, Steady::time_point> temporaries_;  // by name; with when each was first seen
};

}  // namespace lb::sidecar
