// The preloaded library's calls on files and folders. A call that no fault is set for goes through.
//
// Calls that the C library makes for itself are not seen: fopen() and remove() have entries of their own here
// for that reason, and std::ofstream is met at fopen() and at its write()s.
#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdarg>
#include <cstdio>

#include "tests/fault_injection/forced_call.h"

using lb::fault_injection::ForcedCall;
using lb::fault_injection::Next;
using lb::sidecar::testing::SystemCall;

namespace {

SystemCall Opening(int flags) {
  return (flags & O_DIRECTORY) != 0 ? SystemCall::kOpenFolder : SystemCall::kOpen;
}

// The third argument of open(), which is there with some flags only.
mode_t Mode(int flags, va_list arguments) {
  return (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(arguments, mode_t) : 0;
}

}  // namespace

extern "C" {

int open(const char* path, int flags, ...) {
  static const auto kNext = Next(&::open, "open");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = Mode(flags, arguments);
  va_end(arguments);
  return ForcedCall(Opening(flags), {-1, path}).Fails() ? -1 : kNext(path, flags, mode);
}

int open64(const char* path, int flags, ...) {
  static const auto kNext = Next(&::open64, "open64");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = Mode(flags, arguments);
  va_end(arguments);
  return ForcedCall(Opening(flags), {-1, path}).Fails() ? -1 : kNext(path, flags, mode);
}

int openat(int folder, const char* path, int flags, ...) {
  static const auto kNext = Next(&::openat, "openat");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = Mode(flags, arguments);
  va_end(arguments);
  return ForcedCall(Opening(flags), {-1, path}).Fails() ? -1 : kNext(folder, path, flags, mode);
}

int openat64(int folder, const char* path, int flags, ...) {
  static const auto kNext = Next(&::openat64, "openat64");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = Mode(flags, arguments);
  va_end(arguments);
  return ForcedCall(Opening(flags), {-1, path}).Fails() ? -1 : kNext(folder, path, flags, mode);
}

int creat(const char* path, mode_t mode) {
  static const auto kNext = Next(&::creat, "creat");
  return ForcedCall(SystemCall::kOpen, {-1, path}).Fails() ? -1 : kNext(path, mode);
}

FILE* fopen(const char* path, const char* mode) {
  static const auto kNext = Next(&::fopen, "fopen");
  return ForcedCall(SystemCall::kOpen, {-1, path}).Fails() ? nullptr : kNext(path, mode);
}

FILE* fopen64(const char* path, const char* mode) {
  static const auto kNext = Next(&::fopen64, "fopen64");
  return ForcedCall(SystemCall::kOpen, {-1, path}).Fails() ? nullptr : kNext(path, mode);
}

// Linux has closed the descriptor also where close() fails.
int close(int descriptor) {
  static const auto kNext = Next(&::close, "close");
  const ForcedCall forced(SystemCall::kClose, {descriptor});
  const int done = kNext(descriptor);
  return forced.Fails() ? -1 : done;
}

int fclose(FILE* file) {
  static const auto kNext = Next(&::fclose, "fclose");
  const ForcedCall forced(SystemCall::kClose, {::fileno(file)});
  const int done = kNext(file);
  return forced.Fails() ? EOF : done;
}

int fsync(int descriptor) {
  static const auto kNext = Next(&::fsync, "fsync");
  return ForcedCall(SystemCall::kSync, {descriptor}).Fails() ? -1 : kNext(descriptor);
}

int fdatasync(int descriptor) {
  static const auto kNext = Next(&::fdatasync, "fdatasync");
  return ForcedCall(SystemCall::kSync, {descriptor}).Fails() ? -1 : kNext(descriptor);
}

int rename(const char* from, const char* to) noexcept {
  static const auto kNext = Next(&::rename, "rename");
  const ForcedCall forced(SystemCall::kRename, {-1, to});
  return forced.Fails() ? -1 : kNext(from, to);
}

int renameat(int from_folder, const char* from, int to_folder, const char* to) noexcept {
  static const auto kNext = Next(&::renameat, "renameat");
  const ForcedCall forced(SystemCall::kRename, {-1, to});
  return forced.Fails() ? -1 : kNext(from_folder, from, to_folder, to);
}

int unlink(const char* path) noexcept {
  static const auto kNext = Next(&::unlink, "unlink");
  const ForcedCall forced(SystemCall::kRemove, {-1, path});
  return forced.Fails() ? -1 : kNext(path);
}

int unlinkat(int folder, const char* path, int flags) noexcept {
  static const auto kNext = Next(&::unlinkat, "unlinkat");
  const ForcedCall forced(SystemCall::kRemove, {-1, path});
  return forced.Fails() ? -1 : kNext(folder, path, flags);
}

int rmdir(const char* path) noexcept {
  static const auto kNext = Next(&::rmdir, "rmdir");
  const ForcedCall forced(SystemCall::kRemove, {-1, path});
  return forced.Fails() ? -1 : kNext(path);
}

int remove(const char* path) noexcept {
  static const auto kNext = Next(&::remove, "remove");
  const ForcedCall forced(SystemCall::kRemove, {-1, path});
  return forced.Fails() ? -1 : kNext(path);
}

int mkdir(const char* path, mode_t mode) noexcept {
  static const auto kNext = Next(&::mkdir, "mkdir");
  const ForcedCall forced(SystemCall::kMakeFolder, {-1, path});
  return forced.Fails() ? -1 : kNext(path, mode);
}

int mkdirat(int folder, const char* path, mode_t mode) noexcept {
  static const auto kNext = Next(&::mkdirat, "mkdirat");
  const ForcedCall forced(SystemCall::kMakeFolder, {-1, path});
  return forced.Fails() ? -1 : kNext(folder, path, mode);
}

DIR* opendir(const char* path) {
  static const auto kNext = Next(&::opendir, "opendir");
  return ForcedCall(SystemCall::kOpenFolder, {-1, path}).Fails() ? nullptr : kNext(path);
}

dirent* readdir(DIR* folder) {
  static const auto kNext = Next(&::readdir, "readdir");
  return ForcedCall(SystemCall::kReadFolder, {::dirfd(folder)}).Fails() ? nullptr : kNext(folder);
}

dirent64* readdir64(DIR* folder) {
  static const auto kNext = Next(&::readdir64, "readdir64");
  return ForcedCall(SystemCall::kReadFolder, {::dirfd(folder)}).Fails() ? nullptr : kNext(folder);
}

}  // extern "C"
