// Counts the memory that the sidecar uses for the bytes of messages in flight against a limit, which follows
// from the memory limit of the process. As with Envoy's buffer memory accounts, bytes are charged where they
// are held, and whoever holds them decides what to do once the limit is exceeded.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace lb::sidecar {

// Used on the event loop's thread only. Shared by the charges, which may outlive the sidecar.
class MemoryBudget {
 public:
  // `limit`: in bytes. `on_exhausted`: called when the charges exceed the limit after having been within it;
  // may be null.
  explicit MemoryBudget(std::size_t limit, std::function<void()> on_exhausted = nullptr)
      : limit_(limit), on_exhausted_(std::move(on_exhausted)) {}

  std::size_t limit() const { return limit_; }
  std::size_t charged() const { return charged_; }
  // While this is true, no message is held whole that can be streamed.
  bool IsExhausted() const { return charged_ > limit_; }

  // The bytes that one holder uses; released when the charge is destroyed. A default-constructed charge
  // counts against no budget.
  class Charge {
   public:
    Charge() = default;
    // `budget` may be null.
    explicit Charge(std::shared_ptr<MemoryBudget> budget) : budget_(std::move(budget)) {}
    ~Charge() { Set(0); }
    // The moved-from charge is empty, and counts against the same budget.
    Charge(Charge&& other) noexcept : Charge(other.budget_) { bytes_ = std::exchange(other.bytes_, 0); }
    Charge& operator=(Charge&& other) noexcept {
      if (this == &other) return *this;
      Set(0);
      budget_ = other.budget_;
      bytes_ = std::exchange(other.bytes_, 0);
      return *this;
    }
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;

    // Changes the charge to `bytes`; always succeeds.
    void Set(std::size_t bytes) {
      const std::size_t before = std::exchange(bytes_, bytes);
      if (budget_) budget_->Replace(before, bytes);
    }
    const std::shared_ptr<MemoryBudget>& budget() const { return budget_; }
    bool IsBudgetExhausted() const { return budget_ && budget_->IsExhausted(); }

   private:
    std::shared_ptr<MemoryBudget> budget_;
    std::size_t bytes_ = 0;
  };

 private:
  void Replace(std::size_t before, std::size_t after) {
    const bool was_exhausted = IsExhausted();
    charged_ = charged_ - before + after;
    if (!was_exhausted && IsExhausted() && on_exhausted_) on_exhausted_();
  }

  const std::size_t limit_;
  const std::function<void()> on_exhausted_;
  std::size_t charged_ = 0;
};

// How the bodies of messages are buffered.
struct BodyBuffering {
  std::size_t stream_capacity = 0;       // bytes buffered of each streamed body: see BodyStream
  std::shared_ptr<MemoryBudget> budget;  // that all bodies are charged to; null: none
};

}  // namespace lb::sidecar
