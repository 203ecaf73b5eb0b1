// Overrides of file and folder functions in the preloaded library. A call without a matching fault is
// forwarded to the C library.
//
// Calls within the C library itself can't be overridden. So fopen() and remove() have overrides of their own,
// and faults of std::ofstream are injected into its calls of fopen() and write().
#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdarg>
#include <cstdio>

#include "tests/fault_injection/forced_call.h"

using lb::fault_injection::ForcedCall;
using lb::fault_injection::RealFunction;
using lb::sidecar::testing::SystemCall;

namespace {

SystemCall OpenCall(int flags) {
  return (flags & O_DIRECTORY) != 0 ? SystemCall::kOpenFolder : SystemCall::kOpen;
}

// The third argument of open(), which is present only with some flags; otherwise 0.
mode_t Mode(int flags, va_list arguments) {
  return (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(arguments, mode_t) : 0;
}

}  // namespace

extern "C" {

int open(const char* path, int flags, ...) {
  static const auto kReal = RealFunction(&::open, "open");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = Mode(flags, arguments);
  va_end(arguments);
  return ForcedCall(OpenCall(flags), {-1, path}).Fails() ? -1 : kReal(path, flags, mode);
}

int open64(const char* path, int flags, ...) {
  static const auto kReal = RealFunction(&::open64, "open64");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = Mode(flags, arguments);
  va_end(arguments);
  return ForcedCall(OpenCall(flags), {-1, path}).Fails() ? -1 : kReal(path, flags, mode);
}

int openat(int folder, const char* path, int flags, ...) {
  static const auto kReal = RealFunction(&::openat, "openat");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = Mode(flags, arguments);
  va_end(arguments);
  return ForcedCall(OpenCall(flags), {-1, path}).Fails() ? -1 : kReal(folder, path, flags, mode);
}

int openat64(int folder, const char* path, int flags, ...) {
  static const auto kReal = RealFunction(&::openat64, "openat64");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = Mode(flags, arguments);
  va_end(arguments);
  return ForcedCall(OpenCall(flags), {-1, path}).Fails() ? -1 : kReal(folder, path, flags, mode);
}

int creat(const char* path, mode_t mode) {
  static const auto kReal = RealFunction(&::creat, "creat");
  return ForcedCall(SystemCall::kOpen, {-1, path}).Fails() ? -1 : kReal(path, mode);
}

FILE* fopen(const char* path, const char* mode) {
  static const auto kReal = RealFunction(&::fopen, "fopen");
  return ForcedCall(SystemCall::kOpen, {-1, path}).Fails() ? nullptr : kReal(path, mode);
}

FILE* fopen64(const char* path, const char* mode) {
  static const auto kReal = RealFunction(&::fopen64, "fopen64");
  return ForcedCall(SystemCall::kOpen, {-1, path}).Fails() ? nullptr : kReal(path, mode);
}

// Closes the descriptor even if the call is made to fail, as Linux does.
int close(int descriptor) {
  static const auto kReal = RealFunction(&::close, "close");
  const ForcedCall forced(SystemCall::kClose, {descriptor});
  const int result = kReal(descriptor);
  return forced.Fails() ? -1 : result;
}

int fclose(FILE* file) {
  static const auto kReal = RealFunction(&::fclose, "fclose");
  const ForcedCall forced(SystemCall::kClose, {::fileno(file)});
  const int result = kReal(file);
  return forced.Fails() ? EOF : result;
}

int fsync(int descriptor) {
  static const auto kReal = RealFunction(&::fsync, "fsync");
  return ForcedCall(SystemCall::kSync, {descriptor}).Fails() ? -1 : kReal(descriptor);
}

int fdatasync(int descriptor) {
  static const auto kReal = RealFunction(&::fdatasync, "fdatasync");
  return ForcedCall(SystemCall::kSync, {descriptor}).Fails() ? -1 : kReal(descriptor);
}

int rename(const char* from, const char* to) noexcept {
  static const auto kReal = RealFunction(&::rename, "rename");
  const ForcedCall forced(SystemCall::kRename, {-1, to});
  return forced.Fails() ? -1 : kReal(from, to);
}

int renameat(int from_folder, const char* from, int to_folder, const char* to) noexcept {
  static const auto kReal = RealFunction(&::renameat, "renameat");
  const ForcedCall forced(SystemCall::kRename, {-1, to});
  return forced.Fails() ? -1 : kReal(from_folder, from, to_folder, to);
}

int unlink(const char* path) noexcept {
  static const auto kReal = RealFunction(&::unlink, "unlink");
  const ForcedCall forced(SystemCall::kRemove, {-1, path});
  return forced.Fails() ? -1 : kReal(path);
}

int unlinkat(int folder, const char* path, int flags) noexcept {
  static const auto kReal = RealFunction(&::unlinkat, "unlinkat");
  const ForcedCall forced(SystemCall::kRemove, {-1, path});
  return forced.Fails() ? -1 : kReal(folder, path, flags);
}

int rmdir(const char* path) noexcept {
  static const auto kReal = RealFunction(&::rmdir, "rmdir");
  const ForcedCall forced(SystemCall::kRemove, {-1, path});
  return forced.Fails() ? -1 : kReal(path);
}

int remove(const char* path) noexcept {
  static const auto kReal = RealFunction(&::remove, "remove");
  const ForcedCall forced(SystemCall::kRemove, {-1, path});
  return forced.Fails() ? -1 : kReal(path);
}

int mkdir(const char* path, mode_t mode) noexcept {
  static const auto kReal = RealFunction(&::mkdir, "mkdir");
  const ForcedCall forced(SystemCall::kMakeFolder, {-1, path});
  return forced.Fails() ? -1 : kReal(path, mode);
}

int mkdirat(int folder, const char* path, mode_t mode) noexcept {
  static const auto kReal = RealFunction(&::mkdirat, "mkdirat");
  const ForcedCall forced(SystemCall::kMakeFolder, {-1, path});
  return forced.Fails() ? -1 : kReal(folder, path, mode);
}

DIR* opendir(const char* path) {
  static const auto kReal = RealFunction(&::opendir, "opendir");
  return ForcedCall(SystemCall::kOpenFolder, {-1, path}).Fails() ? nullptr : kReal(path);
}

dirent* readdir(DIR* folder) {
  static const auto kReal = RealFunction(&::readdir, "readdir");
  return ForcedCall(SystemCall::kReadFolder, {::dirfd(folder)}).Fails() ? nullptr : kReal(folder);
}

dirent64* readdir64(DIR* folder) {
  static const auto kReal = RealFunction(&::readdir64, "readdir64");
  return ForcedCall(SystemCall::kReadFolder, {::dirfd(folder)}).Fails() ? nullptr : kReal(folder);
}

}  // extern "C"
