// The body of a client's request while it arrives. A body of up to kMaxBufferedBody is held in memory, so
// that it can be sent to another upstream; a larger one is streamed to the upstream. While the memory budget
// is exhausted, a body over kMinBufferedBody is streamed, too.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/string_type.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "sidecar/body_stream.h"
#include "sidecar/clock.h"
#include "sidecar/held_bytes.h"
#include "sidecar/http.h"
#include "sidecar/memory_budget.h"

namespace lb::sidecar {

class RequestBody {
 public:
  struct Owner {
    // Whether some of the body has not reached this machine yet. False if that is unknown.
    std::function<bool()> is_more_incoming;
    // The stream has capacity again, or its reader has left.
    std::function<void()> on_capacity;
  };

  // `budget`: that the body is charged to; may be null.
  explicit RequestBody(Owner owner, std::shared_ptr<MemoryBudget> budget = nullptr)
      : owner_(std::move(owner)), held_(std::move(budget)) {}

  // ---- A body that is held in memory ----

  // `length`: of the whole body, if known.
  void Append(boost::beast::string_view bytes, boost::optional<std::uint64_t> length = boost::none);
  // Whether the body has to be streamed, and is not yet.
  bool IsTooLargeToHold() const { return !stream_ && sidecar::IsTooLargeToHold(held_); }
  HeldBytes TakeHeld() { return std::move(held_); }
  // Frees the memory, as most connections are idle most of the time.
  void DiscardHeld() { held_.Clear(); }

  // ---- A body that is streamed, until its last byte has been received ----

  // Starts a stream with the bytes held. `length`: of the whole body, if known. `last_byte_at`: when the last
  // byte so far was received. The functions of Owner are called only while `owner` is alive.
  Body StartStream(boost::asio::io_context& io, std::size_t capacity, boost::optional<std::uint64_t> length,
                   TimePoint last_byte_at, const std::weak_ptr<void>& owner);
  bool IsStreaming() const { return stream_ != nullptr; }
  bool HasCapacity() const { return stream_->HasCapacity(); }
  // Records that bytes received wait for capacity: the upstream is slow, not the client.
  void WaitForCapacity() { waits_for_capacity_ = true; }
  bool IsWaitingForCapacity() const { return waits_for_capacity_; }
  void EndWaitForCapacity() { waits_for_capacity_ = false; }
  bool IsKnownToBeSent() const { return stream_->sent_at().has_value(); }
  // Records when the client sent the last byte, also if that byte waits for capacity: the time for the
  // response runs from there. `is_end_known`: the end of the body can be recognized without parsing it.
  void RecordLastByteTime(bool is_end_known);
  void Finish();
  // The rest of the body will not arrive, or is not needed any more.
  void Abort();

 private:
  TimePoint LastSeenIncoming();
  void Detach();

  const Owner owner_;
  HeldBytes held_;
  Body stream_;
  TimePoint last_seen_incoming_;
  bool waits_for_capacity_ = false;
};

}  // namespace lb::sidecar
