// The bytes of a message body in memory, together with their charge against the memory budget.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "sidecar/memory_budget.h"

namespace lb::sidecar {

// The charge moves with the bytes, so that it lasts as long as they are held, whoever holds them.
class HeldBytes {
 public:
  // Bytes that are not charged: those of a message of the sidecar's own, which is short.
  HeldBytes() = default;
  // `budget` may be null.
  explicit HeldBytes(std::shared_ptr<MemoryBudget> budget) : charge_(std::move(budget)) {}
  ~HeldBytes() = default;
  // The moved-from object is empty, and charges the same budget.
  HeldBytes(HeldBytes&& other) noexcept
      : bytes_(std::exchange(other.bytes_, {})), charge_(std::move(other.charge_)) {}
  HeldBytes& operator=(HeldBytes&& other) noexcept {
    if (this == &other) return *this;
    bytes_ = std::exchange(other.bytes_, {});
    charge_ = std::move(other.charge_);
    return *this;
  }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;
  HeldBytes& operator=(std::string text) {
    bytes_ = std::move(text);
    UpdateCharge();
    return *this;
  }

  // Makes room for `size` bytes in all, and no more: a string that grows by appending may have twice the room
  // that it needs.
  void Reserve(std::size_t size) {
    if (size <= bytes_.capacity()) return;
    std::string larger;
    larger.reserve(size);
    larger.append(bytes_);
    bytes_ = std::move(larger);
    UpdateCharge();
  }
  void Append(const char* bytes, std::size_t size) {
    bytes_.append(bytes, size);
    UpdateCharge();
  }
  // A copy, which charges the same budget.
  HeldBytes Copy() const {
    HeldBytes copy;
    copy.charge_ = MemoryBudget::Charge(charge_.budget());
    copy.Append(bytes_.data(), bytes_.size());
    return copy;
  }
  // Removes the bytes and frees their memory.
  void Clear() {
    bytes_ = {};
    charge_.Set(0);
  }

  const char* data() const { return bytes_.data(); }
  std::size_t size() const { return bytes_.size(); }
  bool empty() const { return bytes_.empty(); }
  const std::string& text() const { return bytes_; }
  bool IsBudgetExhausted() const { return charge_.IsBudgetExhausted(); }

  friend bool operator==(const HeldBytes& held, std::string_view text) { return held.bytes_ == text; }

 private:
  void UpdateCharge() { charge_.Set(bytes_.capacity()); }

  std::string bytes_;
  MemoryBudget::Charge charge_;
};

// A Body of Beast's whose bytes are held in memory; for messages to be written. The names are Beast's.
// NOLINTBEGIN(readability-identifier-naming)
struct HeldBody {
  using value_type = HeldBytes;

  static std::uint64_t size(const value_type& body) { return body.size(); }

  class writer {
   public:
    using const_buffers_type = boost::asio::const_buffer;

    template <bool isRequest, class Fields>
    writer(const boost::beast::http::header<isRequest, Fields>& /*header*/, const value_type& body)
        : body_(body) {}

    void init(boost::system::error_code& error) { error = {}; }
    boost::optional<std::pair<const_buffers_type, bool>> get(boost::system::error_code& error) {
      error = {};
      const bool more_follows = false;
      return std::pair(const_buffers_type(body_.data(), body_.size()), more_follows);
    }

   private:
    const value_type& body_;
  };
};
// NOLINTEND(readability-identifier-naming)

}  // namespace lb::sidecar
