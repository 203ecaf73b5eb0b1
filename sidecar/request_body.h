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
#include <optional>
#include <utility>

#include "sidecar/body_stream.h"
#include "sidecar/clock.h"
#include "sidecar/held_bytes.h"
#include "sidecar/http.h"
#include "sidecar/memory_budget.h"
#include "sidecar/send_time_bound.h"

namespace lb::sidecar {

// How much of a client's connection has reached this process.
struct ReceiveProgress {
  std::uint64_t read = 0;    // bytes read from the socket
  std::size_t unparsed = 0;  // of those, bytes that were not parsed yet
  std::size_t unread = 0;    // bytes in the socket's receive buffer
  // Bytes of the body that were not parsed yet, if its length is known.
  boost::optional<std::uint64_t> body_left{};
  bool sending_ended = false;  // the client can't send more than `read`
};

class RequestBody {
 public:
  struct Owner {
    std::function<ReceiveProgress()> receive_progress;
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
  // To be called around each read of the connection, for the time at which the client sent the last byte: the
  // time for the response runs from there, also if that byte waits for capacity. `read_before`: bytes of the
  // connection that had been read before. `emptied_buffer`: the read left nothing in the receive buffer.
  void BeginRead();
  void EndRead(std::uint64_t read_before, std::size_t size, bool emptied_buffer);
  // The connection is not read any more for the time being, so that bytes collect in the buffers.
  void RecordPause();
  // The last byte was parsed and written to the stream.
  void Finish();
  // The rest of the body will not arrive, or is not needed any more.
  void Abort();

 private:
  std::uint64_t MinLastByteOffset(const ReceiveProgress& progress) const;
  ReceiveProgress ObserveProgress();
  TimePoint EarliestLastByte();
  void Detach();

  const Owner owner_;
  HeldBytes held_;
  Body stream_;
  std::optional<SendTimeBound> send_time_;  // while the body is streamed
  TimePoint observed_at_;                   // when the content of the buffers was last known
  // Neither the receive buffer nor the client's send buffer held any bytes when the last read began or ended.
  bool are_buffers_empty_ = false;
  // The bytes read of the connection when that was last so; nothing after a pause.
  std::optional<std::uint64_t> empty_at_;
  bool waits_for_capacity_ = false;
};

}  // namespace lb::sidecar
