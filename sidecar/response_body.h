// The body of one response, between the upstream's connection that reads it and the receiver of the response.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>

#include "sidecar/body_stream.h"
#include "sidecar/held_bytes.h"
#include "sidecar/http.h"
#include "sidecar/memory_budget.h"

namespace lb::sidecar {

// Collects the body, so that another upstream can still answer if this response breaks off. After
// StartStreaming(), writes each part to the stream and keeps no copy. The owner bounds the size: it starts to
// stream when the body is too large to be collected, or fails the exchange when it can't.
class ResponseBody {
 public:
  // `budget`: that the body is charged to; may be null.
  explicit ResponseBody(std::shared_ptr<MemoryBudget> budget = nullptr) : collected_(std::move(budget)) {}

  // Prepares for collecting a body of `length` bytes.
  void ExpectLength(std::uint64_t length) { ReserveForBody(collected_, length); }
  // Returns a buffer of PartSize() bytes for the next read, valid until the next call or Clear().
  char* PreparePart();
  static std::size_t PartSize();
  // Adds the first `size` bytes of that buffer to the body.
  void TakePart(std::size_t size);
  // Drops the first `size` bytes of that buffer: they are counted, but not kept.
  void DiscardPart(std::size_t size) { received_ += size; }

  std::size_t collected() const { return collected_.size(); }
  // Bytes collected, streamed or discarded so far.
  std::uint64_t received() const { return received_; }
  // More than kMaxBufferedBody has been received of a body that is not streamed.
  bool IsOverLimit() const { return !is_streaming() && received_ > kMaxBufferedBody; }
  // Whether the body should be streamed, and is not yet.
  bool IsTooLargeToCollect() const { return IsTooLargeToHold(collected_); }
  HeldBytes TakeCollected() { return std::move(collected_); }

  // Starts to stream, beginning with the collected bytes. Until the body ends, `on_capacity` is called from
  // the event loop when the stream has capacity again or its reader has abandoned it. `capacity` and
  // `length`: see BodyStream.
  Body StartStreaming(boost::asio::io_context& io, std::size_t capacity,
                      boost::optional<std::uint64_t> length, BodyStream::Hook on_capacity);
  bool is_streaming() const { return stream_ != nullptr; }
  bool HasCapacity() const { return !stream_ || stream_->HasCapacity(); }
  bool IsAbandonedByReader() const { return stream_ && stream_->abandoned_by_reader(); }
  // The body is complete. Finishes the stream, if there is one.
  void Finish();
  // The body will never be complete. Aborts the stream, if there is one.
  void Abort();

  // Prepares for the next response and frees memory. Must not be called while streaming.
  void Clear();

 private:
  std::string part_;
  HeldBytes collected_;
  std::uint64_t received_ = 0;  // in bytes
  Body stream_;                 // null before StartStreaming() and after Finish() or Abort()
};

}  // namespace lb::sidecar
