#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <new>
#include <stdexcept>

#include "tests/fault_injection.h"
#include "tests/peers.h"

namespace lb::sidecar::testing {

FaultInjector::FaultInjector() {
  path_ = std::filesystem::temp_directory_path() / "lb-sidecar-faults-XXXXXX";
  const int file = ::mkstemp(path_.data());
  if (file < 0 || ::ftruncate(file, sizeof(SharedFaults)) != 0) throw std::runtime_error(path_);
  void* const mapping = ::mmap(nullptr, sizeof(SharedFaults), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  ::close(file);
  if (mapping == MAP_FAILED) throw std::runtime_error("mmap");
  shared_ = new (mapping) SharedFaults;
}

FaultInjector::~FaultInjector() {
  ::munmap(shared_, sizeof *shared_);
  std::filesystem::remove(path_);
}

// AddressSanitizer refuses to start if it is not the first library in the link order, unless that check is
// disabled.
std::map<std::string, std::string> FaultInjector::environment() const {
  const char* const options = std::getenv("ASAN_OPTIONS");
  const std::string inherited = options != nullptr ? std::string(options) + ":" : "";
  return {{"LD_PRELOAD", FAULT_INJECTION_LIBRARY},
          {"ASAN_OPTIONS", inherited + "verify_asan_link_order=0"},
          {kFaultsVariable, path_}};
}

FaultInjector::Id FaultInjector::Force(const Fault& fault) {
  if (used_ == SharedFaults::kSlots) throw std::runtime_error("no free slot for another fault");
  auto& slot = shared_->slots[used_];
  slot.call = fault.call;
  slot.error = fault.error;
  slot.at_most = fault.at_most;
  slot.delay_us = std::chrono::microseconds(fault.delay).count();
  slot.first_after_clock = fault.first_after_clock;
  slot.kills_process = fault.kills_process;
  slot.drops_connection = fault.drops_connection;
  slot.skip = fault.skip;
  slot.times = fault.times;
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  slot.ends_ns = fault.duration.count() == 0 ? 0 : std::chrono::nanoseconds(now + fault.duration).count();
  slot.on = fault.on;
  slot.port = fault.port;
  if (fault.path.size() >= slot.path.size()) throw std::runtime_error("path too long: " + fault.path);
  std::copy(fault.path.begin(), fault.path.end(), slot.path.begin());
  slot.active.store(1, std::memory_order_release);
  return Id{used_++};
}

void FaultInjector::Stop(Id id) { shared_->slots[static_cast<std::size_t>(id)].active = 0; }

int FaultInjector::forced(Id id) const {
  return static_cast<int>(shared_->slots[static_cast<std::size_t>(id)].forced);
}

bool FaultInjector::WaitUntilForced(Id id, int times) const {
  return Eventually([&] { return forced(id) >= times; });
}

void FaultInjector::StepWallClock(std::chrono::milliseconds ahead) {
  shared_->wall_offset_ns = std::chrono::nanoseconds(ahead).count();
}

}  // namespace lb::sidecar::testing
