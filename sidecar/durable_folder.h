// A folder of small files that are there whole and synced, or not at all: what a kill leaves half written is
// never taken for a file.
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
  // `path`: made with the first file. Several processes may use it at once.
  explicit DurableFolder(std::string path) : path_(std::move(path)) {}

  const std::string& path() const { return path_; }

  // Each call blocks for a few system calls and two syncs at most. An error: the file may be there or not,
  // and the same call can be made again.
  std::error_code Write(const std::string& name, const std::string& contents);
  std::error_code Remove(const std::string& name);  // fine where there is none

  // The names of all files, but for those that are half written. Nothing of them where there is an error.
  std::error_code List(std::vector<std::string>& names);
  // Error `file_too_large` beyond `most` bytes.
  std::error_code Read(const std::string& name, std::size_t most, std::string& contents) const;

 private:
  using Steady = std::chrono::steady_clock;

  std::string Path(const std::string& name) const { return path_ + "/" + name; }
  std::string TemporaryName();
  std::error_code Make();
  std::error_code Sync() const;
  void RemoveLeftOvers(const std::vector<std::string>& temporaries);

  const std::string path_;
  std::uint64_t written_ = 0;
  std::map<std::string, Steady::time_point>
      temporaries_;  // half-written files, with when each was first seen
};

}  // namespace lb::sidecar
