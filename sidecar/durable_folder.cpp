#include "sidecar/durable_folder.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <string_view>
#include <utility>

namespace lb::sidecar {
namespace {

constexpr std::string_view kTemporaryPrefix = "tmp-";
// A temporary file that has been listed for longer was left by a killed process and is deleted. No write
// takes nearly as long unless its process is stopped (SIGSTOP); that write then fails and is retried.
constexpr auto kStaleTemporaryAge = std::chrono::seconds(10);
constexpr mode_t kFileMode = 0666;  // reduced by the umask

std::error_code LastError() { return {errno, std::generic_category()}; }

// Repeats a system call while it is interrupted by signals (EINTR).
template <typename Call>
auto RetryOnInterrupt(Call call) {
  auto result = call();
  while (result < 0 && errno == EINTR) result = call();
  return result;
}

// Owns the file descriptor that open() returned for `path`; not valid() if open() failed, with the error in
// `errno`.
class Descriptor {
 public:
  Descriptor(const std::string& path, int flags)
      : number_(RetryOnInterrupt([&] { return ::open(path.c_str(), flags | O_CLOEXEC, kFileMode); })) {}
  ~Descriptor() { Close(); }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  bool valid() const { return number_ >= 0; }
  int number() const { return number_; }
  // Returns the error of close(), as some file systems report a failed write only then. Must not be repeated
  // on an error: Linux releases the descriptor in any case.
  std::error_code Close() {
    if (!valid()) return {};
    const int number = number_;
    number_ = -1;
    return ::close(number) == 0 || errno == EINTR ? std::error_code() : LastError();
  }

 private:
  int number_;
};

std::error_code WriteAll(int to, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto written = RetryOnInterrupt([&] { return ::write(to, bytes.data(), bytes.size()); });
    if (written < 0) return LastError();
    if (written == 0) return std::make_error_code(std::errc::no_space_on_device);
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

std::error_code Rename(const std::string& from, const std::string& to) {
  if (RetryOnInterrupt([&] { return ::rename(from.c_str(), to.c_str()); }) == 0) return {};
  return LastError();
}

std::error_code Unlink(const std::string& path) {
  return RetryOnInterrupt([&] { return ::unlink(path.c_str()); }) == 0 ? std::error_code() : LastError();
}

std::error_code SyncDescriptor(int descriptor) {
  if (RetryOnInterrupt([&] { return ::fsync(descriptor); }) == 0) return {};
  return errno == EINVAL ? std::error_code() : LastError();  // EINVAL: the file system does not support fsync
}

std::error_code SyncFolder(const std::string& path) {
  const Descriptor folder(path, O_RDONLY | O_DIRECTORY);
  return folder.valid() ? SyncDescriptor(folder.number()) : LastError();
}

// Creates, writes and syncs a file; fails if it exists.
std::error_code WriteNew(const std::string& path, const std::string& contents) {
  Descriptor file(path, O_WRONLY | O_CREAT | O_EXCL);
  if (!file.valid()) return LastError();
  auto error = WriteAll(file.number(), contents);
  if (!error) error = SyncDescriptor(file.number());
  const auto close_error = file.Close();
  return error ? error : close_error;
}

}  // namespace

// The time and the count make the name unique among all processes that use the folder, even if a process id
// is reused.
std::string DurableFolder::TemporaryName() {
  return std::string(kTemporaryPrefix) + std::to_string(::getpid()) + "-" +
         std::to_string(Steady::now().time_since_epoch().count()) + "-" + std::to_string(++temporary_count_);
}

std::error_code DurableFolder::CreateFolder() {
  std::error_code error;
  std::filesystem::create_directories(path_, error);
  if (error) return error;
  error = SyncFolder(std::filesystem::path(path_).parent_path());
  // The parent folder may be writable but not readable, and then cannot be opened for the sync.
  return error == std::errc::permission_denied ? std::error_code() : error;
}

std::error_code DurableFolder::Sync() const { return SyncFolder(path_); }

std::error_code DurableFolder::Write(const std::string& name, const std::string& contents) {
  const std::string temporary = Path(TemporaryName());
  auto error = WriteNew(temporary, contents);
  if (error == std::errc::no_such_file_or_directory) {
    error = CreateFolder();
    if (!error) error = WriteNew(temporary, contents);
  }
  if (!error) error = Rename(temporary, Path(name));
  if (!error) return Sync();
  Unlink(temporary);  // if this fails, RemoveStaleTemporaries() deletes the file later
  return error;
}

// If the file cannot be deleted, it is renamed to a temporary name instead, which List() omits.
std::error_code DurableFolder::Remove(const std::string& name) {
  auto error = Unlink(Path(name));
  if (error == std::errc::no_such_file_or_directory) {
    error = Sync();  // an earlier Remove() may have failed to sync
    return error == std::errc::no_such_file_or_directory ? std::error_code() : error;
  }
  const std::string discarded = TemporaryName();
  if (error && !Rename(Path(name), Path(discarded))) {
    // Backdated, so that the next List() deletes the file as stale.
    temporaries_first_seen_[discarded] = Steady::now() - 2 * kStaleTemporaryAge;
    error.clear();
  }
  return error ? error : Sync();
}

std::error_code DurableFolder::List(std::vector<std::string>& names) {
  names.clear();
  DIR* folder = ::opendir(path_.c_str());
  if (folder == nullptr) return LastError();
  std::vector<std::string> temporaries;
  errno = 0;
  while (const dirent* entry = ::readdir(folder)) {
    const std::string name = entry->d_name;
    if (name.starts_with(kTemporaryPrefix)) {
      temporaries.push_back(name);
    } else if (name != "." && name != "..") {
      names.push_back(name);
    }
    errno = 0;
  }
  const std::error_code error = LastError();
  ::closedir(folder);
  if (error) {
    names.clear();
  } else {
    RemoveStaleTemporaries(temporaries);
  }
  return error;
}

void DurableFolder::RemoveStaleTemporaries(const std::vector<std::string>& temporaries) {
  const auto now = Steady::now();
  std::erase_if(temporaries_first_seen_, [&](const auto& seen) {
    return std::find(temporaries.begin(), temporaries.end(), seen.first) == temporaries.end();
  });
  for (const auto& name : temporaries) {
    const auto seen = temporaries_first_seen_.emplace(name, now).first->second;
    if (now - seen > kStaleTemporaryAge) Unlink(Path(name));
  }
}

std::error_code DurableFolder::Read(const std::string& name, std::size_t max_size,
                                    std::string& contents) const {
  contents.clear();
  const Descriptor file(Path(name), O_RDONLY);
  if (!file.valid()) return LastError();
  char buffer[4096];
  while (true) {
    const auto size = RetryOnInterrupt([&] { return ::read(file.number(), buffer, sizeof buffer); });
    if (size < 0) return LastError();
    if (size == 0) return {};
    contents.append(buffer, static_cast<std::size_t>(size));
    if (contents.size() > max_size) return std::make_error_code(std::errc::file_too_large);
  }
}

}  // namespace lb::sidecar
